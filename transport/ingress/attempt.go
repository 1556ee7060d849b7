package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/conntrack"
	"github.com/figstile/figstile/transport/endtoend"
	"github.com/figstile/figstile/transport/upstream"
)

// rejectedRetryAfter is the Retry-After time if upstreams that were expected to
// be free rejected a request. An application worker runs a few requests in that
// time.
const rejectedRetryAfter = 250 * time.Millisecond

// errStalled cancels an attempt that its upstream will not answer, so that the
// request can be sent to another one.
var errStalled = errors.New("ingress: the upstream fell silent or passed the request over")

// attemptStatus is the outcome of a request at one upstream.
type attemptStatus uint8

const (
	// attemptDelivered means that the caller has received its final answer, or
	// has disconnected.
	attemptDelivered attemptStatus = iota
	// attemptNotSent means that nothing was sent to the upstream.
	attemptNotSent
	// attemptNotRun means that the upstream has stated that it did not run the
	// request.
	attemptNotRun
	// attemptFailed means that the upstream failed or its answer broke off. The
	// request may have run.
	attemptFailed
)

// attemptEnd describes the end of one attempt.
type attemptEnd struct {
	status attemptStatus
	// res is the final result if the answer was delivered. Otherwise it is the
	// result to use if no further attempt succeeds.
	res result.Result
}

// dispatch sends the request to upstreams until it has a final answer.
func (x *exchange) dispatch(ctx context.Context) result.Result {
	notSent := 0
	for {
		x.request.Repeatable = x.route.Repeatable() && x.attempts+1 < x.route.MaxAttempts && !x.trial
		x.request.Resumed = x.headSent
		retry := x.attempts > 0 || notSent > 0
		verdict, ticket := x.h.Dispatcher.Admit(x.request, retry)
		x.verdict = verdict
		if x.h.Observer != nil {
			x.h.Observer.Decided(x.request, verdict.Reason, retry)
		}
		if !verdict.IsAdmitted() {
			return x.answerFinal(refusal(verdict))
		}
		if !x.startTrial() {
			x.h.Dispatcher.End(ticket, placement.Withdrawn)
			_, wait := x.h.Dispatcher.CheckSuspect(x.fingerprint)
			return x.answerFinal(x.suspectedResult(wait))
		}
		end := x.attempt(ctx, ticket)
		switch end.status {
		case attemptDelivered:
			x.attempts++
			return end.res
		case attemptNotSent:
			notSent++
		default:
			x.attempts++
			x.mayHaveRun = x.mayHaveRun || end.status == attemptFailed
		}
		if ctx.Err() != nil || notSent >= maxUnsentTries || !x.mayRetry(end) {
			return x.answerFinal(x.finalResult(ctx, end))
		}
		x.request.MayHaveRun = x.mayHaveRun
		x.request.Excluded = append(x.request.Excluded, ticket.Upstream())
	}
}

// mayRetry reports whether the request may be sent to another upstream.
func (x *exchange) mayRetry(end attemptEnd) bool {
	switch {
	case end.status == attemptNotSent:
		return true
	case x.attempts >= max(x.route.MaxAttempts, 1) || x.trial:
		return false
	case end.status == attemptFailed && !x.route.Repeatable():
		return false
	default:
		return x.retryPaid || x.h.Dispatcher.SpendRetry(x.service)
	}
}

// refusal returns the result for a verdict that does not admit a request.
func refusal(v admission.Verdict) result.Result {
	code := result.Overloaded
	switch v.Reason {
	case admission.NoUpstream:
		code = result.NoUpstream
	case admission.OverShare:
		code = result.OverShare
	case admission.Stopping:
		code = result.Draining
	}
	return result.New(code, "").WithRetryAfter(v.RetryAfter)
}

// finalResult returns the result of a request that is not sent to a further
// upstream.
func (x *exchange) finalResult(ctx context.Context, end attemptEnd) result.Result {
	switch {
	case ctx.Err() == nil:
		return end.res
	case conntrack.IsCancelled(x.r.Context()) && x.mayHaveRun:
		return result.New(result.StoppedWhileRun, "")
	case conntrack.IsCancelled(x.r.Context()):
		return result.New(result.Draining, "").WithRetryAfter(admission.OtherRouterRetryAfter)
	case x.mayHaveRun:
		return result.New(result.DeadlineWhileRun, "")
	default:
		return result.New(result.DeadlinePassed, "").WithRetryAfter(rejectedRetryAfter)
	}
}

// answerFinal sends the caller its final answer: an upstream's own error answer
// if there is one, otherwise the router's. Once an upstream may have run the
// request, no answer claims that it did not run.
func (x *exchange) answerFinal(res result.Result) result.Result {
	if x.fallback != nil && !x.headSent {
		return x.deliver(x.fallback)
	}
	if x.mayHaveRun && result.Lookup(res.Code).Ran == result.RanNo {
		res = result.New(result.UpstreamLost, "")
	}
	return x.refuse(res)
}

