package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/conntrack"
	"github.com/figstile/figstile/transport/problem"
	"github.com/figstile/figstile/transport/upstream"
)

// fakeScheduler plays a script with one action for each step of the request. It
// closes the channel as the contract of Submit requires.
type fakeScheduler struct {
	submitted chan struct{}
	mu        sync.Mutex
	script    []scheduler.Action
	request   scheduler.Request
	actions   chan scheduler.Action
	outcomes  []scheduler.Outcome
	cost      state.Cost
	reports   int
	withdrawn bool
}

func (f *fakeScheduler) NextID() state.RequestID { return 1 }

func (f *fakeScheduler) Submit(req scheduler.Request) <-chan scheduler.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.request = req
	f.actions = make(chan scheduler.Action, len(f.script)+1)
	f.sendNext()
	close(f.submitted)
	return f.actions
}

func (f *fakeScheduler) sendNext() {
	if len(f.script) == 0 {
		return
	}
	action := f.script[0]
	f.script = f.script[1:]
	f.actions <- action
}

func (f *fakeScheduler) Withdraw(state.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn = true
	f.sendNext()
	close(f.actions)
}

func (f *fakeScheduler) ReportProgress(_ state.RequestID, cost state.Cost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cost += cost
	f.reports++
}

func (f *fakeScheduler) ReportEnd(_ state.RequestID, cost state.Cost, outcome scheduler.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cost += cost
	f.outcomes = append(f.outcomes, outcome)
	if outcome == scheduler.OutcomeLost || outcome == scheduler.OutcomeUnusable || outcome == scheduler.OutcomeNotSent {
		f.sendNext()
	}
}

func (f *fakeScheduler) reported() (outcomes []scheduler.Outcome, cost state.Cost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]scheduler.Outcome(nil), f.outcomes...), f.cost
}

type fakeView struct {
	services map[state.Service]config.Service
}

func (v fakeView) AuthenticateCaller(token string) (state.Workspace, bool) {
	return "comillas", token == "secret"
}

func (v fakeView) Service(name state.Service) (config.Service, bool) {
	svc, ok := v.services[name]
	return svc, ok
}

func (v fakeView) Allows(_ state.Workspace, _ state.Service, model state.Model) result.Code {
	if model == "denied" {
		return result.Forbidden
	}
	return result.OK
}

func (v fakeView) View() View { return v }

type fakeClaims struct {
	answer    result.Result
	panics    bool
	claimed   []ClaimRequest
	completed []result.Ran
}

func (c *fakeClaims) Claim(_ context.Context, req ClaimRequest) result.Result {
	if c.panics {
		panic("fault injected by the test")
	}
	c.claimed = append(c.claimed, req)
	return c.answer
}

func (c *fakeClaims) Complete(_ ClaimRequest, ran result.Ran) {
	c.completed = append(c.completed, ran)
}

type recordChannel chan Record

func (r recordChannel) ObserveRequest(rec Record) { r <- rec }

func (r recordChannel) ObserveEventGap(state.Workspace, string, time.Duration) {}

// handlerFixture is a handler between a scripted scheduler and one upstream.
type handlerFixture struct {
	*fakeScheduler
	claims  *fakeClaims
	records recordChannel
	url     string
	// expire triggers the deadline of the current attempt.
	expire atomic.Pointer[func()]
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelCauseFunc
}

