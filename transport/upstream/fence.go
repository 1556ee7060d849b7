package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errFenced is the error of a write on a connection whose attempt has ended.
var errFenced = errors.New("upstream: attempt already settled")

// fencedConn counts the writes that were begun and can be closed for further
// writes.
//
// It prevents two failures. After a cancelled round trip, net/http's write loop
// may still write the request, while the router has already answered that it
// did not run. And net/http replays some requests when a kept-alive connection
// fails, which runs them twice. A write either begins before the call of fence
// and is counted, or fails.
//
// It also limits what is received as one answer.
type fencedConn struct {
	net.Conn
	limits    *receiveLimits
	closed    chan struct{}
	closeOnce sync.Once

	mu         sync.Mutex
	writeCount uint64
	fenced     bool

	// received is the number of bytes received since the last attempt began,
	// and lastRead that of the last read.
	received, lastRead atomic.Int64
	// endedByPeer is set once the connection was ended by the upstream or the
	// network, and not by this process.
	endedByPeer atomic.Bool
}

func newFencedConn(conn net.Conn, limits *receiveLimits) *fencedConn {
	return &fencedConn{Conn: conn, limits: limits, closed: make(chan struct{})}
}

// Write counts the write before any byte can leave.
func (c *fencedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errFenced
	}
	n, err := c.Conn.Write(p)
	c.recordEnd(err)
	return n, err
}

func (c *fencedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenced {
		return false
	}
	c.writeCount++
	return true
}

func (c *fencedConn) writesBegun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeCount
}

// fence prevents further writes and returns the number of writes begun so far.
func (c *fencedConn) fence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced = true
	return c.writeCount
}

// sendTracker tracks one attempt over the connections that net/http uses for
// it.
type sendTracker struct {
	// cancel ends the round trip when net/http tries to replay the request.
	cancel context.CancelCauseFunc

	mu           sync.Mutex
	conn         *fencedConn
	lastConn     *fencedConn
	writesBefore uint64
	sent         bool
	reused       bool
	// sentWhole is set once the whole request was written.
	sentWhole bool
}

func (t *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn, WroteRequest: t.wroteRequest}
}

func (t *sendTracker) wroteRequest(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentWhole = info.Err == nil
}

// firstAnswerToWholeRequest reports whether the whole request was sent, on a
// connection that has carried no other one.
func (t *sendTracker) firstAnswerToWholeRequest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sentWhole && !t.reused
}

// gotConn is called before the first write on a connection. If an earlier
// connection has taken a part of the request, the new one is fenced at once:
// net/http is replaying the request, and a second copy must not leave.
// Cancelling the round trip prevents net/http from trying one kept-alive
// connection after the other.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fenceCurrent()
	t.reused = info.Reused
	t.conn = unwrapFenced(info.Conn)
	if t.conn == nil {
		t.sent = true
		return
	}
	t.writesBefore = t.conn.writesBegun()
	t.conn.beginAnswer()
	if t.sent {
		t.conn.fence()
		t.cancel(errFenced)
	}
}

// fenceCurrent fences the current connection and records whether it has taken a
// part of the request.
func (t *sendTracker) fenceCurrent() {
	if t.conn != nil && t.conn.fence() > t.writesBefore {
		t.sent = true
	}
	t.lastConn, t.conn = t.conn, nil
}

// currentConn returns the connection of the attempt, or nil if there is none.
func (t *sendTracker) currentConn() *fencedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn
}

// finish ends the tracking of a failed attempt. Its result is final: nothing
// leaves afterwards. conn is the connection that the attempt used last, or nil.
func (t *sendTracker) finish() (stage Stage, reused bool, conn *fencedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fenceCurrent()
	if t.sent {
		return StageSent, t.reused, t.lastConn
	}
	return StageNotSent, t.reused, t.lastConn
}

// unwrapFenced returns the fenced connection below conn, or nil if there is
// none.
func unwrapFenced(conn net.Conn) *fencedConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	fenced, _ := conn.(*fencedConn)
	return fenced
}
