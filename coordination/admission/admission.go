package admission

import (
	"time"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
)

const (
	// promptTargetFraction is the part of its latency target within which a request's
	// answer must be expected. The rest covers what the estimate cannot see:
	// the placements of peers since they last told of theirs.
	promptTargetFraction = 0.65
	// plainTargetFraction is the same for requests without a prompt. A plain worker's
	// slots hold one piece of work each and its queue is short, so that the
	// estimate errs to the high side.
	plainTargetFraction = 0.9
	// overShareWaitFraction is the part of its target that a request of a workspace
	// beyond its fair share may wait. It is small, so that such requests
	// fill idle capacity but build no queue before the others.
	overShareWaitFraction = 0.01
	// throttleStartUse is the part of its fair share from which a workspace's requests
	// may wait less and less, down to overShare at all of it. The share is
	// worked out from a throughput that operators state; where the engines do
	// less, the workspaces furthest from their shares go first.
	throttleStartUse = 0.5
	// maxShareUse is how many times its fair share a workspace may get. Without a bound
	// the engines' idle time goes to the workspace that asks most often. It is
	// above one so that shares grow with what the fleet takes on.
	maxShareUse = 1.25
	// maxRepeatedPrefillFraction is the part of its target that a request's reading may grow by
	// at another engine than the best while the fleet is short.
	maxRepeatedPrefillFraction = 0.05
	// maxDelayedStreams is the most running streams whose pauses the reading of an
	// admitted prompt may make too long. One caller served for several that
	// are late is no gain; a few are borne, or long prompts would be served
	// by idle engines only.
	maxDelayedStreams = 5
	// latePromptWaitFraction is the part of its own reading time that a prompt may wait which
	// is late wherever it goes. Places in a queue are worth more to those that
	// can be on time, but without any the longest prompts would hardly be served.
	latePromptWaitFraction = 0.5
	// minWaitFraction is the part of its target that a request may wait even if its
	// own prompt takes the rest. Long prompts would otherwise never be
	// admitted, however idle the engines.
	minWaitFraction = 0.15
	// retriedWaitFraction is the part of the remaining time that a request may wait
	// which was refused before and is late already: to refuse it again costs
	// its caller the answer, to serve it late does not.
	retriedWaitFraction = 0.3
	// minRetryAfter keeps a refused caller from coming back into the same
	// backlog.
	minRetryAfter = 200 * time.Millisecond
	// noUpstreamRetryAfter is when to come back while a service has no upstream:
	// a restart takes seconds.
	noUpstreamRetryAfter = time.Second
	// maxRetryAfterFraction is the part of the remaining time that a caller is
	// willing to wait before it comes back.
	maxRetryAfterFraction = 1.0 / 3
	// maxDurationFactor is how many times the expected time of its answer a
	// request gets that a stopping router takes. Half of the answers are longer
	// than callers' hints; a caller who is sent to another router loses some
	// ms, one whose stream is cut off the whole answer.
	maxDurationFactor = 2
	// OtherRouterRetryAfter sends a caller of a stopping or full router to another one
	// at once: it comes on a new connection.
	OtherRouterRetryAfter = 50 * time.Millisecond
	// retryJitter spreads the returns of callers refused together.
	retryJitter = 0.5
)

// Reason says why a request was refused.
type Reason uint8

