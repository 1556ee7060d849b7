package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/conntrack"
	"github.com/figstile/figstile/transport/upstream"
)

// errDeadlinePassed is the cancellation cause of an attempt that reached its
// deadline.
var errDeadlinePassed = errors.New("caller: deadline passed")

// drainingRetryAfter is the Retry-After of a router that is stopping. The
// caller should retry on another router at once, and one second is the smallest
// non-zero value that the header can carry.
const drainingRetryAfter = time.Second

// followScheduler submits the request and performs the scheduler's actions
// until the request has its final result.
func (x *exchange) followScheduler() result.Result {
	x.id = x.h.opts.Scheduler.NextID()
	x.job.request.ID = x.id
	actions := x.h.opts.Scheduler.Submit(x.job.request)
	for {
		select {
		case <-x.ctx.Done():
			return x.withdraw(actions)
		case action := <-actions:
			if res, final := x.performAction(action); final {
				return res
			}
		}
	}
}

func (x *exchange) performAction(action scheduler.Action) (res result.Result, final bool) {
	switch a := action.(type) {
	case scheduler.Refuse:
		return x.refuse(a.Result), true
	case scheduler.Dispatch:
		x.dispatched = true
		return x.dispatch(a)
	default:
		return x.refuse(result.New(result.Internal, "").WithRan(result.RanNo)), true
	}
}

// withdraw withdraws a waiting request whose context has ended. The scheduler
// may dispatch the request at the same moment; such a dispatch is ended unused,
// because its slot would otherwise stay occupied.
func (x *exchange) withdraw(actions <-chan scheduler.Action) result.Result {
	x.h.opts.Scheduler.Withdraw(x.id)
	for action := range actions {
		if _, ok := action.(scheduler.Dispatch); ok {
			x.endDispatch(0, scheduler.OutcomeAbandoned)
		}
	}
	return x.endCancelled()
}

// endCancelled ends a request whose context has ended before the answer began.
func (x *exchange) endCancelled() result.Result {
	if x.isCancelledByStop() {
		return x.refuse(x.stopResult())
	}
	return x.endAbandoned()
}

// isCancelledByStop reports whether the router ended the request because it is stopping.
func (x *exchange) isCancelledByStop() bool { return conntrack.IsCancelled(x.ctx) }

func (x *exchange) stopResult() result.Result {
	if x.sent {
		return result.New(result.StoppedWhileRun, "")
	}
	return result.New(result.Draining, "").WithRetryAfter(drainingRetryAfter)
}

// endAbandoned ends a request whose caller has left. It also aborts the
// connection, because returning from the handler would send an empty 200.
func (x *exchange) endAbandoned() result.Result {
	x.abortConnection = true
	x.record.Abandoned = true
	return x.correctRan(result.New(result.DeadlinePassed, "The caller went away."))
}

// dispatch runs one attempt. It returns false for final if the scheduler
// decides again, for example on another upstream.
func (x *exchange) dispatch(d scheduler.Dispatch) (res result.Result, final bool) {
	baseURL, ok := x.baseURL(d.Upstream)
	if !ok {
		return x.endUnsent(scheduler.OutcomeNotSent)
	}
	attempt := x.h.nextAttempt()
	if res, ok := x.checkBeforeSend(attempt); !ok {
		return x.endWithoutSending(res), true
	}
	x.record.Upstream = d.Upstream
	x.record.QueueWait = x.elapsed()
	return x.sendAttempt(x.newAttempt(attempt, baseURL), d.Attempt == 1)
}

// sendAttempt runs one attempt. The request's deadline limits only the time
// until the head of the answer arrives. An answer that has begun is relayed to
// its end, because it is still useful to the caller after the deadline.
func (x *exchange) sendAttempt(attempt upstream.Attempt, first bool) (res result.Result, final bool) {
	m := newMeter(x.job, x.h.opts.Now())
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	stopTimer := x.h.opts.AfterFunc(x.untilDeadline(), func() { cancel(errDeadlinePassed) })
	answer, err := x.h.opts.Client.Send(ctx, attempt)
	if !stopTimer() && err == nil {
		// The deadline passed at the moment the head arrived.
		answer.Close()
		err = &upstream.Error{Stage: upstream.StageSent, Err: errDeadlinePassed}
	}
	if err != nil {
		return x.endUnanswered(err, context.Cause(ctx), &m)
	}
	defer answer.Close()
	x.sent = true
	if first && x.job.request.Repeatable && isRejection(answer.Status) {
		x.endAttempt(&m, 0, scheduler.OutcomeLost)
		return result.Result{}, false
	}
	x.record.HeadTime = x.elapsed()
	return x.relayAnswer(answer, &m), true
}

// isRejection reports whether an upstream rejected the request, for example
// because it is leaving or overloaded. A repeatable request is then tried once
// more on another upstream; a second rejection is passed on to the caller.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// endWithoutSending returns a dispatch to the scheduler if the request must not
// be sent any more, and ends the request.
func (x *exchange) endWithoutSending(res result.Result) result.Result {
	if x.ctx.Err() != nil {
		x.endDispatch(0, scheduler.OutcomeAbandoned)
		return x.endCancelled()
	}
	x.endDispatch(0, scheduler.OutcomeRefused)
	return x.refuse(res)
}

