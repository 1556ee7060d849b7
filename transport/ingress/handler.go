package ingress

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/freshness"
	"github.com/figstile/figstile/coordination/memory"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/conntrack"
	"github.com/figstile/figstile/transport/problem"
	"github.com/figstile/figstile/transport/upstream"
)

const (
	// defaultDeadline limits a request if neither its caller nor its route sets
	// a deadline.
	defaultDeadline = time.Minute
	// unreadLimit is how long after its deadline an answer may wait for its caller
	// to read it. A caller that does not read holds its connection until then.
	unreadLimit = time.Second
	// maxUnsentTries limits how often a request is placed at an upstream to
	// which no connection can be opened. Such tries reach no upstream and cost
	// the fleet nothing, but each may take as long as the dial timeout.
	maxUnsentTries = 4
)

// Options configure a Handler.
type Options struct {
	Dialect    Dialect
	Dispatcher Dispatcher
	Client     *upstream.Client
	// AnswerMemory limits what is held of all answers at once. If nil, only each
	// answer by itself is limited.
	AnswerMemory *memory.Budget
	// BodyMemory limits what is held of all callers' bodies at once. If nil, only
	// each body by itself is limited.
	BodyMemory *memory.Budget
	Observer   Observer
	Log        zerolog.Logger
	// Now is the clock for latencies.
	Now func() time.Time
	// ShouldClose reports whether answers should ask callers to close their
	// connections, because too many are open. If nil, they never do.
	ShouldClose func() bool
	// CallerClosed reports whether a request's caller has closed its
	// connection, even if the request's context was not cancelled yet. If nil,
	// only the context is checked.
	CallerClosed func(r *http.Request) bool
	// ReadDelay returns how long a request waited before it was read. If nil,
	// the delay is 0.
	ReadDelay func(r *http.Request) time.Duration
}

// Record describes one finished request for an Observer.
type Record struct {
	Workspace state.Workspace
	Class     string
	Result    result.Result
	// Attempts is the number of upstreams that the request was sent to.
	Attempts int
	// QueueWait is the time from the request's arrival to the start of its last
	// attempt, FirstOutput that to the first event or to the answer, and
	// TotalTime that to the end. They are 0 if not reached.
	QueueWait, FirstOutput, TotalTime time.Duration
	// Abandoned is set if the caller disconnected before the end.
	Abandoned bool
}

// Observer receives events of requests for metrics. It must not block.
type Observer interface {
	// Decided is called for each decision to send or refuse a request. retry is
	// set if the request was sent before.
	Decided(r admission.Request, reason admission.Reason, retry bool)
	// Attempted is called at the end of each attempt, with its outcome.
	Attempted(upstream state.Upstream, outcome placement.Outcome)
	Finished(rec Record)
	ObserveEventGap(ws state.Workspace, class string, gap time.Duration)
}

// Handler is the HTTP handler for callers.
type Handler struct {
	Options
	running atomic.Int64
}

// NewHandler returns a handler with the given options.
func NewHandler(opts Options) *Handler { return &Handler{Options: opts} }

// Running returns the number of running requests.
func (h *Handler) Running() int64 { return h.running.Load() }

