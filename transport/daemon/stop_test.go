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

// stopFixture is a running router that a test stops.
type stopFixture struct {
	*Daemon
	t      *testing.T
	useTLS bool
	// requestStop tells the router to stop; done receives the result of Run.
	requestStop context.CancelFunc
	done        chan error
}

// startStopFixture runs a router with one engine at the given URL.
func startStopFixture(t *testing.T, engineURL string, change func(*Options)) *stopFixture {
	r := &twoDataCentres{t: t, platform: platform.New(platform.Options{})}
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
	proxy := httptest.NewServer(r.platform.Handler())
	t.Cleanup(proxy.Close)
	options := validOptions()
	options.Platform = proxy.URL
	options.MaxConnections, options.MaxHeaderBytes = 1000, 1<<16
	options.MaxQueued, options.MaxQueuedBytes = 1000, 1<<24
	change(&options)
	d, err := New(options, zerolog.New(os.Stderr).Level(zerolog.ErrorLevel))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	b := &stopFixture{Daemon: d, t: t, useTLS: options.TLSCert != "", requestStop: cancel, done: make(chan error, 1)}
	go func() { b.done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		proxy.CloseClientConnections()
	})
	eventually(t, "the router has received its settings", func() bool { return len(d.Status().Versions) == 2 })
	return b
}

// withCertificate returns a change of the options that sets a certificate for
// callers and operators.
func withCertificate(t *testing.T) func(*Options) {
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

// stopCaller is the connection of a caller or an operator.
type stopCaller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (b *stopFixture) dial(address string) *stopCaller {
	conn, err := net.Dial("tcp", address)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() })
	if b.useTLS {
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

func acceptsConnections(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// halfHead is the first part of a request's head; the test sends the rest
// later.
const halfHead = "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: "

// stopTarget describes the test of one of the listeners that a router closes at
// a stop.
type stopTarget struct {
	name    string
	address func(Addresses) string
	// openRequestHead is the head of a request whose body the router waits for.
	openRequestHead string
	// path is the path of a further request, status and code are the expected
	// answer.
	path   string
	status int
	code   string
}

var stopTargets = []stopTarget{
	{
		name: "callers", address: func(a Addresses) string { return a.Callers },
		openRequestHead: "POST /drafts/v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer one\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n",
		path:            "/drafts/v1/models", status: http.StatusServiceUnavailable, code: "2005",
	},
	{
		name: "operators", address: func(a Addresses) string { return a.Admin },
		openRequestHead: "POST /admin/v1/teams HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer operator\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n",
		path:            "/healthz", status: http.StatusOK,
	},
}

// TestStopAnswersRequestsAlreadyRead guards against a connection that is closed
// without an answer or log line. A caller or operator sends the rest of a
// request's head after the listener has closed, while another request runs.
// http.Server.Shutdown closes such a connection without calling a handler.
func TestStopAnswersRequestsAlreadyRead(t *testing.T) {
	plain := func(*Options) {}
	for _, target := range stopTargets {
		t.Run(target.name, func(t *testing.T) { target.check(t, startStopFixture(t, "http://127.0.0.1:1", plain)) })
		t.Run(target.name+" over TLS", func(t *testing.T) { target.check(t, startStopFixture(t, "http://127.0.0.1:1", withCertificate(t))) })
	}
}

func (s stopTarget) check(t *testing.T, b *stopFixture) {
	address := s.address(b.Addresses())
	late := b.dial(address)
	late.send(fmt.Sprintf(halfHead, s.path))
	openRequest := b.dial(address)
	openRequest.send(s.openRequestHead)
	line, err := openRequest.reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = openRequest.reader.ReadString('\n')
	require.NoError(t, err)

	b.requestStop()
	eventually(t, "the listener is closed", func() bool { return !acceptsConnections(address) })
	late.send("Bearer one\r\n\r\n")
	answer := late.receive()
	require.Equal(t, s.status, answer.StatusCode)
	require.Equal(t, s.code, answer.Header.Get(problem.HeaderResult))
	require.True(t, answer.Close)

	openRequest.send("{}")
	openRequest.receive()
	require.NoError(t, <-b.done)
}

// TestStopEndsWithHTTP2Open covers callers that keep HTTP/2 connections open
// and send pings. A router that took a ping for part of a request would not end
// its stop.
func TestStopEndsWithHTTP2Open(t *testing.T) {
	b := startStopFixture(t, "http://127.0.0.1:1", withCertificate(t))
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
	b.requestStop()
	require.NoError(t, <-b.done)
}

// TestStopAnswersUnfinishedRequests guards against closing the server under
// running handlers after the drain timeout, which left callers without an
// answer on whether their requests ran. Two requests run on an engine for
// longer than the timeout, and one waits for its only slot.
func TestStopAnswersUnfinishedRequests(t *testing.T) {
	slowEngine := engine.New(engine.Options{Options: upstream.Options{Name: "engine", Slots: 1}, TokenDelay: time.Hour})
	url, stop, err := slowEngine.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(stop)
	b := startStopFixture(t, url, func(o *Options) { o.DrainTimeout = time.Second })
	// The scheduler sends an engine one request more than it has slots.
	running := []*stopCaller{b.sendDraft(), b.sendDraft()}
	eventually(t, "the engine has received its requests", func() bool { return len(slowEngine.Ledger().Entries()) == len(running) })
	waiting := b.sendDraft()
	eventually(t, "a request waits", func() bool { return b.Status().Waiting == 1 })

	b.requestStop()
	for _, c := range running {
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

// sendDraft sends a request on a new connection.
func (b *stopFixture) sendDraft() *stopCaller {
	c := b.dial(b.Addresses().Callers)
	c.send("POST /drafts/v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer one\r\nContent-Length: 2\r\n\r\n{}")
	return c
}
