package conntrack

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// drainPollInterval is the interval at which Drain checks whether requests are
// still running.
const drainPollInterval = 10 * time.Millisecond

// errNotTCP is the error of Accept for a connection that is not a TCP
// connection.
var errNotTCP = errors.New("conntrack: the listener is not a TCP listener")

// ErrStopping is the cause with which CancelRequests cancels the contexts of
// requests. Their callers still get an answer. If their connections were only
// closed, callers could not know whether their requests ran.
var ErrStopping = errors.New("conntrack: the server stops")

// IsCancelled reports whether CancelRequests has cancelled a request's context.
func IsCancelled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// Tracker tracks the connections of one HTTP server. It is safe for concurrent
// use.
type Tracker struct {
	now func() time.Time
	// baseContext is the parent context of all requests. cancelRequests cancels
	// it.
	baseContext    context.Context
	cancelRequests context.CancelCauseFunc
	// accepting is the number of running calls of Accept, which may be about to
	// add a connection.
	accepting atomic.Int64
	mu        sync.Mutex
	conns     map[*conn]struct{}
}

// New returns a tracker that uses the given clock.
func New(now func() time.Time) *Tracker {
	t := &Tracker{now: now, conns: make(map[*conn]struct{})}
	t.baseContext, t.cancelRequests = context.WithCancelCause(context.Background())
	return t
}

// BaseContext is the server's BaseContext hook.
func (t *Tracker) BaseContext(net.Listener) context.Context { return t.baseContext }

// CancelRequests cancels the contexts of all running and later requests.
func (t *Tracker) CancelRequests() { t.cancelRequests(ErrStopping) }

// Listener returns a listener whose connections are tracked. inner must be a
// TCP listener. The server must call StateChanged, and wrappers of connections
// must return the inner one by a method NetConn. HTTP/2 connections are left to
// the server, whose Shutdown informs callers which of their requests it has not
// accepted.
func (t *Tracker) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, tracker: t}
}

// StateChanged is the server's ConnState hook.
func (t *Tracker) StateChanged(netConn net.Conn, state http.ConnState) {
	c, ok := trackedConn(netConn)
	if !ok {
		return
	}
	if speaksHTTP2(netConn) {
		t.remove(c)
		return
	}
	switch state {
	case http.StateActive:
		c.markBusy()
	case http.StateIdle:
		c.markUnused(t.now())
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
	}
}

// trackedConn returns the tracked connection below TLS and other wrappers.
func trackedConn(netConn net.Conn) (*conn, bool) {
	for {
		if c, ok := netConn.(*conn); ok {
			return c, true
		}
		wrapper, ok := netConn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		netConn = wrapper.NetConn()
	}
}

// speaksHTTP2 reports whether a connection uses HTTP/2. Frames also arrive on
// such a connection while no request is running, so bytes that were read do not
// indicate a request.
func speaksHTTP2(netConn net.Conn) bool {
	tlsConn, ok := netConn.(*tls.Conn)
	return ok && tlsConn.ConnectionState().NegotiatedProtocol == "h2"
}

// CloseIdle closes the connections that have waited for a further request for
// longer than a limit. Connections that wait for their first request are left
// to the server's ReadHeaderTimeout.
func (t *Tracker) CloseIdle(limit time.Duration) {
	now := t.now()
	t.closeUnused(func(c *conn) bool { return c.answered && now.Sub(c.unusedSince) > limit })
}

// closeUnused closes the unused connections that fulfil a condition.
func (t *Tracker) closeUnused(condition func(c *conn) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.closeUnused(condition)
	}
}

// Busy returns the number of connections from which a request, or a part of
// one, was read that is not answered yet.
func (t *Tracker) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := 0
	for c := range t.conns {
		if c.isBusy() {
			busy++
		}
	}
	return busy
}

// Drain waits until no request is running and closes the connections. Until
// then the server continues to answer: http.Server.Shutdown would close a
// connection without an answer if a request arrives on it meanwhile, and a
// caller whose request must not run twice cannot send it again. The listener
// must already be closed. Drain returns false once expired returns true.
func (t *Tracker) Drain(expired func() bool) bool {
	for !t.closeUnlessBusy() {
		if expired() {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}

func (t *Tracker) closeUnlessBusy() bool {
	if t.accepting.Load() > 0 || t.Busy() > 0 {
		return false
	}
	t.closeUnused(func(*conn) bool { return true })
	// A request may have arrived between the two checks.
	return t.Busy() == 0
}

func (t *Tracker) add(inner *net.TCPConn) (*conn, error) {
	raw, err := inner.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: inner, raw: raw, unusedSince: t.now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	return c, nil
}

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.tracker.accepting.Add(1)
	defer l.tracker.accepting.Add(-1)
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := inner.(*net.TCPConn)
	if !ok {
		_ = inner.Close()
		return nil, errNotTCP
	}
	c, err := l.tracker.add(tcp)
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return c, nil
}