func newHandlerFixture(t *testing.T, worker http.HandlerFunc, script ...scheduler.Action) *handlerFixture {
	t.Helper()
	up := httptest.NewServer(worker)
	t.Cleanup(up.Close)
	b := &handlerFixture{fakeScheduler: &fakeScheduler{script: script, submitted: make(chan struct{})}, claims: &fakeClaims{}, records: make(recordChannel, 1)}
	one := []config.Upstream{{Name: "one", URL: up.URL}, {Name: "dead", URL: "http://127.0.0.1:1"}}
	view := fakeView{services: map[state.Service]config.Service{
		"drafts":   {Name: "drafts", Kind: config.KindEngine, Repeatable: true, Models: []state.Model{"guide"}, Upstreams: one, Cost: config.CostWeights{InputToken: 1, OutputToken: 2}},
		"bookings": {Name: "bookings", Kind: config.KindWorker, Upstreams: one, Limits: config.Limits{BodyBytes: 64, AnswerBytes: 100_000}},
	}}
	client := upstream.NewClient(upstream.ClientOptions{})
	t.Cleanup(client.Close)
	server := httptest.NewUnstartedServer(NewHandler(Options{
		Router: "laredo-1", Incarnation: 2, Scheduler: b, Settings: view, Claims: b.claims,
		Client: client, Observer: b.records, Log: zerolog.Nop(),
		AfterFunc: func(_ time.Duration, f func()) func() bool {
			b.expire.Store(&f)
			return func() bool { return true }
		},
	}))
	requests, cancelRequests := context.WithCancelCause(context.Background())
	b.cancelRequests = cancelRequests
	server.Config.BaseContext = func(net.Listener) context.Context { return requests }
	server.Start()
	t.Cleanup(server.Close)
	b.url = server.URL
	return b
}

// post sends a request with pairs of header names and values, and returns the
// answer, its body and the error of reading the body.
func (b *handlerFixture) post(t *testing.T, path, body string, pairs ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.url+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(pairs); i += 2 {
		req.Header.Set(pairs[i], pairs[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, string(answer), err
}

func dispatch(name state.Upstream) scheduler.Dispatch {
	return scheduler.Dispatch{ID: 1, Upstream: name}
}

const chatBody = `{"model":"guide","max_tokens":100,"messages":[{"role":"user","content":"Laredo in spring"}]}`

func sse(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(upstream.AttemptHeader, r.Header.Get(upstream.AttemptHeader))
		for _, event := range events {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", event)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func TestWholeStreamIsCharged(t *testing.T) {
	b := newHandlerFixture(t, sse(`{"choices":[{"delta":{"content":"a"}}]}`, `{"choices":[]}`, `{"usage":{"prompt_tokens":7,"completion_tokens":5}}`, "[DONE]"), dispatch("one"))
	resp, body, err := b.post(t, "/drafts/v1/chat/completions", chatBody, HeaderClass, "long")
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	require.Equal(t, "0", resp.Trailer.Get(problem.HeaderResult))
	require.Equal(t, "yes", resp.Trailer.Get(problem.HeaderRan))
	rec := <-b.records
	outcomes, cost := b.reported()
	require.Equal(t, []scheduler.Outcome{scheduler.OutcomeServed}, outcomes)
	require.Equal(t, 17*state.CostUnit, cost)
	require.Equal(t, cost, rec.Cost)
	require.Positive(t, b.reports)
	require.Equal(t, state.Model("guide"), b.request.Model)
	require.Equal(t, "long", b.request.Class)
	require.True(t, b.request.Repeatable)
	require.NotZero(t, b.request.Prefix)
	require.Greater(t, b.request.CostHint, 200*state.CostUnit)
}

// TestJSONAnswersAreCharged covers answers that fit into the relay's buffer and
// answers that do not.
func TestJSONAnswersAreCharged(t *testing.T) {
	for _, length := range []int{10, 3 * relayBufferBytes} {
		b := newHandlerFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			text := strings.Repeat(`\"usage\":{} `, length/13)
			_, _ = fmt.Fprintf(w, `{"choices":[{"message":{"content":"%s"}}],"usage":{"prompt_tokens":7,"completion_tokens":90000}}`, text)
		}, dispatch("one"))
		_, _, err := b.post(t, "/drafts/v1/chat/completions", chatBody)
		require.NoError(t, err)
		<-b.records
		_, cost := b.reported()
		require.Equal(t, 180_007*state.CostUnit, cost)
	}
}

// TestTruncatedStreamIsReported guards against a truncated answer that looks
// complete: an engine crashes in mid-stream, and the router ends the answer to
// the caller cleanly.
func TestTruncatedStreamIsReported(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"no terminating event": sse(`{"choices":[]}`),
		"connection closed": func(w http.ResponseWriter, r *http.Request) {
			sse(`{"choices":[]}`)(w, r)
			panic(http.ErrAbortHandler)
		},
	}
	for name, worker := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHandlerFixture(t, worker, dispatch("one"))
			resp, body, err := b.post(t, "/drafts/v1/chat/completions", chatBody)
			require.Error(t, err)
			require.Contains(t, body, "event: error\n")
			require.Contains(t, body, `"code":3003`)
			require.Empty(t, resp.Trailer.Get(problem.HeaderResult))
			<-b.records
			outcomes, _ := b.reported()
			require.Equal(t, []scheduler.Outcome{scheduler.OutcomeTruncated}, outcomes)
		})
	}
}

