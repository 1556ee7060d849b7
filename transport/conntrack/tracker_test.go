package conntrack

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixture is an HTTP server whose connections are tracked. Requests for /held
// wait until the test releases them, those for /flushed after their answer.
type fixture struct {
	tracker  *Tracker
	listener net.Listener
	address  string
	useTLS   bool
	// seconds is the time.
	seconds atomic.Int64
	started chan struct{}
	release chan struct{}
}

func serve(t *testing.T) *fixture {
	t.Helper()
	f, server := newFixture(t)
	go func() { _ = server.Serve(f.tracker.Listener(f.listener)) }()
	return f
}

// serveTLS serves over TLS, within the given limit on the time for a head.
func serveTLS(t *testing.T, headerTimeout time.Duration) *fixture {
	t.Helper()
	f, server := newFixture(t)
	f.useTLS = true
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	certified.Close()
	server.TLSConfig = &tls.Config{Certificates: certified.TLS.Certificates}
	server.ReadHeaderTimeout = headerTimeout
	server.ErrorLog = log.New(io.Discard, "", 0)
	go func() { _ = server.ServeTLS(f.tracker.Listener(f.listener), "", "") }()
	return f
}

func newFixture(t *testing.T) (*fixture, *http.Server) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{
		listener: inner, address: inner.Addr().String(),
		started: make(chan struct{}), release: make(chan struct{}),
	}
	f.tracker = New(func() time.Time { return time.Unix(f.seconds.Load(), 0) })
	server := &http.Server{Handler: f, ConnState: f.tracker.StateChanged}
	t.Cleanup(func() { _ = server.Close() })
	return f, server
}

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/held" {
		f.block()
	}
	w.Header().Set("Content-Length", "5")
	_, _ = io.WriteString(w, "whole")
	if r.URL.Path == "/flushed" {
		_ = http.NewResponseController(w).Flush()
		f.block()
	}
}

func (f *fixture) block() {
	f.started <- struct{}{}
	<-f.release
}

// caller is a caller's end of a connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	if f.useTLS {
		secured := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		_ = secured.Handshake()
		conn = secured
	}
	return &caller{conn, bufio.NewReader(conn)}
}

func (c *caller) send(t *testing.T, path string) {
	t.Helper()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
}

func (c *caller) receive(t *testing.T) {
	t.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// open says whether the other end still holds the connection open; it looks for
// a moment only.
func (c *caller) open() bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := c.reader.ReadByte()
	_ = c.SetReadDeadline(time.Time{})
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// awaitClosed waits until the other end has closed the connection.
func (c *caller) awaitClosed(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return !c.open() }, 10*time.Second, time.Millisecond)
}

func (f *fixture) awaitBusy(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool { return f.tracker.Busy() == count }, 10*time.Second, time.Millisecond)
}

func (f *fixture) awaitOpen(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		f.tracker.mu.Lock()
		defer f.tracker.mu.Unlock()
		return len(f.tracker.conns) == count
	}, 10*time.Second, time.Millisecond)
}

// awaitReadAhead waits until the server has read beyond its answer.
func (f *fixture) awaitReadAhead(t *testing.T) {
	t.Helper()
	require.Eventually(t, f.tracker.hasReadAhead, 10*time.Second, time.Millisecond)
}

// hasReadAhead says whether more was read on a connection after its last answer.
func (t *Tracker) hasReadAhead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.readAhead {
			return true
		}
	}
	return false
}

// Operators raise the limit on unused connections. Callers then count on theirs
// for longer; one that is closed by the old limit costs them a new connection,
// and the request that crosses the close may be lost.
func TestIdleConnectionsCloseAtTheCurrentLimit(t *testing.T) {
	f := serve(t)
	idle, busy, neverUsed := f.dial(t), f.dial(t), f.dial(t)
	for _, c := range []*caller{idle, busy} {
		c.send(t, "/")
		c.receive(t)
	}
	f.awaitBusy(t, 0)
	busy.send(t, "/held")
	<-f.started

	f.seconds.Add(20)
	f.tracker.CloseIdle(30 * time.Second)
	require.True(t, idle.open())
	f.tracker.CloseIdle(15 * time.Second)
	idle.awaitClosed(t)
	require.True(t, neverUsed.open(), "its first request may be on its way")
	f.release <- struct{}{}
	busy.receive(t)
}

// A router stops while a page is under way. On a connection that was opened
// before, a caller sends a request meanwhile: it is answered. The connections
// are closed once nothing is under way, among them one that was never used.
func TestDrainAnswersRequestsThatArriveMeanwhile(t *testing.T) {
	f := serve(t)
	blocked, second, unused := f.dial(t), f.dial(t), f.dial(t)
	blocked.send(t, "/held")
	<-f.started
	require.NoError(t, f.listener.Close())
	drained := make(chan bool, 1)
	go func() { drained <- f.tracker.Drain(func() bool { return false }) }()

	for range 3 {
		second.send(t, "/")
		second.receive(t)
	}
	f.release <- struct{}{}
	blocked.receive(t)
	require.True(t, <-drained)
	for _, c := range []*caller{blocked, second, unused} {
		c.awaitClosed(t)
	}
}

