package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
)

// ErrMalformed means that the received bytes are not an answer. They say nothing
// about the request, and the upstream did not end the connection.
var ErrMalformed = errors.New("upstream: received bytes are not an answer")

// Read implements net.Conn.
func (c *fencedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordEnd(err)
	return n, err
}

// recordEnd records whether an error of the connection is its end, which the
// upstream or the network caused.
func (c *fencedConn) recordEnd(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.endedByPeer.Store(true)
	}
}

// receiveCause returns the reason for which an answer was not received. An
// answer that the router could not parse is told apart from one that ended with
// its connection. conn may be nil.
func receiveCause(ctx context.Context, conn *fencedConn, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if conn == nil || conn.endedByPeer.Load() || errors.Is(err, errFenced) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}