func TestWorkerAnswers(t *testing.T) {
	large := strings.Repeat("x", 3*relayBufferBytes)
	cases := map[string]struct {
		worker  http.HandlerFunc
		status  int
		code    string
		broken  bool
		outcome scheduler.Outcome
	}{
		"buffered": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderBusy, "250")
			w.Header().Set(problem.HeaderResult, "9999")
			w.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(w, "seat 4A")
		}, 201, "0", false, scheduler.OutcomeServed},
		"streamed": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, large)
		}, 200, "0", false, scheduler.OutcomeServed},
		"failed": {func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no seats table", http.StatusInternalServerError)
		}, 500, "3005", false, scheduler.OutcomeFailed},
		"buffered and truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99")
			_, _ = io.WriteString(w, "seat")
		}, 502, "3003", false, scheduler.OutcomeTruncated},
		"streamed and truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99000")
			_, _ = io.WriteString(w, large[:2*relayBufferBytes])
		}, 200, "", true, scheduler.OutcomeTruncated},
		"too long": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, large+large)
		}, 200, "", true, scheduler.OutcomeFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHandlerFixture(t, c.worker, dispatch("one"))
			resp, body, err := b.post(t, "/bookings/seats?flight=12", "4A")
			require.Equal(t, c.broken, err != nil)
			require.Equal(t, c.status, resp.StatusCode)
			code := resp.Header.Get(problem.HeaderResult) + resp.Trailer.Get(problem.HeaderResult)
			require.Equal(t, c.code, code)
			<-b.records
			outcomes, cost := b.reported()
			require.Equal(t, []scheduler.Outcome{c.outcome}, outcomes)
			if name == "buffered" {
				require.Equal(t, "seat 4A", body)
				require.Equal(t, state.CostUnit/4, cost)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		path, body string
		pairs      []string
		code       string
	}{
		"token":     {"/bookings/x", "", []string{"Authorization", "Bearer wrong"}, "1002"},
		"service":   {"/nothing/x", "", nil, "1004"},
		"deadline":  {"/bookings/x", "", []string{HeaderDeadline, "soon"}, "1001"},
		"class":     {"/bookings/x", "", []string{HeaderClass, "a b"}, "1001"},
		"empty key": {"/bookings/x", "", []string{HeaderIdempotencyKey, ""}, "1001"},
		"body":      {"/bookings/x", strings.Repeat("x", 65), nil, "1006"},
		"json":      {"/drafts/x", "{", nil, "1001"},
		"model":     {"/drafts/x", `{"model":"denied"}`, nil, "1003"},
		"scheduler": {"/bookings/x", "", nil, "2001"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHandlerFixture(t, nil, scheduler.Refuse{ID: 1, Result: result.New(result.QueueFull, "").WithRetryAfter(1500e6)})
			resp, body, err := b.post(t, c.path, c.body, c.pairs...)
			require.NoError(t, err)
			require.Equal(t, c.code, resp.Header.Get(problem.HeaderResult), body)
			require.Equal(t, "no", resp.Header.Get(problem.HeaderRan))
			require.Equal(t, "application/problem+json", resp.Header.Get("Content-Type"))
			if c.code == "2001" {
				require.Equal(t, "2", resp.Header.Get("Retry-After"))
			}
		})
	}
}