// baseURL looks the upstream up in the current settings, because its address
// may have changed while the request waited.
func (x *exchange) baseURL(name state.Upstream) (string, bool) {
	view := x.h.opts.Settings.View()
	if view == nil {
		return "", false
	}
	service, _ := view.Service(x.job.service.Name)
	for i := range service.Upstreams {
		if service.Upstreams[i].Name == name {
			return service.Upstreams[i].URL, true
		}
	}
	return "", false
}

// checkBeforeSend checks that a request may be sent: it is not sent twice
// unless it is repeatable, and its deadline has not passed. It also claims the
// idempotency key, if the request has one that is not claimed yet.
func (x *exchange) checkBeforeSend(attempt state.AttemptID) (result.Result, bool) {
	if x.sent && !x.job.request.Repeatable {
		// The scheduler dispatches a request that is not repeatable only once.
		// The check is repeated here because a second run could, for example,
		// make a booking twice.
		return result.New(result.UpstreamLost, ""), false
	}
	if x.untilDeadline() <= 0 {
		return result.New(result.DeadlinePassed, ""), false
	}
	claim, needed := x.job.claimRequest(attempt)
	if !needed || x.claimed != nil {
		return result.Result{}, true
	}
	if x.h.opts.Claims == nil {
		return result.New(result.ClaimUnavailable, ""), false
	}
	ctx, cancel := context.WithTimeout(x.ctx, x.untilDeadline())
	defer cancel()
	res := x.h.opts.Claims.Claim(ctx, claim)
	if res.Code != result.OK {
		return res, false
	}
	x.claimed = &claim
	return result.Result{}, true
}

func (x *exchange) untilDeadline() time.Duration {
	return x.job.deadline.Sub(x.h.opts.Now())
}

func (x *exchange) newAttempt(id state.AttemptID, baseURL string) upstream.Attempt {
	return upstream.Attempt{
		ID:            id,
		BaseURL:       baseURL,
		Target:        x.job.target,
		Method:        x.job.method,
		Header:        x.job.header,
		Body:          x.job.body,
		NewConnection: !x.job.request.Repeatable,
	}
}

// endUnanswered ends an attempt for which no answer arrived.
func (x *exchange) endUnanswered(err, cause error, m *meter) (res result.Result, final bool) {
	if upstream.StageOf(err) != upstream.StageNotSent {
		x.sent = true
	}
	if errors.Is(err, upstream.ErrCrossed) {
		x.record.CrossedAnswers++
	}
	cost := state.Cost(0)
	if x.sent {
		cost = m.totalCost(nil, nil, x.h.opts.Now())
	}
	switch {
	case x.ctx.Err() != nil:
		x.endAttempt(m, cost, scheduler.OutcomeAbandoned)
		return x.endCancelled(), true
	case errors.Is(cause, errDeadlinePassed) || errors.Is(err, errDeadlinePassed):
		x.endAttempt(m, cost, scheduler.OutcomeAbandoned)
		return x.refuse(x.deadlineResult()), true
	case upstream.StageOf(err) == upstream.StageNotSent:
		return x.endUnsent(scheduler.OutcomeNotSent)
	case errors.Is(err, upstream.ErrMalformed):
		x.endAttempt(m, cost, scheduler.OutcomeUnusable)
		return result.Result{}, false
	default:
		x.endAttempt(m, cost, scheduler.OutcomeLost)
		return result.Result{}, false
	}
}

func (x *exchange) deadlineResult() result.Result {
	if x.sent {
		return result.New(result.DeadlineWhileRun, "")
	}
	return result.New(result.DeadlinePassed, "")
}

// endUnsent returns a dispatch to the scheduler for which nothing was sent.
func (x *exchange) endUnsent(outcome scheduler.Outcome) (res result.Result, final bool) {
	x.endDispatch(0, outcome)
	return result.Result{}, false
}

// endDispatch reports the end of the current dispatch to the scheduler.
func (x *exchange) endDispatch(cost state.Cost, outcome scheduler.Outcome) {
	x.dispatched = false
	x.h.opts.Scheduler.ReportEnd(x.id, cost, outcome)
}

// endOpenDispatch ends a dispatch that is still open because the handler
// panicked. The HTTP server survives the panic, so the slot would otherwise
// stay occupied for good.
func (x *exchange) endOpenDispatch() {
	if x.dispatched {
		x.endDispatch(0, scheduler.OutcomeTruncated)
	}
}

// endAttempt ends the current dispatch and reports the part of the attempt's
// cost that was not reported before.
func (x *exchange) endAttempt(m *meter, total state.Cost, outcome scheduler.Outcome) {
	x.record.Cost += max(total, m.reported)
	x.endDispatch(m.unreportedCost(total), outcome)
}
