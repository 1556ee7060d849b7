package conntrack

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a tracked connection. It is unused from when it is accepted, or its
// last request was answered, until bytes of the next request are there.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu   sync.Mutex
	busy bool
	// readAhead is set if bytes were read since the last ones were written.
	readAhead bool
	// answered is set once a request was answered.
	answered bool
	// unusedSince is when it was last used, or accepted.
	unusedSince time.Time
	// closing is set once it is to be closed as unused.
	closing bool
}

// Read implements net.Conn. The close of an unused connection may cross the
// arrival of a request, and a request that was read and dropped is lost to its
// caller, who cannot know whether it ran. So reading and the decision to close
// exclude each other: a connection that bytes were read from is not closed, and
// from one that is to be closed nothing is read, which callers see as a reset.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.tryRead(int(fd), p)
		return readErr != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}

// tryRead reads what is there.
func (c *conn) tryRead(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	for {
		n, err := unix.Read(fd, p)
		if err == unix.EINTR {
			continue
		}
		if n > 0 {
			c.busy, c.readAhead = true, true
		}
		return max(n, 0), err
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.beginAnswer()
	return c.TCPConn.Write(p)
}

// ReadFrom implements io.ReaderFrom, which net/http takes instead of Write.
func (c *conn) ReadFrom(from io.Reader) (int64, error) {
	c.beginAnswer()
	return c.TCPConn.ReadFrom(from)
}

// beginAnswer notes that bytes are written. It comes before the write: the caller's
// next request may be read before a write returns.
func (c *conn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = false
}

// markBusy notes that the server has a request, which it may have had in its
// buffers: of pipelined requests only the first one is read from here.
func (c *conn) markBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
}

// markUnused notes that the last request was answered. Bytes that were read
// after the answer are those of the next one, which the server may hold in its
// buffers already. Nothing further would be read of it, and a close would lose
// it; the connection stays busy. A request's own body is always read before its
// answer is written, or the server closes the connection.
func (c *conn) markUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.answered = c.readAhead, true
	c.unusedSince = now
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy && !c.closing
}

// closeUnused closes the connection if it is unused and a condition on it holds.
func (c *conn) closeUnused(condition func(c *conn) bool) {
	if c.markClosing(condition) {
		_ = c.Close()
	}
}

// markClosing says whether the connection is to be closed. One whose next request has
// arrived but was not read yet is busy: its caller gets an answer, not a reset.
func (c *conn) markClosing(condition func(c *conn) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing || !condition(c) {
		return false
	}
	c.busy = c.hasUnreadBytes()
	c.closing = !c.busy
	return c.closing
}

// hasUnreadBytes looks at what the kernel has received and takes nothing of it.
func (c *conn) hasUnreadBytes() bool {
	n, recvErr, err := Peek(c.raw)
	return err == nil && recvErr == nil && n > 0
}

// Peek looks at what the kernel has received on a connection and takes nothing
// of it: the number of bytes, at most one, or with what the call failed. The last
// error is that the connection is closed at this end.
func Peek(raw syscall.RawConn) (n int, recvErr, closedErr error) {
	var first [1]byte
	closedErr = raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, recvErr, closedErr
}
