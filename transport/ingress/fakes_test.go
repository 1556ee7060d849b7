package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/drain"
	"github.com/figstile/figstile/coordination/freshness"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/upstream"
)

// rawUpstream answers each request with the bytes that its script writes, so
// that tests can break off answers at any position.
type rawUpstream struct {
	listener net.Listener
	script   func(conn net.Conn, request *http.Request)

	mu       sync.Mutex
	requests []*http.Request
}

func startUpstream(t *testing.T, script func(conn net.Conn, request *http.Request)) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &rawUpstream{listener: listener, script: script}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *rawUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, max(request.ContentLength, 0))
		if _, err := reader.Read(body); len(body) > 0 && err != nil {
			return
		}
		u.mu.Lock()
		u.requests = append(u.requests, request)
		u.mu.Unlock()
		u.script(conn, request)
	}
}

func (u *rawUpstream) receivedRequests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.requests...)
}

func (u *rawUpstream) address() string { return u.listener.Addr().String() }

// writeText returns a script that writes a text unchanged.
func writeText(text string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, _ *http.Request) { _, _ = conn.Write([]byte(text)) }
}

// writeAndClose returns a script that writes a text unchanged and closes the
// connection.
func writeAndClose(text string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		writeText(text)(conn, request)
		_ = conn.Close()
	}
}

// completeAnswer returns a complete signed answer that echoes the attempt id
// "x".
func completeAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d S\r\nSigned: 1\r\nAttempt: x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// chunk encodes a text as one chunk of a chunked answer.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const streamHead = "HTTP/1.1 200 OK\r\nSigned: first\r\nAttempt: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func event(id int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", id, id) }

// handlerFixture is a handler under test with its fakes.
type handlerFixture struct {
	url        string
	handler    *Handler
	dispatcher *scriptedDispatcher
}

func newHandlerFixture(t *testing.T, route routing.Route, upstreams ...*rawUpstream) *handlerFixture {
	t.Helper()
	route.Name, route.Host, route.Prefix = "r", "h", "/a/"
	route.Backends = []routing.Backend{{Service: "s", Weight: 1}}
	dispatcher := newScriptedDispatcher(routing.NewTable(routing.Config{
		Version:    1,
		Routes:     []routing.Route{route},
		Services:   []routing.Service{{Name: "s"}},
		Limits:     routing.Limits{HeaderBytes: 2000},
		Workspaces: []routing.Workspace{{Name: "w", Keys: []string{"secret"}}},
	}))
	for i, u := range upstreams {
		dispatcher.add(state.Upstream(fmt.Sprintf("u%d", i)), u.address())
	}
	handler := NewHandler(Options{
		Dialect:      plainDialect{},
		Dispatcher:   dispatcher,
		Client:       upstream.NewClient(upstream.ClientOptions{EchoHeader: "Attempt", AcceptUnframed: true, MaxAnswerBytes: 4 << 20}),
		Log:          zerolog.Nop(),
		Now:          time.Now,
		CallerClosed: func(*http.Request) bool { return dispatcher.callerClosed },
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &handlerFixture{url: server.URL, handler: handler, dispatcher: dispatcher}
}

func (d *handlerFixture) request(t *testing.T, ctx context.Context, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url+"/a/p?q=1", strings.NewReader(body))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Key", "secret")
	request.Header.Set("Attempt", "x")
	return request
}

func (d *handlerFixture) post(t *testing.T) *http.Response {
	t.Helper()
	response, err := http.DefaultClient.Do(d.request(t, context.Background(), "hello"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// scriptedDispatcher sends each request to the first upstream that was not
// excluded.
type scriptedDispatcher struct {
	// panicOnServed makes ReportServed panic, at the end of an answer.
	panicOnServed bool
	// callerClosed simulates that the kernel has received the close of the
	// caller's connection.
	callerClosed bool
	table        *routing.Table
	loadView     *placement.View

	mu             sync.Mutex
	upstreams      []directory.Upstream
	verdict        admission.Verdict
	noRetries      bool
	configStale    bool
	suspect        quarantine.Verdict
	draining       bool
	atCapacity     bool
	atCapacityFor  state.Workspace
	lostCount      int
	trials         int
	outcomes       []placement.Outcome
	stallCallbacks []func()
}

func newScriptedDispatcher(table *routing.Table) *scriptedDispatcher {
	return &scriptedDispatcher{table: table, loadView: placement.New("dc")}
}

func (d *scriptedDispatcher) add(id state.Upstream, address string) {
	u := directory.Upstream{ID: id, Address: address, Service: "s"}
	d.upstreams = append(d.upstreams, u)
	d.loadView.SetUpstream(u)
}

func (d *scriptedDispatcher) Table() *routing.Table { return d.table }
func (d *scriptedDispatcher) ConfigStatus() freshness.Status {
	return freshness.Status{Current: !d.configStale}
}

func (d *scriptedDispatcher) Admit(r admission.Request, _ bool) (admission.Verdict, *placement.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.verdict.IsAdmitted() {
		return d.verdict, nil
	}
	for _, u := range d.upstreams {
		if !contains(r.Excluded, u.ID) {
			estimate := placement.Estimate{Upstream: u.ID, Address: u.Address}
			return admission.Verdict{Estimate: estimate}, d.loadView.Place(time.Now(), r.Work, estimate)
		}
	}
	return admission.Verdict{Reason: admission.NoUpstream, RetryAfter: time.Second}, nil
}

func contains(list []state.Upstream, id state.Upstream) bool {
	for _, entry := range list {
		if entry == id {
			return true
		}
	}
	return false
}

func (d *scriptedDispatcher) OnStall(_ *placement.Ticket, cancel func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stallCallbacks = append(d.stallCallbacks, cancel)
}

func (d *scriptedDispatcher) cancelStalled(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stallCallbacks[n]()
}

func (d *scriptedDispatcher) ReportOutput(*placement.Ticket, bool) {}

func (d *scriptedDispatcher) End(_ *placement.Ticket, outcome placement.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, outcome)
}

func (d *scriptedDispatcher) SpendRetry(state.Service) bool                     { return !d.noRetries }
func (d *scriptedDispatcher) ElapsedSinceFirst(state.Fingerprint) time.Duration { return 0 }
func (d *scriptedDispatcher) CheckSuspect(state.Fingerprint) (quarantine.Verdict, time.Duration) {
	return d.suspect, time.Hour
}

func (d *scriptedDispatcher) StartTrial(state.Fingerprint) quarantine.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trials++
	if d.trials > 1 {
		return quarantine.Blocked
	}
	return d.suspect
}

func (d *scriptedDispatcher) ReportLost(state.Fingerprint, *placement.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lostCount++
}

func (d *scriptedDispatcher) ReportServed(state.Fingerprint) {
	if d.panicOnServed {
		panic("broken")
	}
}

// endedOutcomes returns the outcomes of all attempts that have ended.
func (d *scriptedDispatcher) endedOutcomes() []placement.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.outcomes)
}