// exchange is one running request of a caller. It belongs to the goroutine of
// its HTTP handler.
type exchange struct {
	h          *Handler
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	arrivedAt  time.Time
	// readDelay is how long the request waited before arrivedAt to be read. The
	// caller's deadline is counted from the beginning of that wait.
	readDelay time.Duration

	inbound     Inbound
	table       *routing.Table
	route       *routing.Route
	service     state.Service
	workspace   state.Workspace
	body        []byte
	fingerprint state.Fingerprint
	request     admission.Request
	// deadline is the time at which the answer is due: when the caller stops
	// waiting or the route's timeout ends, whichever is earlier.
	deadline time.Time

	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// attempts is the number of upstreams that the request was sent to.
	attempts int
	// headSent is set once the head of the answer was sent to the caller.
	headSent bool
	// retryPaid is set if the dispatcher spent a retry when it cancelled the
	// last attempt.
	retryPaid bool
	// abortConn is set if the answer is incomplete, so that its connection must
	// be aborted.
	abortConn bool
	// lastEvent is the id of the last event that was relayed completely.
	lastEvent string
	// fallback is an upstream's own error answer. It is delivered if no other
	// upstream succeeds.
	fallback *bufferedAnswer
	// bodyHeld is the reservation for the caller's body.
	bodyHeld memory.Reservation
	// answerHeld is the reservation for the bodies of answers that are held.
	answerHeld memory.Reservation
	verdict    admission.Verdict
	record     Record
	// trial is set if the request has crashed upstreams and is tried once more,
	// and trialStarted once that trial was begun or refused.
	trial, trialStarted bool
	// configStatus is set if the request named a route or key that the
	// configuration does not contain.
	configStatus *freshness.Status
	// stopAge is the time from the order to stop the router to the arrival of
	// the request, or 0 without a stop.
	stopAge time.Duration
	// lastEventsAt is the time at which the last events of a stream were
	// received. longestGap is the longest time between two such times.
	lastEventsAt time.Time
	longestGap   time.Duration
}

// ServeHTTP handles one request up to its final answer. If the answer breaks
// off, the connection is aborted, so that the caller's HTTP library detects it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stop := h.Dispatcher.Drain()
	x := &exchange{h: h, w: w, r: r, controller: http.NewResponseController(w), arrivedAt: h.Now()}
	x.stopAge = stop.Age(x.arrivedAt)
	x.answerHeld.Budget, x.bodyHeld.Budget = h.AnswerMemory, h.BodyMemory
	defer x.answerHeld.Release()
	defer x.bodyHeld.Release()
	h.running.Add(1)
	defer h.running.Add(-1)
	defer x.recoverPanic()
	if stop.Begun() || h.ShouldClose != nil && h.ShouldClose() {
		w.Header().Set("Connection", "close")
	}
	if h.ReadDelay != nil {
		x.readDelay = h.ReadDelay(r)
	}
	// The deadline for writing of an earlier request on this connection ends.
	_ = x.controller.SetWriteDeadline(time.Time{})
	res := x.run()
	x.finishRecord(res)
	if x.abortConn {
		panic(http.ErrAbortHandler)
	}
}

// recoverPanic answers a request whose handling panicked, or aborts its
// connection if the answer has begun. Without it, net/http would always abort
// the connection and print a stack to standard error.
func (x *exchange) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	x.h.Log.Error().Str("id", x.inbound.Attempt).Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("handler failed")
	if x.headSent {
		panic(http.ErrAbortHandler)
	}
	x.finishRecord(x.refuse(result.New(result.Internal, "")))
}

func (x *exchange) run() result.Result {
	if res, ok := x.admit(); !ok {
		return x.refuse(res)
	}
	timeLeft := x.deadline.Sub(x.h.Now())
	ctx, cancel := context.WithTimeout(x.r.Context(), timeLeft)
	defer cancel()
	// A server that does not support deadlines only lacks this limit.
	_ = x.controller.SetWriteDeadline(time.Now().Add(max(timeLeft, 0) + unreadLimit))
	return x.dispatch(ctx)
}

// refuse answers with an error of the router itself.
func (x *exchange) refuse(res result.Result) result.Result {
	if x.headSent {
		x.abortConn = true
		return res
	}
	if res.RetryAfter > 0 {
		x.h.Dialect.SetRetryAfter(x.w.Header(), res.RetryAfter)
	}
	problem.Write(x.w, res)
	return res
}

