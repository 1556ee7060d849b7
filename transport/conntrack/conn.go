package conntrack

import (
	"net"
	"sync"
	"time"
)

// conn is a tracked connection. It is unused from when it is accepted, or its
// last request was answered, to the next byte that is read.
type conn struct {
	*net.TCPConn

	mu   sync.Mutex
	busy bool
	// served is set once a request was answered.
	served bool
	// unusedSince is when it was last used, or accepted.
	unusedSince time.Time
	// retired is set once it was closed as unused.
	retired bool
}

// Read implements net.Conn. A close as unused may cross the arrival of a
// request. Whichever is first holds: a connection that bytes were read from is
// not closed, and bytes read after the close are dropped, so that no request
// goes on to an upstream whose answer cannot be delivered.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.use() {
		return 0, net.ErrClosed
	}
	return n, err
}

// use marks the connection as busy and returns false if it is closed.
func (c *conn) use() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.retired
}

func (c *conn) markUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.served = false, true
	c.unusedSince = now
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy && !c.retired
}

// closeUnused closes the connection if it is unused and a condition on it holds.
func (c *conn) closeUnused(condition func(c *conn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.retired || !condition(c) {
		return
	}
	c.retired = true
	_ = c.Close()
}