// Reasons.
const (
	// Admitted requests were not refused.
	Admitted Reason = iota
	// NoUpstream: the service has no upstream that takes work.
	NoUpstream
	// Overload: the request's answer could not begin in time.
	Overload
	// OverShare: the workspace has its fair share already and others wait.
	OverShare
	// Stopping: the router stops before the request's answer may have ended.
	Stopping
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	names := [...]string{"admitted", "no-upstream", "overload", "over-share", "stopping"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Request is what admission needs to know.
type Request struct {
	placement.Work
	// Fingerprint recognises the request if its caller sends it again.
	Fingerprint state.Fingerprint
	Workspace   state.Workspace
	// Cost is the request's expected cost in cost units.
	Cost float64
	// Elapsed is the time since the caller's first attempt; zero unless it was
	// refused since.
	Elapsed time.Duration
	// Timeout is how long the caller will wait from now.
	Timeout time.Duration
	// MaxOutputTokens is the most generated tokens that the caller takes, zero if it
	// did not say.
	MaxOutputTokens int
	// RouterRemaining is how long this router still runs, zero if it was not told to stop.
	RouterRemaining time.Duration
	// MayHaveRun requests may have run at an upstream already. To refuse one would
	// say that it has not.
	MayHaveRun bool
}

// targetFraction is the part of what is left of the target within which the answer must
// be expected.
func (r Request) targetFraction() float64 {
	if len(r.Prompt) == 0 {
		return plainTargetFraction
	}
	return promptTargetFraction
}

// mayOutlastRouter says whether a request's answer may end only after this router has.
// Taken all the same, it would be cut off at the end of the grace period: its
// caller would see a stream break off that another router could have served.
func (r Request) mayOutlastRouter(e placement.Estimate) bool {
	if r.RouterRemaining == 0 {
		return false
	}
	maxDuration := e.WaitTime + time.Duration(r.durationFactor()*float64(e.ProcessingTime+e.StreamTime))
	return min(maxDuration, r.Timeout) > r.RouterRemaining
}

// endsAfterTimeout says whether a request's caller will have left before the answer can
// have ended. Half of the expected stream counts, since many are shorter.
func (r Request) endsAfterTimeout(e placement.Estimate) bool {
	return r.Timeout > 0 && e.TimeToAnswer()+e.StreamTime/2 > r.Timeout
}

// durationFactor is how many times the expected time an answer is given: no more than
// its caller lets it grow to.
func (r Request) durationFactor() float64 {
	if r.MaxOutputTokens <= 0 || r.ExpectedOutputTokens <= 0 {
		return maxDurationFactor
	}
	return min(max(float64(r.MaxOutputTokens)/float64(r.ExpectedOutputTokens), 1), maxDurationFactor)
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason Reason
	// Estimate is of the chosen upstream; it explains a refusal for overload.
	Estimate placement.Estimate
	// WaitLimit is the wait that the request would have been admitted at.
	WaitLimit time.Duration
	// Standing of the workspace to its fair share.
	Standing shares.Standing
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// IsAdmitted says whether the request is to be sent.
func (v Verdict) IsAdmitted() bool { return v.Reason == Admitted }

// UpstreamSelector is what admission asks of the picture of upstreams.
type UpstreamSelector interface {
	// Candidates returns the upstream that serves a request best, all callers
	// considered, and the one that answers it first.
	Candidates(now time.Time, w placement.Work) (best, soonest placement.Estimate, found bool)
}

// Admit decides on a request and the upstream that it goes to. Where the best
// one has too long a queue, the request may go to the one that answers first,
// though prompt parts are read there once more: engines would idle beside those
// that hold the few subjects of most requests.
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

// mayRepeatPrefill says whether a request may go to the upstream that answers first
// instead of the best one. What is read again is taken from others: it must be
// little unless the fleet has engines to spare, and a workspace near its share or
// beyond gets none: its repeated reading would delay the longest prompts and the
// workspaces worst served.
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

// Decide judges a request on the estimate of its best upstream; found is false
// if it has none. Spread is drawn evenly from [0, 1).
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

// exceedsShare says whether a workspace is so far beyond its share that not even idle
// engines are for it. What this router sees itself counts as well: by the word of
// peers alone all routers admit a flood at once, and then all refuse it.
func exceedsShare(s shares.Standing) bool { return max(s.ShareUse, s.LocalShareUse) >= maxShareUse }

// shareWaitLimit returns how long a request may wait for the sake of workspaces
// that have had less of their shares.
func shareWaitLimit(target time.Duration, use float64) time.Duration {
	excess := min(max((use-throttleStartUse)/(1-throttleStartUse), 0), 1)
	return fractionOf(target, 1-(1-overShareWaitFraction)*excess)
}

// waitLimit returns how long a request may wait at its upstream.
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

// retryAfter returns when a backlog will have drained, spread out so that
// callers refused together don't come back together, and within the time that
// the caller is willing to wait.
func retryAfter(r Request, backlog time.Duration, jitter float64) time.Duration {
	after := max(backlog, minRetryAfter)
	after += time.Duration(jitter * retryJitter * float64(after))
	return min(after, fractionOf(r.Timeout, maxRetryAfterFraction))
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
