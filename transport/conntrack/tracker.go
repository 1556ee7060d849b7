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

// drainPollInterval is how often Drain looks whether requests are still under way.
const drainPollInterval = 10 * time.Millisecond

// errNotTCP is returned by Accept for a connection of another kind.
var errNotTCP = errors.New("conntrack: the listener is not of TCP")

// ErrStopping is the cause with which CutOff ends the contexts of requests. Their
// callers still get an answer; the mere close of their connections would leave
// them to guess.
var ErrStopping = errors.New("conntrack: the server stops")

// IsCancelled says whether CutOff has ended a request's context.
func IsCancelled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// Tracker tracks the connections of one HTTP server. It is safe for concurrent
// use.
type Tracker struct {
	now func() time.Time
	// baseContext is the context of all requests, which cutOff ends.
	baseContext    context.Context
	cancelRequests context.CancelCauseFunc
	// accepting counts the calls of Accept, which may be about to add a
	// connection.
	accepting atomic.Int64
	mu        sync.Mutex
	conns     map[*conn]struct{}
}

// New returns a tracker with a clock.
func New(now func() time.Time) *Tracker {
	t := &Tracker{now: now, conns: make(map[*conn]struct{})}
	t.baseContext, t.cancelRequests = context.WithCancelCause(context.Background())
	return t
}

// BaseContext is the server's hook for the context of its requests.
func (t *Tracker) BaseContext(net.Listener) context.Context { return t.baseContext }

// CancelRequests ends the contexts of the requests under way, and of any to come.
func (t *Tracker) CancelRequests() { t.cancelRequests(ErrStopping) }

// Listener returns a listener whose connections are tracked; inner must be of
// TCP. The server must call StateChanged. What wraps the connections must give
// the inner one by NetConn. Those of HTTP/2 are left to the server, whose
// Shutdown tells their callers which requests it has not taken.
func (t *Tracker) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, tracker: t}
}

// StateChanged is the server's hook on the state of connections.
func (t *Tracker) StateChanged(of net.Conn, state http.ConnState) {
	c, ok := trackedConn(of)
	if !ok {
		return
	}
	if speaksHTTP2(of) {
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

// trackedConn finds the tracked connection below TLS and other wrappers.
func trackedConn(of net.Conn) (*conn, bool) {
	for {
		if c, ok := of.(*conn); ok {
			return c, true
		}
		wrapper, ok := of.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		of = wrapper.NetConn()
	}
}

// speaksHTTP2 says whether a connection is of HTTP/2. Frames come on it also
// when no request is under way, so that what was read does not tell of one.
func speaksHTTP2(of net.Conn) bool {
	secured, ok := of.(*tls.Conn)
	return ok && secured.ConnectionState().NegotiatedProtocol == "h2"
}

// CloseIdle closes the connections that have waited for a further request for
// longer than a limit. Those that wait for their first are left to the server's
// ReadHeaderTimeout.
func (t *Tracker) CloseIdle(limit time.Duration) {
	now := t.now()
	t.closeUnused(func(c *conn) bool { return c.answered && now.Sub(c.unusedSince) > limit })
}

// closeUnused closes the unused connections that a condition holds for.
func (t *Tracker) closeUnused(condition func(c *conn) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.closeUnused(condition)
	}
}

// Busy counts the connections on which a request, or a part of one, was read
// that is not yet answered.
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

// Drain waits until no request is under way and closes the connections. Until
// then the server goes on answering: http.Server.Shutdown closes a connection
// without an answer when a request arrives on it meanwhile, and a caller whose
// request must not run twice cannot send it again. The listener must be closed
// already. Drain returns false once the time for it has expired.
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
	// A request may have arrived between the two looks.
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
