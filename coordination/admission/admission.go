package admission

import (
	"time"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
)

const (
	// promptTargetFraction is the fraction of the remaining latency target
	// within which the answer to a request with a prompt must be expected. The
	// rest covers load that the estimate does not include: requests that peers
	// have placed since their last load report.
	promptTargetFraction = 0.65
	// plainTargetFraction is the same fraction for plain requests, which have
	// no prompt. Each slot of a plain worker runs one request and its queue is
	// short, so the estimate errs on the high side.
	plainTargetFraction = 0.9
	// overShareWaitFraction is the fraction of its latency target that a
	// request may wait if its workspace is beyond its fair share. It is small,
	// so that such requests fill idle capacity but do not build a queue ahead
	// of other workspaces.
	overShareWaitFraction = 0.01
	// throttleStartUse is the fraction of its fair share from which a
	// workspace's wait limit shrinks, down to overShareWaitFraction of the
	// target once the share is used up. The share is derived from a throughput
	// that operators state. If the engines deliver less, the workspaces that
	// have had the smallest part of their shares are served first.
	throttleStartUse = 0.5
	// maxShareUse is the maximum usage of a workspace, as a multiple of its
	// fair share. Without a bound, the engines' idle time goes to the workspace
	// that sends most requests. It is above one so that shares can grow with
	// the load that the fleet actually accepts.
	maxShareUse = 1.25
	// maxRepeatedPrefillFraction limits the additional prefill time of a
	// request that is sent to another engine than the best one, as a fraction
	// of the latency target. There is no limit if the fleet is not short of
	// capacity, that engine has no pending prefill and less than a quarter of
	// its slots are in use.
	maxRepeatedPrefillFraction = 0.05
	// maxDelayedStreams is the maximum number of running streams whose event
	// gaps may become too long through the prefill of an admitted prompt.
	// Serving one caller at the cost of several late streams is no gain, but a
	// limit of zero would restrict long prompts to idle engines.
	maxDelayedStreams = 5
	// latePromptWaitFraction is the maximum wait of a prompt that will be late
	// at any engine, as a fraction of its own processing time. Queue positions
	// are better used for prompts that can be on time, but without any wait the
	// longest prompts would hardly ever be served.
	latePromptWaitFraction = 0.5
	// minWaitFraction is the fraction of its latency target that a request may
	// always wait, even if its own prompt uses up the rest of the target.
	// Without it long prompts would never be admitted, however idle the engines
	// are.
	minWaitFraction = 0.15
	// retriedWaitFraction is the fraction of its timeout that a request may
	// wait if it was refused before and is already late. A second refusal would
	// cost its caller the answer, a late answer does not. The same limit
	// applies to requests without a latency target.
	retriedWaitFraction = 0.3
	// minRetryAfter is the minimum retry delay. It keeps a refused caller from
	// retrying into the same backlog.
	minRetryAfter = 200 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay while a service has no upstream.
	// A restart takes seconds.
	noUpstreamRetryAfter = time.Second
	// maxRetryAfterFraction is the fraction of its remaining timeout that a
	// caller is willing to wait before it retries.
	maxRetryAfterFraction = 1.0 / 3
	// maxDurationFactor is the maximum duration that a stopping router allows
	// for an answer, as a multiple of the expected duration. Half of the
	// answers are longer than the hints of their callers. A caller that is sent
	// to another router loses some milliseconds, a caller whose stream is cut
	// off loses the whole answer.
	maxDurationFactor = 2
	// OtherRouterRetryAfter is the retry delay for callers of a stopping or
	// full router. It is short because the caller retries on a new connection,
	// which leads to another router.
	OtherRouterRetryAfter = 50 * time.Millisecond
	// retryJitter is the maximum random extension of a retry delay, as a
	// fraction of the delay. It spreads the retries of callers that were
	// refused at the same time.
	retryJitter = 0.5
)

// Reason is the reason for which a request was refused.
type Reason uint8

// The reasons for a decision.
const (
	// Admitted means that the request was not refused.
	Admitted Reason = iota
	// NoUpstream means that the service has no upstream that accepts work.
	NoUpstream
	// Overload means that the request could not be answered in time without
	// delaying too many others.
	Overload
	// OverShare means that the workspace has used up its fair share while
	// others wait.
	OverShare
	// Stopping means that the router may stop before the request's answer has
	// ended.
	Stopping
)

