package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errFenced is the write error of a connection whose attempt is settled.
var errFenced = errors.New("upstream: attempt already settled")

// fencedConn counts the writes that were begun and can be closed for writing.
//
// It stops two failures. After a cancelled round trip net/http's write loop may
// still write the request, while the router has already said "not run"; and
// net/http replays some requests when a kept-alive connection fails, which runs
// them twice. A write either begins before fence and is counted, or fails.
type fencedConn struct {
	net.Conn
	mu         sync.Mutex
	writeCount uint64
	fenced     bool
}

// Write counts the write before any byte can leave.
func (c *fencedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errFenced
	}
	return c.Conn.Write(p)
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

// fence lets no further write begin and returns the writes begun so far.
func (c *fencedConn) fence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced = true
	return c.writeCount
}

// sendTracker follows one attempt over the connections net/http gives it.
type sendTracker struct {
	// cancel ends the round trip when net/http wants to replay it.
	cancel context.CancelCauseFunc

	mu           sync.Mutex
	conn         *fencedConn
	writesBefore uint64
	sent         bool
	reused       bool
}

func (w *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: w.gotConn}
}

// gotConn runs before the first write on a connection. If a connection before
// it took part of the request, the new one is fenced at once: net/http wants to
// replay, and a second copy must not leave. Cancelling keeps it from trying one
// kept connection after the other.
func (w *sendTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenceCurrent()
	w.reused = info.Reused
	w.conn = unwrapFenced(info.Conn)
	if w.conn == nil {
		w.sent = true
		return
	}
	w.writesBefore = w.conn.writesBegun()
	if w.sent {
		w.conn.fence()
		w.cancel(errFenced)
	}
}

// fenceCurrent fences the present connection and notes whether it took anything.
func (w *sendTracker) fenceCurrent() {
	if w.conn != nil && w.conn.fence() > w.writesBefore {
		w.sent = true
	}
	w.conn = nil
}

// finish ends the watch of a failed attempt. The statement is final: nothing
// leaves after it.
func (w *sendTracker) finish() (stage Stage, reused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenceCurrent()
	if w.sent {
		return StageSent, w.reused
	}
	return StageNotSent, w.reused
}

// unwrapFenced returns the fenced connection under conn, or nil.
func unwrapFenced(conn net.Conn) *fencedConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	fenced, _ := conn.(*fencedConn)
	return fenced
}
