package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/problem"
)

// stopBench is one router that is told to stop.
type stopBench struct {
	*Daemon
	t       *testing.T
	secured bool
	// order tells the router to stop; done gets what Run returned.
	order context.CancelFunc
	done  chan error
}

// startStopBench runs a router with one engine at a URL.
func startStopBench(t *testing.T, engineURL string, change func(*Options)) *stopBench {
	r := &region{t: t, platform: platform.New(platform.Options{})}
	r.put("config/teams/costa", config.Subtree{Team: "costa", Workspaces: []config.Workspace{
		{Name: "one", Weight: 1, Tokens: []string{config.DigestOf("one").String()}},
	}})
	r.put(config.RootKey, config.Root{
		Teams:          []config.TeamShare{{Name: "costa", Share: 1}},
		OperatorTokens: []string{config.DigestOf("operator").String()},
		Services: []config.Service{{Name: "drafts", Kind: config.KindEngine, Repeatable: true, Upstreams: []config.Upstream{
			{Name: "engine", URL: engineURL, DataCentre: "dc"},
		}}},
	})
	way := httptest.NewServer(r.platform.Handler())
	t.Cleanup(way.Close)
	options := validOptions()
	options.Platform = way.URL
	options.MaxConnections, options.MaxHeaderBytes = 1000, 1<<16
	options.MaxQueued, options.MaxQueuedBytes = 1000, 1<<24
	change(&options)
	d, err := New(options, zerolog.New(os.Stderr).Level(zerolog.ErrorLevel))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	b := &stopBench{Daemon: d, t: t, secured: options.TLSCert != "", order: cancel, done: make(chan error, 1)}
	go func() { b.done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		way.CloseClientConnections()
	})
	eventually(t, "the router has its settings", func() bool { return len(d.Status().Versions) == 2 })
	return b
}

// secure gives a router a certificate for callers and operators.
func secure(t *testing.T) func(*Options) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	certificate := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	require.NoError(t, err)
	return func(o *Options) {
		o.TLSCert = string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Certificate[0]}))
		o.TLSKey = string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}))
	}
}

// stopCaller is a caller's or an operator's end of a connection.
type stopCaller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (b *stopBench) dial(address string) *stopCaller {
	conn, err := net.Dial("tcp", address)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() })
	if b.secured {
		secured := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
		require.NoError(b.t, secured.Handshake())
		conn = secured
	}
	return &stopCaller{conn, b.t, bufio.NewReader(conn)}
}

func (c *stopCaller) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// receive reads a whole answer.
func (c *stopCaller) receive() *http.Response {
	c.t.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, err = io.ReadAll(answer.Body)
	require.NoError(c.t, err)
	return answer
}

func takesConnections(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// half is the first part of a request's head, which ends in the other.
const half = "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: "

// stopDoor is one of the listeners that a router closes at a stop.
type stopDoor struct {
	name    string
	address func(Addresses) string
	// held is the head of a request whose body the router waits for.
	held string
	// path is that of a further request, status the answer to it.
	path   string
	status int
	code   string
}

var stopDoors = []stopDoor{
	{
		name: "callers", address: func(a Addresses) string { return a.Callers },
		held: "POST /drafts/v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer one\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n",
		path: "/drafts/v1/models", status: http.StatusServiceUnavailable, code: "2005",
	},
	{
		name: "operators", address: func(a Addresses) string { return a.Admin },
		held: "POST /admin/v1/teams HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer operator\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n",
		path: "/healthz", status: http.StatusOK,
	},
}

// A router is told to stop while the body of a request comes in slowly. A
// caller has sent half of its next request's head and sends the rest when the
// router takes no connections any more. Its connection was closed without an
// answer, and no log line named the request: http.Server.Shutdown closes a
// connection whose next request it has read, and calls no handler. Operators'
// connections ended the same way.
func TestStopAnswersWhatWasRead(t *testing.T) {
	plain := func(*Options) {}
	for _, door := range stopDoors {
		t.Run(door.name, func(t *testing.T) { door.check(t, startStopBench(t, "http://127.0.0.1:1", plain)) })
		t.Run(door.name+" over TLS", func(t *testing.T) { door.check(t, startStopBench(t, "http://127.0.0.1:1", secure(t))) })
	}
}

func (d stopDoor) check(t *testing.T, b *stopBench) {
	address := d.address(b.Addresses())
	late := b.dial(address)
	late.send(fmt.Sprintf(half, d.path))
	held := b.dial(address)
	held.send(d.held)
	line, err := held.reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = held.reader.ReadString('\n')
	require.NoError(t, err)

	b.order()
	eventually(t, "the listener is closed", func() bool { return !takesConnections(address) })
	late.send("Bearer one\r\n\r\n")
	answer := late.receive()
	require.Equal(t, d.status, answer.StatusCode)
	require.Equal(t, d.code, answer.Header.Get(problem.HeaderResult))
	require.True(t, answer.Close)

	held.send("{}")
	held.receive()
	require.NoError(t, <-b.done)
}

// Callers keep connections of HTTP/2 open and probe them with pings. A router
// that takes such a frame for a part of a request would not end its stop.
func TestStopEndsWithHTTP2Open(t *testing.T) {
	b := startStopBench(t, "http://127.0.0.1:1", secure(t))
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{InsecureSkipVerify: true},
		ForceAttemptHTTP2: true,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: time.Millisecond},
	}
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport}).Get("https://" + b.Addresses().Admin + "/healthz")
	require.NoError(t, err)
	require.Equal(t, 2, answer.ProtoMajor)
	require.NoError(t, answer.Body.Close())
	b.order()
	require.NoError(t, <-b.done)
}

// A router has a second to stop. Requests are with an engine for longer than
// that, another one waits for its only slot. When the time was over their
// connections were closed without an answer, so that no caller could tell
// whether its request had run: the server was closed under its handlers, and
// "drain timed out" was all that the log said.
func TestStopAnswersWhatHasNotEnded(t *testing.T) {
	slow := engine.New(engine.Options{Options: upstream.Options{Name: "engine", Slots: 1}, TokenDelay: time.Hour})
	url, stop, err := slow.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(stop)
	b := startStopBench(t, url, func(o *Options) { o.DrainTimeout = time.Second })
	// An engine is sent one request more than it has slots.
	sent := []*stopCaller{b.request(), b.request()}
	eventually(t, "the engine has its requests", func() bool { return len(slow.Ledger().Entries()) == len(sent) })
	waiting := b.request()
	eventually(t, "a request waits", func() bool { return b.Status().Waiting == 1 })

	b.order()
	for _, c := range sent {
		answer := c.receive()
		require.Equal(t, http.StatusBadGateway, answer.StatusCode)
		require.Equal(t, "5002", answer.Header.Get(problem.HeaderResult))
		require.Equal(t, "unknown", answer.Header.Get(problem.HeaderRan))
	}
	answer := waiting.receive()
	require.Equal(t, "2005", answer.Header.Get(problem.HeaderResult))
	require.Equal(t, "no", answer.Header.Get(problem.HeaderRan))
	require.NoError(t, <-b.done)
}

// request sends a request on a connection of its own.
func (b *stopBench) request() *stopCaller {
	c := b.dial(b.Addresses().Callers)
	c.send("POST /drafts/v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer one\r\nContent-Length: 2\r\n\r\n{}")
	return c
}