// String returns the name of the reason used in logs.
func (r Reason) String() string {
	names := [...]string{"admitted", "no-upstream", "overload", "over-share", "stopping"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	placement.Work
	// Fingerprint identifies the request if its caller sends it again.
	Fingerprint state.Fingerprint
	Workspace   state.Workspace
	// Cost is the request's expected cost in cost units.
	Cost float64
	// Elapsed is the time since the caller's first attempt. It is zero unless
	// the request was refused before.
	Elapsed time.Duration
	// Timeout is how long the caller will wait from now on.
	Timeout time.Duration
	// MaxOutputTokens is the maximum number of generated tokens that the caller
	// accepts, zero if the caller did not specify one.
	MaxOutputTokens int
	// RouterRemaining is how long this router will keep running, zero if it was
	// not ordered to stop.
	RouterRemaining time.Duration
	// MayHaveRun is set if the request may already have run at an upstream.
	// Such a request is not refused while its service has an upstream, because
	// a refusal states that it has not run.
	MayHaveRun bool
}

// targetFraction returns the fraction of the remaining latency target within
// which the answer must be expected.
func (r Request) targetFraction() float64 {
	if len(r.Prompt) == 0 {
		return plainTargetFraction
	}
	return promptTargetFraction
}

// mayOutlastRouter reports whether a request's answer may end only after this
// router has stopped. If such a request were admitted, its stream would be cut
// off at the end of the grace period although another router could have served
// it whole.
func (r Request) mayOutlastRouter(e placement.Estimate) bool {
	if r.RouterRemaining == 0 {
		return false
	}
	maxDuration := e.WaitTime + time.Duration(r.durationFactor()*float64(e.ProcessingTime+e.StreamTime))
	return min(maxDuration, r.Timeout) > r.RouterRemaining
}

// endsAfterTimeout reports whether a request's caller will have given up before
// the answer can end. Only half of the expected stream time is counted, because
// many streams are shorter than expected.
func (r Request) endsAfterTimeout(e placement.Estimate) bool {
	return r.Timeout > 0 && e.TimeToAnswer()+e.StreamTime/2 > r.Timeout
}

// durationFactor returns the duration allowed for an answer as a multiple of
// its expected duration. It is limited by the number of tokens that the caller
// accepts.
func (r Request) durationFactor() float64 {
	if r.MaxOutputTokens <= 0 || r.ExpectedOutputTokens <= 0 {
		return maxDurationFactor
	}
	return min(max(float64(r.MaxOutputTokens)/float64(r.ExpectedOutputTokens), 1), maxDurationFactor)
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason Reason
	// Estimate is the estimate of the chosen upstream. It explains a refusal
	// for overload.
	Estimate placement.Estimate
	// WaitLimit is the longest wait at which the request would have been
	// admitted.
	WaitLimit time.Duration
	// Standing compares the usage of the workspace with its fair share.
	Standing shares.Standing
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
}

// IsAdmitted reports whether the request is to be sent.
func (v Verdict) IsAdmitted() bool { return v.Reason == Admitted }

// UpstreamSelector estimates which upstreams serve a request best.
type UpstreamSelector interface {
	// Candidates returns the upstream that is best for all callers together and
	// the upstream that answers this request first.
	Candidates(now time.Time, w placement.Work) (best, soonest placement.Estimate, found bool)
}

// Admit decides on a request and selects its upstream. If the queue of the best
// upstream is too long, the request may go to the upstream that answers first,
// although shared parts of its prompt must be prefilled there again. Otherwise
// engines would idle beside the few engines that have cached the prompt parts
// of most requests.
func Admit(now time.Time, upstreams UpstreamSelector, r Request, standing shares.Standing, jitter float64) Verdict {
	best, soonest, found := upstreams.Candidates(now, r.Work)
	verdict := Decide(r, best, found, standing, jitter)
	if verdict.IsAdmitted() || !found || !mayRepeatPrefill(r, standing, best, soonest) {
		return verdict
	}
	if fallback := Decide(r, soonest, found, standing, jitter); fallback.IsAdmitted() {
		return fallback
	}
	return verdict
}

// mayRepeatPrefill reports whether a request may go to the upstream that
// answers first instead of the best one. The repeated prefill takes engine time
// from other requests, so it must be small unless the fleet has engine time to
// spare. Workspaces near or beyond their fair share may not repeat any prefill,
// because it would delay the longest prompts and the workspaces that have had
// the smallest part of their shares.
func mayRepeatPrefill(r Request, standing shares.Standing, best, soonest placement.Estimate) bool {
	smallOverhead := soonest.ProcessingTime-best.ProcessingTime <= fractionOf(r.TargetLatency, maxRepeatedPrefillFraction)
	switch {
	case standing.ShareUse <= 0:
		return smallOverhead || soonest.UnderQuarterFull
	case standing.ShareUse <= throttleStartUse:
		return smallOverhead
	default:
		return false
	}
}

// Decide decides on a request, given the estimate of one upstream. The argument
// found is false if there is no upstream, and jitter is a uniform random number
// in [0, 1).
func Decide(r Request, best placement.Estimate, found bool, standing shares.Standing, jitter float64) Verdict {
	v := Verdict{Estimate: best, Standing: standing}
	if !found {
		v.Reason = NoUpstream
		v.RetryAfter = retryAfter(r, noUpstreamRetryAfter, jitter)
		return v
	}
	if r.MayHaveRun {
		return v
	}
	v.WaitLimit = waitLimit(r, best)
	if r.TargetLatency > 0 && standing.ShareUse > throttleStartUse {
		v.WaitLimit = min(v.WaitLimit, shareWaitLimit(r.TargetLatency, standing.ShareUse))
	}
	if r.endsAfterTimeout(best) {
		v.Reason = Overload
		v.RetryAfter = retryAfter(r, best.WaitTime, jitter)
		return v
	}
	if repeatsWhileShort(r, best, standing) {
		v.Reason = Overload
		v.RetryAfter = retryAfter(r, best.RepeatedPrefill, jitter)
		return v
	}
	if best.DelayedStreams <= maxDelayedStreams && (best.UnderHalfFull || best.WaitTime <= v.WaitLimit) && !exceedsShare(standing) {
		if r.mayOutlastRouter(best) {
			v.Reason = Stopping
			v.RetryAfter = OtherRouterRetryAfter
		}
		return v
	}
	v.Reason = Overload
	if standing.ShareExhausted {
		v.Reason = OverShare
	}
	v.RetryAfter = retryAfter(r, best.WaitTime-v.WaitLimit, jitter)
	return v
}

// repeatsWhileShort reports whether a request would repeat the prefill of long
// shared parts although the fleet is short of capacity and its workspace has had
// half of its share. The engines that have cached the parts are busy then, and
// the time of the repeated prefill serves other requests on time.
func repeatsWhileShort(r Request, e placement.Estimate, standing shares.Standing) bool {
	return standing.ShareUse > throttleStartUse && e.RepeatedPrefill > fractionOf(r.TargetLatency, maxRepeatedPrefillFraction)
}

// exceedsShare reports whether a workspace is so far beyond its share that it
// may not even use idle engines. The usage at this router counts as well: if
// only the reports of peers counted, all routers would admit a flood at the
// same time and then all refuse it.
func exceedsShare(s shares.Standing) bool { return max(s.ShareUse, s.LocalShareUse) >= maxShareUse }

// shareWaitLimit returns how long a request may wait, given the share use of
// its workspace. The limit shrinks with the use, in favour of workspaces that
// have had a smaller part of their shares.
func shareWaitLimit(target time.Duration, use float64) time.Duration {
	excess := min(max((use-throttleStartUse)/(1-throttleStartUse), 0), 1)
	return fractionOf(target, 1-(1-overShareWaitFraction)*excess)
}

// waitLimit returns how long a request may wait at its upstream. If its latency
// target has not passed, the limit is at most promptTargetFraction of the
// caller's timeout.
func waitLimit(r Request, best placement.Estimate) time.Duration {
	if r.TargetLatency <= 0 {
		return fractionOf(r.Timeout, retriedWaitFraction)
	}
	remaining := r.TargetLatency - r.Elapsed
	if remaining <= 0 {
		return fractionOf(r.Timeout, retriedWaitFraction)
	}
	limit := fractionOf(remaining, r.targetFraction()) - best.ProcessingTime
	if len(r.Prompt) > 0 && best.ProcessingTime > remaining {
		limit = fractionOf(best.ProcessingTime, latePromptWaitFraction)
	}
	return min(max(limit, fractionOf(r.TargetLatency, minWaitFraction)), fractionOf(r.Timeout, promptTargetFraction))
}

// retryAfter returns the delay after which a backlog will have drained. Jitter
// is added so that callers refused together do not retry together, and the
// delay is limited to the time that the caller is willing to wait.
func retryAfter(r Request, backlog time.Duration, jitter float64) time.Duration {
	after := max(backlog, minRetryAfter)
	after += time.Duration(jitter * retryJitter * float64(after))
	return min(after, fractionOf(r.Timeout, maxRetryAfterFraction))
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