// TestRefusalAfterALostAttempt guards against a wrong "not run", after which a
// caller sends a booking again. The worker has read the request and crashes;
// the scheduler then refuses the retry without regard to that attempt.
func TestRefusalAfterALostAttempt(t *testing.T) {
	dropConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	b := newHandlerFixture(t, dropConnection, dispatch("dead"), dispatch("one"), scheduler.Refuse{ID: 1, Result: result.New(result.NoUpstream, "")})
	resp, _, err := b.post(t, "/bookings/seats", "4A")
	require.NoError(t, err)
	require.Equal(t, "unknown", resp.Header.Get(problem.HeaderRan))
	outcomes, _ := b.reported()
	require.Equal(t, []scheduler.Outcome{scheduler.OutcomeNotSent, scheduler.OutcomeLost}, outcomes)
}

// TestRejectedRequestIsRetriedElsewhere guards against errors at callers during
// the planned stop of an upstream. A repeatable request is sent again after a
// rejection; a request that is not repeatable is never sent twice.
func TestRejectedRequestIsRetriedElsewhere(t *testing.T) {
	var calls atomic.Int64
	worker := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		sse("[DONE]")(w, r)
	}
	first, second := dispatch("one"), dispatch("one")
	first.Attempt, second.Attempt = 1, 2
	b := newHandlerFixture(t, worker, first, second)
	resp, _, err := b.post(t, "/drafts/v1/chat/completions", chatBody)
	require.NoError(t, err)
	require.Equal(t, "0", resp.Trailer.Get(problem.HeaderResult))
	outcomes, _ := b.reported()
	require.Equal(t, []scheduler.Outcome{scheduler.OutcomeLost, scheduler.OutcomeServed}, outcomes)

	calls.Store(0)
	b = newHandlerFixture(t, worker, first, second)
	resp, _, err = b.post(t, "/bookings/seats", "4A")
	require.NoError(t, err)
	require.Equal(t, "3007", resp.Header.Get(problem.HeaderResult))
	require.Equal(t, "unknown", resp.Header.Get(problem.HeaderRan))
	require.EqualValues(t, 1, calls.Load())
}

// TestNoSecondDispatch guards against a request that runs twice: by a fault the
// scheduler dispatches a request a second time that is not repeatable.
func TestNoSecondDispatch(t *testing.T) {
	var runs atomic.Int64
	dropConnection := func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	b := newHandlerFixture(t, dropConnection, dispatch("one"), dispatch("one"))
	resp, _, err := b.post(t, "/bookings/seats", "4A", HeaderIdempotencyKey, "k1")
	require.NoError(t, err)
	require.Equal(t, "3002", resp.Header.Get(problem.HeaderResult))
	require.EqualValues(t, 1, runs.Load())
	<-b.records
	require.Len(t, b.claims.claimed, 1)
	require.Equal(t, []result.Ran{result.RanUnknown}, b.claims.completed)
}

func TestKeyedRequests(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	t.Run("completed", func(t *testing.T) {
		b := newHandlerFixture(t, ok, dispatch("one"))
		_, _, err := b.post(t, "/bookings/seats", "4A", HeaderIdempotencyKey, "k1")
		require.NoError(t, err)
		<-b.records
		require.Equal(t, "k1", b.claims.claimed[0].Key)
		require.Equal(t, []result.Ran{result.RanYes}, b.claims.completed)
	})
	t.Run("released when nothing was sent", func(t *testing.T) {
		b := newHandlerFixture(t, ok, dispatch("dead"), scheduler.Refuse{ID: 1, Result: result.New(result.UpstreamUnreachable, "")})
		resp, _, err := b.post(t, "/bookings/seats", "4A", HeaderIdempotencyKey, "k1")
		require.NoError(t, err)
		require.Equal(t, "no", resp.Header.Get(problem.HeaderRan))
		<-b.records
		require.Equal(t, []result.Ran{result.RanNo}, b.claims.completed)
	})
	t.Run("refused by the claim", func(t *testing.T) {
		b := newHandlerFixture(t, ok, dispatch("one"))
		b.claims.answer = result.New(result.KeyCompleted, "")
		resp, _, err := b.post(t, "/bookings/seats", "4A", HeaderIdempotencyKey, "k1")
		require.NoError(t, err)
		require.Equal(t, "yes", resp.Header.Get(problem.HeaderRan))
		<-b.records
		require.Empty(t, b.claims.completed)
		outcomes, _ := b.reported()
		require.Equal(t, []scheduler.Outcome{scheduler.OutcomeRefused}, outcomes)
	})
}