func (x *exchange) finishRecord(res result.Result) {
	if x.r.Context().Err() != nil && !conntrack.IsCancelled(x.r.Context()) && res.Code != result.OK {
		x.record.Abandoned = true
	}
	x.record.Result = res
	x.record.Attempts = x.attempts
	x.record.TotalTime = x.h.Now().Sub(x.arrivedAt)
	if x.h.Observer != nil {
		x.h.Observer.Finished(x.record)
	}
	x.logRequest(res)
}

// logRequest writes the log line of the request. A request that was refused
// before its route was looked up has no decision to log: a router at capacity
// refuses hundreds of requests a second and would spend its CPU time on empty
// fields.
func (x *exchange) logRequest(res result.Result) {
	event := x.h.Log.Info()
	if res.Code != result.OK {
		event = x.h.Log.Warn()
	}
	event.Str("id", x.attemptID()).
		Int("code", int(res.Code)).
		Stringer("ran", res.Ran).
		Int("attempts", x.attempts).
		Int64("total_ms", x.record.TotalTime.Milliseconds())
	if x.route != nil {
		event.Str("workspace", string(x.workspace)).
			Str("route", x.record.Class).
			Str("service", string(x.service)).
			Str("upstream", string(x.verdict.Estimate.Upstream)).
			Stringer("decision", x.verdict.Reason).
			Int64("wait_ms", x.verdict.Estimate.WaitTime.Milliseconds()).
			Int64("own_ms", x.verdict.Estimate.ProcessingTime.Milliseconds()).
			Int64("limit_ms", x.verdict.WaitLimit.Milliseconds()).
			Float64("share_used", x.verdict.Standing.ShareUse).
			Float64("share_here", x.verdict.Standing.LocalShareUse).
			Uint64("fingerprint", uint64(x.fingerprint)).
			Int("prompt", x.inbound.PromptTokens).
			Int("unread", x.verdict.Estimate.UncachedTokens).
			Int("output", x.request.ExpectedOutputTokens).
			Int64("elapsed_ms", x.request.Elapsed.Milliseconds()).
			Int64("target_ms", x.request.TargetLatency.Milliseconds()).
			Int64("first_ms", x.record.FirstOutput.Milliseconds()).
			Int64("pause_ms", x.longestGap.Milliseconds())
	}
	if x.configStatus != nil {
		logConfigStatus(event, *x.configStatus)
	}
	if x.trial {
		event.Bool("trial", true)
	}
	if res.RetryAfter > 0 {
		event.Int64("retry_after_ms", res.RetryAfter.Milliseconds())
	}
	if x.readDelay >= time.Millisecond {
		event.Int64("unread_ms", x.readDelay.Milliseconds())
	}
	if x.stopAge > 0 {
		event.Int64("stop_age_ms", x.stopAge.Milliseconds())
	}
	if x.record.Abandoned {
		event.Bool("abandoned", true)
	}
	if res.Detail != "" {
		event.Str("detail", res.Detail)
	}
	event.Msg("request")
}

// attemptID returns the caller's id of the request. The headers are not parsed
// yet if the request was refused before its route was found.
func (x *exchange) attemptID() string {
	if x.inbound.Attempt != "" {
		return x.inbound.Attempt
	}
	return x.r.Header.Get(x.h.Dialect.AttemptHeader())
}

// logConfigStatus adds what decided that a route or key is unknown.
func logConfigStatus(event *zerolog.Event, s freshness.Status) {
	age := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return s.Now.Sub(at).Milliseconds()
	}
	event.Bool("config_current", s.Current).
		Uint64("config_held", s.Held.Revision).
		Str("config_from", s.Held.Source).
		Int64("config_held_ms", age(s.Held.At)).
		Uint64("config_known", s.Newest.Revision).
		Str("config_known_from", s.Newest.Source).
		Int64("config_known_ms", age(s.Newest.At)).
		Uint64("config_confirmed", s.Confirmation.Revision).
		Str("config_confirmed_by", s.Confirmation.Source).
		Int64("config_confirmed_ms", age(s.Confirmation.At))
}
