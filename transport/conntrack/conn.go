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

// conn is a tracked connection. It is unused from its acceptance, or from the
// end of its last answer, until bytes of the next request were received.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu   sync.Mutex
	busy bool
	// readAhead is set if bytes were read since the last write.
	readAhead bool
	// answered is set once a request was answered.
	answered bool
	// unusedSince is the time of the last answer, or of the acceptance.
	unusedSince time.Time
	// closing is set once the connection is to be closed as unused.
	closing bool
}

// Read implements net.Conn. The close of an unused connection may cross the
// arrival of a request. A request that was read and then dropped is lost to its
// caller, who cannot know whether it ran. Therefore reading and the decision to
// close exclude each other: a connection is not closed after bytes were read
// from it, and nothing is read once it is to be closed, so that its caller sees
// a reset.
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

// tryRead reads available bytes without blocking.
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

// ReadFrom implements io.ReaderFrom, which net/http uses instead of Write.
func (c *conn) ReadFrom(source io.Reader) (int64, error) {
	c.beginAnswer()
	return c.TCPConn.ReadFrom(source)
}

// beginAnswer records that bytes are about to be written. It must be called
// before the write, because the caller's next request may be read before the
// write returns.
func (c *conn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = false
}

// markBusy records that the server handles a request. The server may have had
// the request in its buffers: of pipelined requests, only the first one is read
// from this connection.
func (c *conn) markBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
}

// markUnused records that the last request was answered. Bytes that were read
// after the answer belong to the next request, which the server may already
// hold in its buffers. No further read would show that request, and a close
// would lose it, so the connection stays busy. The body of a request is always
// read before its answer is written, or the server closes the connection.
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

// closeUnused closes the connection if it is unused and fulfils a condition.
func (c *conn) closeUnused(condition func(c *conn) bool) {
	if c.markClosing(condition) {
		_ = c.Close()
	}
}

// markClosing reports whether the connection is to be closed. A connection
// whose next request was received by the kernel but not read yet is busy: its
// caller gets an answer, not a reset.
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

// hasUnreadBytes reports whether the kernel has received bytes that were not
// read yet. It does not consume them.
func (c *conn) hasUnreadBytes() bool {
	n, recvErr, err := Peek(c.raw)
	return err == nil && recvErr == nil && n > 0
}

// Peek checks for received bytes on a connection without consuming them. n is
// the number of bytes, at most one. recvErr is the error of the receive call,
// and closedErr is set if the connection is closed at this end.
func Peek(raw syscall.RawConn) (n int, recvErr, closedErr error) {
	var first [1]byte
	closedErr = raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, recvErr, closedErr
}
