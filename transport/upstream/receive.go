package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/time/rate"
)

// Limits of what is received on one connection as the answer to one attempt.
// They count the bytes of the connection, so they also cover heads, chunk
// framing and whatever else is discarded while an answer is parsed.
const (
	// longAnswerBytes is the size in bytes above which the rest of an answer is
	// received at the rate that all long answers share. Pages and JSON answers
	// are far shorter, and so are streams.
	longAnswerBytes = 256 << 10
	// maxReadBytes is the largest part of an answer that is received at once at
	// the shared rate.
	maxReadBytes = 64 << 10
	// minPause is the shortest wait for the shared rate. Shorter ones add up, so
	// that the process is not woken for each part.
	minPause = 20 * time.Millisecond
)

var (
	// ErrMalformed means that the received bytes are not an answer. They say
	// nothing about the request, and the upstream did not end the connection.
	ErrMalformed = errors.New("upstream: received bytes are not an answer")
	// ErrTooLong means that the answer exceeds its limit.
	ErrTooLong = errors.New("upstream: answer exceeds its limit")
)

// receiveLimits are shared by the connections of one client.
type receiveLimits struct {
	maxBytes int64
	// longRate paces long answers; nil means that they are not paced.
	longRate *rate.Limiter
}

func newReceiveLimits(opts ClientOptions) *receiveLimits {
	limits := &receiveLimits{maxBytes: opts.MaxAnswerBytes}
	if opts.LongAnswerRate > 0 {
		limits.longRate = rate.NewLimiter(rate.Limit(opts.LongAnswerRate), maxReadBytes)
	}
	return limits
}

// Read implements net.Conn. It fails with ErrTooLong once an answer exceeds its
// limit.
func (c *fencedConn) Read(p []byte) (int, error) {
	p, err := c.admitRead(p)
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.lastRead.Store(int64(n))
	c.recordEnd(err)
	return n, err
}

// admitRead waits until another part of the answer may be received, and returns
// the part of p to use. An answer is delayed by what it has received, so that
// the beginning of a long answer is not.
func (c *fencedConn) admitRead(p []byte) ([]byte, error) {
	received := c.received.Load()
	if received < longAnswerBytes || c.limits == nil {
		return p, nil
	}
	if c.limits.maxBytes > 0 && received >= c.limits.maxBytes {
		return nil, ErrTooLong
	}
	if c.limits.longRate == nil {
		return p, nil
	}
	// More than the burst can't be reserved at once.
	delay := c.limits.longRate.ReserveN(time.Now(), min(int(c.lastRead.Load()), maxReadBytes)).Delay()
	if !c.sleep(delay) {
		return nil, net.ErrClosed
	}
	return p[:min(len(p), maxReadBytes)], nil
}

// sleep waits for the duration, unless it is shorter than minPause, and reports
// whether the connection is still open.
func (c *fencedConn) sleep(d time.Duration) bool {
	if d < minPause {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

// Close implements net.Conn.
func (c *fencedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// recordEnd records whether an error of the connection is its end, which the
// upstream or the network caused.
func (c *fencedConn) recordEnd(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.endedByPeer.Store(true)
	}
}

// beginAnswer starts to count the answer to another attempt.
func (c *fencedConn) beginAnswer() { c.received.Store(0) }

// receiveCause returns the reason for which an answer was not received. An
// answer that the router could not parse is told apart from one that ended with
// its connection. conn may be nil.
func receiveCause(ctx context.Context, conn *fencedConn, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if conn == nil || conn.endedByPeer.Load() || errors.Is(err, ErrTooLong) || errors.Is(err, errFenced) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}
