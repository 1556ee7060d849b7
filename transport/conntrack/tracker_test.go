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

// fixture is an HTTP server whose connections are tracked. The handler of /held
// waits for the test to release it before it answers, and the handler of
// /flushed after it has answered and flushed.
type fixture struct {
	tracker  *Tracker
	listener net.Listener
	address  string
	useTLS   bool
	// seconds is the clock's time in Unix seconds.
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

// serveTLS serves over TLS with a limit on the time to receive a request's
// head.
func serveTLS(t *testing.T, headerTimeout time.Duration) *fixture {
	t.Helper()
	f, server := newFixture(t)
	f.useTLS = true
	certificateServer := httptest.NewTLSServer(http.NotFoundHandler())
	certificateServer.Close()
	server.TLSConfig = &tls.Config{Certificates: certificateServer.TLS.Certificates}
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

// caller is the caller's end of a connection.
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
		tlsConn := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		_ = tlsConn.Handshake()
		conn = tlsConn
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

// open reports whether the other end keeps the connection open. It waits for 10
// ms only.
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

// awaitReadAhead waits until the server has read more bytes after its answer.
func (f *fixture) awaitReadAhead(t *testing.T) {
	t.Helper()
	require.Eventually(t, f.tracker.hasReadAhead, 10*time.Second, time.Millisecond)
}

// hasReadAhead reports whether more bytes were read from a connection after its
// last answer.
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

// Operators raise the limit on unused connections, and callers rely on it. If a
// connection is closed by the old limit, its caller has to open a new one, and
// a request that crosses the close may be lost.
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

// A router stops while a request runs. A caller sends another request on an
// open connection meanwhile, and it must be answered. All connections are
// closed once no request is running, also a connection that was never used.
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

// A part of a request's head was read when its connection is to be closed as
// unused. The connection must stay open, and the request must be answered.
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

// The kernel has received a request's bytes, but they were not read as the CPU
// is fully used. The connection must not be closed as unused, or its caller
// would see a reset instead of an answer. Once a connection is to be closed,
// nothing may be read from it.
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

// The tracker must not keep closed connections.
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

// A caller sends its next request as soon as it has an answer that was flushed
// before its handler returned. The server then has that request in its buffers,
// over TLS or with two requests in one segment, and no further read shows it. A
// stop closed the connection while the request ran.
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

// A caller sends two requests at once, and the second is read together with the
// first. While it runs, the connection is busy although nothing is read from
// it. When it was closed as unused, a running request was cut off.
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

// A caller opens a TLS connection in advance and never sends a request. Its
// handshake counts as a part of a request. The server's limit on the time to
// receive a head ends that, so that a stop does not wait longer.
func TestHandshakeAloneDoesNotDelayADrain(t *testing.T) {
	f := serveTLS(t, 100*time.Millisecond)
	unused := f.dial(t)
	require.NoError(t, f.listener.Close())
	require.True(t, f.tracker.Drain(func() bool { return false }))
	unused.awaitClosed(t)
}

// On an HTTP/2 connection, frames also arrive while no request is running. A
// drain that waited for answers to them would not end, and a drain that closed
// the connection would lose a request that arrives.
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