// TestMismatchedAnswerIsDropped guards against a caller that gets another caller's
// answer: an upstream answers an earlier attempt on a later connection.
func TestMismatchedAnswerIsDropped(t *testing.T) {
	b := newHandlerFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.AttemptHeader, "laredo-1.2.0")
		_, _ = io.WriteString(w, "another's map")
	}, dispatch("one"), scheduler.Refuse{ID: 1, Result: result.New(result.UpstreamLost, "")})
	_, body, err := b.post(t, "/bookings/map", "")
	require.NoError(t, err)
	require.NotContains(t, body, "another's")
	require.Equal(t, 1, (<-b.records).CrossedAnswers)
	outcomes, _ := b.reported()
	require.Equal(t, []scheduler.Outcome{scheduler.OutcomeLost}, outcomes)
}

// Bytes that are no answer say nothing about the request that waited, which must
// not be suspected of a crash.
func TestUnusableAnswerIsReportedAsSuch(t *testing.T) {
	for text, want := range map[string]scheduler.Outcome{
		"%%%%\r\n\r\n": scheduler.OutcomeUnusable,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%%%%\r\n": scheduler.OutcomeFailed,
	} {
		b := newHandlerFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			require.NoError(t, err)
			_, err = io.WriteString(conn, text)
			require.NoError(t, err)
		}, dispatch("one"), scheduler.Refuse{ID: 1, Result: result.New(result.UpstreamLost, "")})
		resp, _, err := b.post(t, "/bookings/map", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		<-b.records
		outcomes, _ := b.reported()
		require.Equal(t, []scheduler.Outcome{want}, outcomes)
	}
}

// TestCallerLeaves guards against slots that stay occupied after the caller has
// left. The caller's connection closes while the request waits, at the moment
// it is dispatched, or while the worker runs it.
func TestCallerLeaves(t *testing.T) {
	t.Run("while waiting, at the moment of a dispatch", func(t *testing.T) {
		b := newHandlerFixture(t, nil)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-b.submitted
			b.mu.Lock()
			b.script = []scheduler.Action{dispatch("one")}
			b.mu.Unlock()
			cancel()
		}()
		require.ErrorIs(t, b.postWith(ctx, t), context.Canceled)
		require.True(t, (<-b.records).Abandoned)
		outcomes, _ := b.reported()
		require.Equal(t, []scheduler.Outcome{scheduler.OutcomeAbandoned}, outcomes)
		require.True(t, b.withdrawn)
	})
	t.Run("while running", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		upstreamErr := make(chan error, 1)
		b := newHandlerFixture(t, func(_ http.ResponseWriter, r *http.Request) {
			// An HTTP server notices a closed connection only after the body is
			// read.
			_, _ = io.Copy(io.Discard, r.Body)
			cancel()
			<-r.Context().Done()
			upstreamErr <- r.Context().Err()
		}, dispatch("one"))
		require.ErrorIs(t, b.postWith(ctx, t), context.Canceled)
		require.ErrorIs(t, <-upstreamErr, context.Canceled)
		require.True(t, (<-b.records).Abandoned)
		outcomes, _ := b.reported()
		require.Equal(t, []scheduler.Outcome{scheduler.OutcomeAbandoned}, outcomes)
	})
}