// attempt sends the request to the ticket's upstream once.
func (x *exchange) attempt(ctx context.Context, ticket *placement.Ticket) attemptEnd {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.h.Dispatcher.OnStall(ticket, func() { cancel(errStalled) })
	var end attemptEnd
	outcome := placement.Withdrawn
	// A ticket that is not ended would count as load forever, so it is ended
	// even if handling the answer panics.
	defer func() { x.h.Dispatcher.End(ticket, outcome) }()
	end, outcome = x.sendAttempt(inner, ticket)
	x.retryPaid = x.headSent && errors.Is(context.Cause(inner), errStalled)
	if ctx.Err() != nil {
		outcome = placement.Withdrawn
	}
	if x.h.Observer != nil {
		x.h.Observer.Attempted(ticket.Upstream(), outcome)
	}
	if end.status != attemptDelivered {
		x.logAttempt(ticket, end)
	}
	return end
}

func (x *exchange) logAttempt(ticket *placement.Ticket, end attemptEnd) {
	x.h.Log.Warn().Str("id", x.inbound.Attempt).Str("upstream", string(ticket.Upstream())).
		Int64("stop_age_ms", x.h.Dispatcher.Drain().Age(x.h.Now()).Milliseconds()).
		Int("attempt", x.attempts+1).Int("fate", int(end.status)).Int("code", int(end.res.Code)).
		Str("cause", end.res.Detail).Str("last_event", x.lastEvent).Msg("attempt ended")
}

func (x *exchange) sendAttempt(ctx context.Context, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	now := x.h.Now()
	x.record.QueueWait = now.Sub(x.arrivedAt)
	if x.h.CallerClosed != nil && x.h.CallerClosed(x.r) {
		x.record.Abandoned, x.abortConn = true, true
		return attemptEnd{attemptDelivered, result.New(result.DeadlinePassed, "The caller left before the request was sent.")}, placement.Withdrawn
	}
	answer, err := x.h.Client.Send(ctx, x.buildAttempt(now, ticket))
	if err != nil {
		return x.classifySendError(err, ticket)
	}
	defer answer.Close()
	head := x.h.Dialect.ParseAnswerHeaders(answer.Status, answer.Header)
	switch {
	case !answer.Attributed:
		return attemptEnd{attemptFailed, result.New(result.UpstreamLost, "The answer names no request.")}, placement.Failed
	case head.NotRun:
		return attemptEnd{attemptNotRun, result.New(result.NoUpstream, "The upstream would not take the request.").WithRetryAfter(rejectedRetryAfter)}, placement.Rejected
	case !head.Signed:
		return attemptEnd{attemptFailed, result.New(result.UpstreamFailed, "The answer is not an upstream's own.")}, placement.Failed
	case answer.Status < http.StatusOK:
		return attemptEnd{attemptFailed, result.New(result.UpstreamFailed, "The upstream changed the protocol.")}, placement.Failed
	case x.route.Kind == routing.Stream && isEventStream(answer):
		return x.relayStream(answer, ticket)
	case x.headSent:
		// Only the rest of a stream may follow its beginning.
		return attemptEnd{attemptFailed, result.New(result.AnswerTruncated, "The stream could not be resumed.")}, placement.Failed
	default:
		return x.relayBuffered(answer, ticket)
	}
}

// buildAttempt builds the request that is sent to an upstream.
func (x *exchange) buildAttempt(now time.Time, ticket *placement.Ticket) upstream.Attempt {
	header := make(http.Header, len(x.r.Header)+4)
	endtoend.Copy(header, x.r.Header)
	x.h.Dialect.SetUpstreamHeaders(header, Outbound{
		Upstream:  ticket.Upstream(),
		Workspace: x.workspace,
		Deadline:  max(x.deadline.Sub(now), time.Millisecond),
		LastEvent: x.lastEvent,
	})
	return upstream.Attempt{
		BaseURL: "http://" + x.verdict.Estimate.Address,
		Target:  x.r.URL.RequestURI(),
		Method:  x.r.Method,
		Host:    x.r.Host,
		Header:  header,
		Body:    x.body,
		Token:   x.inbound.Attempt,
	}
}

// classifySendError returns the end and the outcome of an attempt without an
// answer.
func (x *exchange) classifySendError(err error, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	if upstream.StageOf(err) == upstream.StageNotSent {
		return attemptEnd{attemptNotSent, result.New(result.NoUpstream, err.Error()).WithRetryAfter(rejectedRetryAfter)}, placement.Unconnected
	}
	return attemptEnd{attemptFailed, result.New(result.UpstreamLost, err.Error())}, x.reportBroken(err, ticket)
}

// ownReasons are the reasons for which the router itself ends an attempt.
var ownReasons = []error{context.Canceled, context.DeadlineExceeded, upstream.ErrCrossed, errStalled}

// unusableReasons are the reasons for which an upstream's answer is not used
// although its connection did not break. Such an answer says nothing about the
// request.
var unusableReasons = []error{upstream.ErrMalformed, upstream.ErrTooLong, errEventTooLong, errNoEvent, errEventOrder}

// reportBroken reports an attempt whose answer was not received completely, and
// returns its outcome. Only an upstream that ended the connection may have been
// crashed by the request.
func (x *exchange) reportBroken(err error, ticket *placement.Ticket) placement.Outcome {
	switch {
	case errors.Is(err, errAnswerMemory):
		return placement.Withdrawn
	case isAny(err, ownReasons):
	case isAny(err, unusableReasons):
		return placement.Failed
	default:
		x.h.Dispatcher.ReportLost(x.fingerprint, ticket)
	}
	return placement.Broken
}

func isAny(err error, reasons []error) bool {
	return slices.ContainsFunc(reasons, func(reason error) bool { return errors.Is(err, reason) })
}