func (d *scriptedDispatcher) AtCapacity() bool { return d.atCapacity }

// Drain returns a drain that no longer accepts requests if draining is set.
func (d *scriptedDispatcher) Drain() drain.Drain {
	if !d.draining {
		return drain.Drain{}
	}
	return drain.Begin(time.Unix(1, 0), time.Second)
}

// awaitEnded waits until one attempt has ended, and checks its outcome. An
// attempt ends after its caller has received the answer.
func (d *scriptedDispatcher) awaitEnded(t *testing.T, outcome placement.Outcome) {
	t.Helper()
	require.Eventually(t, func() bool { return len(d.endedOutcomes()) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []placement.Outcome{outcome}, d.endedOutcomes())
}

func (d *scriptedDispatcher) AtCapacityFor(ws state.Workspace) bool {
	return d.atCapacityFor != "" && d.atCapacityFor == ws
}

// plainDialect is a Dialect with the few headers that tests need.
type plainDialect struct{}

func (plainDialect) ParseRequestHeaders(header http.Header) (Inbound, error) {
	in := Inbound{Attempt: header.Get("Attempt"), Key: header.Get("Key"), LastEvent: header.Get("Last-Event")}
	if text := header.Get("Deadline"); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil {
			return Inbound{}, err
		}
		in.Deadline = deadline
	}
	return in, nil
}

func (plainDialect) SetUpstreamHeaders(header http.Header, out Outbound) {
	header.Del("Key")
	header.Set("Upstream", string(out.Upstream))
	if out.Workspace != "" {
		header.Set("Workspace", string(out.Workspace))
	}
	if out.LastEvent != "" {
		header.Set("Last-Event", out.LastEvent)
	}
}

func (plainDialect) ParseAnswerHeaders(_ int, header http.Header) AnswerHead {
	return AnswerHead{Signed: header.Get("Signed") != "", NotRun: header.Get("Not-Run") != ""}
}

func (plainDialect) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

func (plainDialect) AttemptHeader() string { return "Attempt" }
