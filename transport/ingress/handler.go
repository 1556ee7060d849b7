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
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/conntrack"
	"github.com/figstile/figstile/transport/problem"
	"github.com/figstile/figstile/transport/upstream"
)

const (
	// defaultDeadline bounds a request whose caller and route name none.
	defaultDeadline = time.Minute
	// defaultMaxBodyBytes bounds a body while the configuration has no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxUnsentTries bounds how often a request is placed anew after no
	// connection could be made. Such tries reach no upstream and cost the
	// fleet nothing, but each may take a dial's timeout.
	maxUnsentTries = 4
)

// Options wire a Handler.
type Options struct {
	Dialect    Dialect
	Dispatcher Dispatcher
	Client     *upstream.Client
	Observer   Observer
	Log        zerolog.Logger
	// Now is the clock for latencies.
	Now func() time.Time
	// ShouldClose says whether callers should close their connections after an
	// answer, because so many are open; nil means never.
	ShouldClose func() bool
	// CallerClosed says whether a request's caller has closed its connection, even if
	// the request's context does not show it yet; nil leaves it to that.
	CallerClosed func(r *http.Request) bool
	// ReadDelay returns how long a request waited before it was read; nil means
	// that none does.
	ReadDelay func(r *http.Request) time.Duration
}

// Record describes one finished request to an Observer.
type Record struct {
	Workspace state.Workspace
	Class     string
	Result    result.Result
	// Attempts counts the upstreams that the request was sent to.
	Attempts int
	// QueueWait is the time until the last attempt began, First that to the first
	// event or the answer, Total that to the end; zero where not reached.
	QueueWait, FirstOutput, TotalTime time.Duration
	// Abandoned is set if the caller left first.
	Abandoned bool
}

// Observer hears of requests, for metrics. It must not block.
type Observer interface {
	// Decided hears each decision to send or refuse a request; repeat is set if
	// the request was sent before.
	Decided(r admission.Request, reason admission.Reason, repeat bool)
	// Attempted hears how an attempt ended at its upstream.
	Attempted(upstream state.Upstream, outcome placement.Outcome)
	Finished(rec Record)
	ObserveEventGap(ws state.Workspace, class string, gap time.Duration)
}

// Handler serves callers.
type Handler struct {
	Options
	running atomic.Int64
}

// NewHandler returns a handler.
func NewHandler(opts Options) *Handler { return &Handler{Options: opts} }

// Running counts the requests under way.
func (h *Handler) Running() int64 { return h.running.Load() }

// exchange is one caller's request under way. It belongs to the goroutine of
// its HTTP handler.
type exchange struct {
	h          *Handler
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	arrivedAt  time.Time
	// readDelay is how long the request waited before that; its caller's time
	// counts from there.
	readDelay time.Duration

	inbound     Inbound
	table       *routing.Table
	route       *routing.Route
	service     state.Service
	workspace   state.Workspace
	body        []byte
	fingerprint state.Fingerprint
	request     admission.Request
	// deadline is when the answer is due: when the caller leaves or the route's
	// timeout passes, whichever is sooner.
	deadline time.Time

	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// attempts counts the upstreams that the request was sent to.
	attempts int
	// headSent is set once the head of the answer went to the caller.
	headSent bool
	// retryPaid is set if the dispatcher spent a retry when it gave up the last
	// attempt.
	retryPaid bool
	// abortConn is set if the answer under way must not be ended cleanly.
	abortConn bool
	// lastEvent is the last event that was passed on whole.
	lastEvent string
	// fallback is an upstream's own failure, delivered if no other upstream
	// does better.
	fallback *bufferedAnswer
	verdict  admission.Verdict
	record   Record
	// stopAge is how long before the request the router was told to stop.
	stopAge time.Duration
	// lastEventsAt is when the last part of a stream came, longest the longest time
	// between two.
	lastEventsAt time.Time
	longestGap   time.Duration
}

// ServeHTTP runs one request to its final answer. An answer that broke off
// ends with its connection, so that the caller's HTTP library sees it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stop := h.Dispatcher.Drain()
	x := &exchange{h: h, w: w, r: r, controller: http.NewResponseController(w), arrivedAt: h.Now()}
	x.stopAge = stop.Age(x.arrivedAt)
	h.running.Add(1)
	defer h.running.Add(-1)
	defer x.recoverPanic()
	if stop.Begun() || h.ShouldClose != nil && h.ShouldClose() {
		w.Header().Set("Connection", "close")
	}
	if h.ReadDelay != nil {
		x.readDelay = h.ReadDelay(r)
	}
	res := x.run()
	x.finishRecord(res)
	if x.abortConn {
		panic(http.ErrAbortHandler)
	}
}

// recoverPanic answers a request whose handling failed, or ends its connection if
// an answer has begun; net/http would end it always, and print a stack to
// standard error.
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
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline.Sub(x.h.Now()))
	defer cancel()
	return x.dispatch(ctx)
}

// refuse answers with a failure of the router's own.
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

// logRequest writes the line of the request. One that was refused before its route was
// looked up has no decision to tell of: a full router refuses hundreds a second,
// and its processor would go into empty fields.
func (x *exchange) logRequest(res result.Result) {
	event := x.h.Log.Info()
	if res.Code != result.OK {
		event = x.h.Log.Warn()
	}
	event.Str("id", x.inbound.Attempt).
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