// TestStopAnswersOpenRequests guards against callers that cannot tell whether
// their request ran. A stopping router runs out of time while a request waits,
// while the worker runs it, while its answer is buffered, or while the answer
// is streamed.
func TestStopAnswersOpenRequests(t *testing.T) {
	t.Run("while waiting", func(t *testing.T) {
		b := newHandlerFixture(t, nil)
		go func() {
			<-b.submitted
			b.cancelRequests(conntrack.ErrStopping)
		}()
		resp, _, err := b.post(t, "/bookings/x", "4A")
		require.NoError(t, err)
		require.Equal(t, "2005", resp.Header.Get(problem.HeaderResult))
		require.Equal(t, "no", resp.Header.Get(problem.HeaderRan))
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.False(t, (<-b.records).Abandoned)
	})
	t.Run("while running", func(t *testing.T) {
		var b *handlerFixture
		b = newHandlerFixture(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			b.cancelRequests(conntrack.ErrStopping)
			<-r.Context().Done()
		}, dispatch("one"))
		resp, _, err := b.post(t, "/bookings/x", "4A", HeaderIdempotencyKey, "k")
		require.NoError(t, err)
		require.Equal(t, "5002", resp.Header.Get(problem.HeaderResult))
		require.Equal(t, "unknown", resp.Header.Get(problem.HeaderRan))
		require.False(t, (<-b.records).Abandoned)
		require.Equal(t, []result.Ran{result.RanUnknown}, b.claims.completed)
		outcomes, _ := b.reported()
		require.Equal(t, []scheduler.Outcome{scheduler.OutcomeAbandoned}, outcomes)
	})
	t.Run("while the answer is buffered", func(t *testing.T) {
		var b *handlerFixture
		b = newHandlerFixture(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "seat")
			_ = http.NewResponseController(w).Flush()
			b.cancelRequests(conntrack.ErrStopping)
			<-r.Context().Done()
		}, dispatch("one"))
		resp, body, err := b.post(t, "/bookings/x", "")
		require.NoError(t, err)
		require.Equal(t, "5002", resp.Header.Get(problem.HeaderResult), body)
	})
	t.Run("while streaming", func(t *testing.T) {
		b := newHandlerFixture(t, func(w http.ResponseWriter, r *http.Request) {
			sse(`{"choices":[]}`)(w, r)
			<-r.Context().Done()
		}, dispatch("one"))
		req, err := http.NewRequest(http.MethodPost, b.url+"/drafts/v1/chat/completions", strings.NewReader(chatBody))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		b.cancelRequests(conntrack.ErrStopping)
		body, err := io.ReadAll(resp.Body)
		require.Error(t, err)
		require.Contains(t, string(body), `"code":5002`)
	})
}

// TestPanicEndsTheDispatch guards against a slot that stays occupied for good
// after the handler panics between a dispatch and the report of its end.
func TestPanicEndsTheDispatch(t *testing.T) {
	b := newHandlerFixture(t, nil, dispatch("one"))
	b.claims.panics = true
	require.Error(t, b.postWith(context.Background(), t))
	outcomes, _ := b.reported()
	require.Equal(t, []scheduler.Outcome{scheduler.OutcomeTruncated}, outcomes)
}

func (b *handlerFixture) postWith(ctx context.Context, t *testing.T) error {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/bookings/x", strings.NewReader("4A"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set(HeaderIdempotencyKey, "k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	return errors.New("answered")
}

// TestDeadlines covers a deadline that passes before the dispatch, and one that
// passes while the worker has not answered yet.
func TestDeadlines(t *testing.T) {
	var b *handlerFixture
	b = newHandlerFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		(*b.expire.Load())()
		<-r.Context().Done()
	}, dispatch("one"))
	resp, _, err := b.post(t, "/bookings/x", "")
	require.NoError(t, err)
	require.Equal(t, "3006", resp.Header.Get(problem.HeaderResult))
	require.Equal(t, "unknown", resp.Header.Get(problem.HeaderRan))

	b = newHandlerFixture(t, nil, dispatch("one"))
	resp, _, err = b.post(t, "/bookings/x", "", HeaderDeadline, "0")
	require.NoError(t, err)
	require.Equal(t, "2004", resp.Header.Get(problem.HeaderResult))
	require.Equal(t, "no", resp.Header.Get(problem.HeaderRan))
}
