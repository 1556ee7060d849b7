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
	// defaultMaxRequests limits the requests that a router holds at once. Each
	// uses a goroutine and buffers; this many stay well below the memory of a
	// small VM.
	defaultMaxRequests = 8192
	// defaultBodyBudget limits the bytes of all request bodies that a router
	// holds at once.
	defaultBodyBudget = 256 << 20
	// defaultBodyTimeout limits the time to read one body, so that a caller
	// that sends its body slowly cannot occupy memory for long.
	defaultBodyTimeout = 30 * time.Second
	// defaultWriteTimeout limits one write to a caller. Without it, a caller
	// that stops reading would keep a slot of an engine occupied.
	defaultWriteTimeout = 30 * time.Second
)

// Options configure a Handler. Limits that are zero take the defaults.
type Options struct {
	Router      state.Router
	Incarnation state.Incarnation
	Scheduler   Scheduler
	Settings    Settings
	// Claims may be nil; requests with an idempotency key are then refused.
	Claims   Claims
	Client   *upstream.Client
	Observer Observer
	Log      zerolog.Logger
	// Now is the clock; nil means the system's clock.
	Now func() time.Time
	// AfterFunc runs f after d unless stopped; nil means the system's timer.
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

// Handler serves the requests of callers below /{service}/.
type Handler struct {
	opts     Options
	budget   *budget
	attempts atomic.Uint64
}

// NewHandler returns a Handler with the given options.
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

// ServeHTTP serves one request until its final result. If an answer broke off
// after its head was sent, it aborts the connection, so that the caller's HTTP
// library reports an error.
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
	// The connection may be reused for a request to another handler, to which
	// this write deadline must not apply.
	_ = x.control.SetWriteDeadline(time.Time{})
	if x.abortConnection {
		panic(http.ErrAbortHandler)
	}
}

// exchange is the state of one caller's request while it is being served. Only
// the goroutine of its HTTP handler uses it.
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
	// dispatched is true from a Dispatch of the scheduler until ReportEnd.
	dispatched bool
	// sent is set once any byte of the request may have reached an upstream.
	// From then on no result may state that the request did not run.
	sent bool
	// claimed is the idempotency claim held for this request; nil if there is
	// none.
	claimed *ClaimRequest
	// abortConnection is set if the connection must be aborted, because the
	// answer cannot be completed.
	abortConnection bool
	record          Record
}

func (x *exchange) run() result.Result {
	if !x.r.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 caller takes the end of the connection for the end of the
		// answer, so it would take a truncated answer for a complete one.
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

// correctRan changes a refusal's "not run" to "unknown" once something was sent
// to an upstream. A later refusal, such as that of a retry that found no
// upstream, does not take the earlier attempt into account.
func (x *exchange) correctRan(res result.Result) result.Result {
	if x.sent && res.Ran == result.RanNo {
		return res.WithRan(result.RanUnknown)
	}
	return res
}

// finishRequest completes the claim, and reports the request to the observer
// and the log.
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