func TestDrainExpires(t *testing.T) {
	f := serve(t)
	blocked := f.dial(t)
	blocked.send(t, "/held")
	<-f.started
	require.False(t, f.tracker.Drain(func() bool { return true }))
	f.release <- struct{}{}
	blocked.receive(t)
}

// Half of a request's head was read when its connection is to be closed as
// unused: it stays open, and the request is answered.
func TestPartlyReadRequestKeepsItsConnection(t *testing.T) {
	f := serve(t)
	read, closed := f.dial(t), f.dial(t)
	_, err := io.WriteString(read, "GET")
	require.NoError(t, err)
	f.awaitBusy(t, 1)
	f.awaitOpen(t, 2)
	f.tracker.closeUnused(func(*conn) bool { return true })
	closed.awaitClosed(t)
	_, err = io.WriteString(read, " / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	read.receive(t)
}

// A request's bytes have arrived and nothing has read them yet, as the processor
// is used up. Its connection is not closed as unused: its caller would see a
// reset where an answer could have been given. Once a connection is to be
// closed, nothing is read from it any more.
func TestUnreadBytesKeepAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	tracker := New(time.Now)
	accept := func() (*conn, net.Conn) {
		other, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = other.Close() })
		ours, err := tracker.Listener(listener).Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = ours.Close() })
		return ours.(*conn), other
	}
	waiting, sender := accept()
	_, err = io.WriteString(sender, "GET")
	require.NoError(t, err)
	require.Eventually(t, waiting.hasUnreadBytes, 10*time.Second, time.Millisecond)
	tracker.closeUnused(func(*conn) bool { return true })
	require.Equal(t, 1, tracker.Busy())
	read := make([]byte, 8)
	n, err := waiting.Read(read)
	require.NoError(t, err)
	require.Equal(t, "GET", string(read[:n]))

	unused, lateSender := accept()
	require.True(t, unused.markClosing(func(*conn) bool { return true }))
	_, err = io.WriteString(lateSender, "GET")
	require.NoError(t, err)
	_, err = unused.Read(read)
	require.ErrorIs(t, err, net.ErrClosed)
}

// The tracker holds nothing of connections that are gone.
func TestClosedConnectionsAreRemoved(t *testing.T) {
	f := serve(t)
	for range 3 {
		c := f.dial(t)
		c.send(t, "/")
		c.receive(t)
		require.NoError(t, c.Close())
	}
	f.awaitOpen(t, 0)
}

// A caller sends its next request as soon as it has its answer, which was
// flushed before the handler returned. The router's stop then closed the
// connection while that request ran: over TLS, and with two requests in one
// segment, the server had it in its buffers when the first one ended, so that no
// further read told of it.
func TestRequestReadAheadKeepsTheConnectionBusy(t *testing.T) {
	for name, f := range map[string]*fixture{"plain": serve(t), "TLS": serveTLS(t, time.Minute)} {
		t.Run(name, func(t *testing.T) {
			c := f.dial(t)
			c.send(t, "/flushed")
			<-f.started
			c.receive(t)
			c.send(t, "/held")
			f.awaitReadAhead(t)
			f.release <- struct{}{}
			<-f.started
			require.Equal(t, 1, f.tracker.Busy())
			f.tracker.closeUnused(func(*conn) bool { return true })
			f.release <- struct{}{}
			c.receive(t)
		})
	}
}

// A caller sends two requests at once. The second is read ahead with the first;
// while it runs, the connection counts as busy though nothing is read from it.
// Closed as unused, it cut off a request that an upstream was running.
func TestPipelinedRequestKeepsTheConnectionBusy(t *testing.T) {
	f := serve(t)
	c := f.dial(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	c.receive(t)
	<-f.started
	require.Equal(t, 1, f.tracker.Busy())
	f.tracker.closeUnused(func(*conn) bool { return true })
	f.release <- struct{}{}
	c.receive(t)
}

// A caller opens a connection over TLS ahead of its first request, which never
// comes. Its handshake counts as a part of a request; the server's limit on the
// time for a head ends that, so that it does not hold a stop for longer.
func TestHandshakeAloneDoesNotDelayADrain(t *testing.T) {
	f := serveTLS(t, 100*time.Millisecond)
	unused := f.dial(t)
	require.NoError(t, f.listener.Close())
	require.True(t, f.tracker.Drain(func() bool { return false }))
	unused.awaitClosed(t)
}

// Frames come on a connection of HTTP/2 also when no request is under way. A
// drain that waited for their answers would not end, and one that closed the
// connection would lose a request that arrives.
func TestHTTP2IsLeftToTheServer(t *testing.T) {
	f := serveTLS(t, time.Minute)
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	get := func() {
		answer, err := (&http.Client{Transport: transport}).Get("https://" + f.address + "/")
		require.NoError(t, err)
		require.Equal(t, 2, answer.ProtoMajor)
		require.NoError(t, answer.Body.Close())
	}
	get()
	require.NoError(t, f.listener.Close())
	require.True(t, f.tracker.Drain(func() bool { return false }))
	get()
}
