package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/problem"
	"github.com/figstile/figstile/transport/upstream"
)

const (
	// defaultMaxRequests bounds the requests a router holds at once: with a
	// goroutine and buffers each they stay well under a small VM's memory.
	defaultMaxRequests = 8192
	// defaultBodyBudget bounds the bodies a router holds at once.
	defaultBodyBudget = 256 << 20
	// defaultBodyTimeout bounds reading one body, so that a caller that
	// trickles bytes cannot hold memory for long.
	defaultBodyTimeout = 30 * time.Second
	// defaultWriteTimeout bounds one write to a caller. A caller that stops
	// reading would otherwise keep an engine's slot.
	defaultWriteTimeout = 30 * time.Second
)

// Options wire a Handler. Zero limits take the defaults.
type Options struct {
	Router      state.Router
	Incarnation state.Incarnation
	Scheduler   Scheduler
	Settings    Settings
	// Claims may be nil; requests with a key are then refused.
	Claims   Claims
	Client   *upstream.Client
	Observer Observer
	Log      zerolog.Logger
	// Now is the clock; nil takes the system's.
	Now func() time.Time
	// AfterFunc runs f after d unless stopped; nil takes the system's timer.
	AfterFunc func(d time.Duration, f func()) (stop func() bool)

	MaxRequests  int
	BodyBudget   int64
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.AfterFunc == nil {
		o.AfterFunc = afterFunc
	}
	if o.MaxRequests == 0 {
		o.MaxRequests = defaultMaxRequests
	}
	if o.BodyBudget == 0 {
		o.BodyBudget = defaultBodyBudget
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	return o
}

func afterFunc(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }

// Handler serves /{service}/... to callers.
type Handler struct {
	opts     Options
	budget   *budget
	attempts atomic.Uint64
}

// NewHandler returns a handler for callers.
func NewHandler(opts Options) *Handler {
	opts = opts.withDefaults()
	return &Handler{opts: opts, budget: newBudget(opts.MaxRequests, opts.BodyBudget)}
}

func (h *Handler) nextAttempt() state.AttemptID {
	return state.AttemptID{
		Router:      h.opts.Router,
		Incarnation: h.opts.Incarnation,
		Sequence:    h.attempts.Add(1),
	}
}

// ServeHTTP runs one request to its final result. It aborts the connection of
// an answer that broke off, so that the caller's own HTTP library sees it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		h:         h,
		w:         w,
		r:         r,
		ctx:       r.Context(),
		control:   http.NewResponseController(w),
		arrivedAt: h.opts.Now(),
	}
	defer x.endOpenDispatch()
	res := x.run()
	x.finishRequest(res)
	// The connection may serve another handler next, which knows nothing of
	// this one's deadline.
	_ = x.control.SetWriteDeadline(time.Time{})
	if x.abortConnection {
		panic(http.ErrAbortHandler)
	}
}

// exchange is one caller's request under way. It belongs to the goroutine of
// its HTTP handler.
type exchange struct {
	h          *Handler
	w          http.ResponseWriter
	r          *http.Request
	ctx        context.Context
	control    *http.ResponseController
	allocation *allocation
	arrivedAt  time.Time

	job *job
	id  state.RequestID
	// dispatched is set from a Dispatch until its Ended.
	dispatched bool
	// sent is set once any byte of the request may have reached an upstream.
	// From then on no result says that it did not run.
	sent bool
	// claimed is the claim held for this request.
	claimed *ClaimRequest
	// abortConnection is set if the answer under way must not be ended cleanly.
	abortConnection bool
	record          Record
}

func (x *exchange) run() result.Result {
	if !x.r.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 caller takes the end of the connection for the end
		// of the answer, so a truncated one would look whole to it.
		return x.refuse(result.New(result.BadRequest, "HTTP/1.1 or later is needed."))
	}
	allocated, ok := x.h.budget.acquire()
	if !ok {
		return x.refuse(result.New(result.TooManyRequests, ""))
	}
	x.allocation = allocated
	defer allocated.release()
	j, err := x.admit()
	if err != nil {
		return x.refuse(resultOf(err))
	}
	x.job = j
	return x.followScheduler()
}

// refuse answers the caller with a problem document.
func (x *exchange) refuse(res result.Result) result.Result {
	res = x.correctRan(res)
	x.extendWriteDeadline()
	problem.Write(x.w, res)
	return res
}

// correctRan keeps a refusal from saying "not run" once something was sent: a
// later refusal, as of a retry that found no upstream, knows nothing of the
// attempt before it.
func (x *exchange) correctRan(res result.Result) result.Result {
	if x.sent && res.Ran == result.RanNo {
		return res.WithRan(result.RanUnknown)
	}
	return res
}

// finishRequest settles the claim and reports the request.
func (x *exchange) finishRequest(res result.Result) {
	if x.claimed != nil {
		x.h.opts.Claims.Complete(*x.claimed, x.claimRan(res))
	}
	x.record.Result = res
	x.record.TotalTime = x.elapsed()
	if x.h.opts.Observer != nil {
		x.h.opts.Observer.ObserveRequest(x.record)
	}
	x.logRequest()
}

func (x *exchange) claimRan(res result.Result) result.Ran {
	switch {
	case !x.sent:
		return result.RanNo
	case x.record.Abandoned || res.Ran == result.RanNo:
		return result.RanUnknown
	default:
		return res.Ran
	}
}

func (x *exchange) elapsed() time.Duration { return x.h.opts.Now().Sub(x.arrivedAt) }

func (x *exchange) extendWriteDeadline() {
	_ = x.control.SetWriteDeadline(x.h.opts.Now().Add(x.h.opts.WriteTimeout))
}

func (x *exchange) logRequest() {
	rec := &x.record
	x.h.opts.Log.Info().
		Str("event", "request").
		Str("workspace", string(rec.Workspace)).
		Str("service", string(rec.Service)).
		Str("upstream", string(rec.Upstream)).
		Int("result", int(rec.Result.Code)).
		Stringer("ran", rec.Result.Ran).
		Bool("abandoned", rec.Abandoned).
		Int("crossed", rec.CrossedAnswers).
		Dur("waited", rec.QueueWait).
		Dur("total", rec.TotalTime).
		Int64("cost", int64(rec.Cost)).
		Send()
}
