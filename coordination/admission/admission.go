package admission

import (
	"time"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
)

const (
	// onTime is the part of its latency target within which a request's
	// answer must be expected. The rest covers what the estimate cannot see:
	// the placements of peers since they last told of theirs.
	onTime = 0.65
	// plainOnTime is the same for requests without a prompt. A plain worker's
	// slots hold one piece of work each and its queue is short, so that the
	// estimate errs to the high side.
	plainOnTime = 0.9
	// overShare is the part of its target that a request of a workspace
	// beyond its fair share may wait. It is small, so that such requests
	// fill idle capacity but build no queue before the others.
	overShare = 0.01
	// nearShare is the part of its fair share from which a workspace's requests
	// may wait less and less, down to overShare at all of it. The share is
	// worked out from a throughput that operators state; where the engines do
	// less, the workspaces furthest from their shares go first.
	nearShare = 0.5
	// maxUse is how many times its fair share a workspace may get. Without a bound
	// the engines' idle time goes to the workspace that asks most often. It is
	// above one so that shares grow with what the fleet takes on.
	maxUse = 1.25
	// rereading is the part of its target that a request's reading may grow by
	// at another engine than the best while the fleet is short.
	rereading = 0.05
	// maxDisturbed is the most running streams whose pauses the reading of an
	// admitted prompt may make too long. One caller served for several that
	// are late is no gain; a few are borne, or long prompts would be served
	// by idle engines only.
	maxDisturbed = 5
	// hopelessWait is the part of its own reading time that a prompt may wait which
	// is late wherever it goes. Places in a queue are worth more to those that
	// can be on time, but without any the longest prompts would hardly be served.
	hopelessWait = 0.5
	// least is the part of its target that a request may wait even if its
	// own prompt takes the rest. Long prompts would otherwise never be
	// admitted, however idle the engines.
	least = 0.15
	// returned is the part of the remaining time that a request may wait
	// which was refused before and is late already: to refuse it again costs
	// its caller the answer, to serve it late does not.
	returned = 0.3
	// minRetryAfter keeps a refused caller from coming back into the same
	// backlog.
	minRetryAfter = 200 * time.Millisecond
	// noUpstreamRetry is when to come back while a service has no upstream:
	// a restart takes seconds.
	noUpstreamRetry = time.Second
	// retryShare is the part of the remaining time that a caller is
	// willing to wait before it comes back.
	retryShare = 1.0 / 3
	// longerThanExpected is how many times the expected time of its answer a
	// request gets that a stopping router takes. Half of the answers are longer
	// than callers' hints; a caller who is sent to another router loses some
	// ms, one whose stream is cut off the whole answer.
	longerThanExpected = 2
	// ElsewhereRetry sends a caller of a stopping or full router to another one
	// at once: it comes on a new connection.
	ElsewhereRetry = 50 * time.Millisecond
	// spreadShare spreads the returns of callers refused together.
	spreadShare = 0.5
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
	// MaxOutput is the most generated tokens that the caller takes, zero if it
	// did not say.
	MaxOutput int
	// Remaining is how long this router still runs, zero if it was not told to stop.
	Remaining time.Duration
	// Begun requests may have run at an upstream already. To refuse one would
	// say that it has not.
	Begun bool
}

// onTime is the part of what is left of the target within which the answer must
// be expected.
func (r Request) onTime() float64 {
	if len(r.Prompt) == 0 {
		return plainOnTime
	}
	return onTime
}

// outlasts says whether a request's answer may end only after this router has.
// Taken all the same, it would be cut off at the end of the grace period: its
// caller would see a stream break off that another router could have served.
func (r Request) outlasts(e placement.Estimate) bool {
	if r.Remaining == 0 {
		return false
	}
	longest := e.Wait + time.Duration(r.longer()*float64(e.Own+e.Stream))
	return min(longest, r.Timeout) > r.Remaining
}

// hopeless says whether a request's caller will have left before the answer can
// have ended. Half of the expected stream counts, since many are shorter.
func (r Request) hopeless(e placement.Estimate) bool {
	return r.Timeout > 0 && e.Total()+e.Stream/2 > r.Timeout
}

// longer is how many times the expected time an answer is given: no more than
// its caller lets it grow to.
func (r Request) longer() float64 {
	if r.MaxOutput <= 0 || r.Output <= 0 {
		return longerThanExpected
	}
	return min(max(float64(r.MaxOutput)/float64(r.Output), 1), longerThanExpected)
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason Reason
	// Estimate is of the chosen upstream; it explains a refusal for overload.
	Estimate placement.Estimate
	// Limit is the wait that the request would have been admitted at.
	Limit time.Duration
	// Standing of the workspace to its fair share.
	Standing shares.Standing
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Admit says whether the request is to be sent.
func (v Verdict) Admit() bool { return v.Reason == Admitted }

// Upstreams is what admission asks of the picture of upstreams.
type Upstreams interface {
	// Candidates returns the upstream that serves a request best, all callers
	// considered, and the one that answers it first.
	Candidates(now time.Time, w placement.Work) (best, soonest placement.Estimate, found bool)
}

// Judge decides on a request and the upstream that it goes to. Where the best
// one has too long a queue, the request may go to the one that answers first,
// though prompt parts are read there once more: engines would idle beside those
// that hold the few subjects of most requests.
func Judge(now time.Time, upstreams Upstreams, r Request, standing shares.Standing, spread float64) Verdict {
	best, soonest, found := upstreams.Candidates(now, r.Work)
	verdict := Decide(r, best, found, standing, spread)
	if verdict.Admit() || !found || !mayReadAgain(r, standing, best, soonest) {
		return verdict
	}
	if second := Decide(r, soonest, found, standing, spread); second.Admit() {
		return second
	}
	return verdict
}

// mayReadAgain says whether a request may go to the upstream that answers first
// instead of the best one. What is read again is taken from others: it must be
// little unless the fleet has engines to spare, and a workspace near its share or
// beyond gets none: its repeated reading would delay the longest prompts and the
// workspaces worst served.
func mayReadAgain(r Request, standing shares.Standing, best, soonest placement.Estimate) bool {
	little := soonest.Own-best.Own <= share(r.Target, rereading)
	switch {
	case standing.Use <= 0:
		return little || soonest.Idle
	case standing.Use <= nearShare:
		return little
	default:
		return false
	}
}

// Decide judges a request on the estimate of its best upstream; found is false
// if it has none. Spread is drawn evenly from [0, 1).
func Decide(r Request, best placement.Estimate, found bool, standing shares.Standing, spread float64) Verdict {
	v := Verdict{Estimate: best, Standing: standing}
	if !found {
		v.Reason = NoUpstream
		v.RetryAfter = retryAfter(r, noUpstreamRetry, spread)
		return v
	}
	if r.Begun {
		return v
	}
	v.Limit = waitLimit(r, best)
	if r.Target > 0 && standing.Use > nearShare {
		v.Limit = min(v.Limit, shareLimit(r.Target, standing.Use))
	}
	if r.hopeless(best) {
		v.Reason = Overload
		v.RetryAfter = retryAfter(r, best.Wait, spread)
		return v
	}
	if best.Disturbed <= maxDisturbed && (best.Free || best.Wait <= v.Limit) && !exceeds(standing) {
		if r.outlasts(best) {
			v.Reason = Stopping
			v.RetryAfter = ElsewhereRetry
		}
		return v
	}
	v.Reason = Overload
	if standing.Limited {
		v.Reason = OverShare
	}
	v.RetryAfter = retryAfter(r, best.Wait-v.Limit, spread)
	return v
}

// exceeds says whether a workspace is so far beyond its share that not even idle
// engines are for it. What this router sees itself counts as well: by the word of
// peers alone all routers admit a flood at once, and then all refuse it.
func exceeds(s shares.Standing) bool { return max(s.Use, s.Here) >= maxUse }

// shareLimit returns how long a request may wait for the sake of workspaces
// that have had less of their shares.
func shareLimit(target time.Duration, use float64) time.Duration {
	beyond := min(max((use-nearShare)/(1-nearShare), 0), 1)
	return share(target, 1-(1-overShare)*beyond)
}

// waitLimit returns how long a request may wait at its upstream.
func waitLimit(r Request, best placement.Estimate) time.Duration {
	if r.Target <= 0 {
		return share(r.Timeout, returned)
	}
	left := r.Target - r.Elapsed
	if left <= 0 {
		return share(r.Timeout, returned)
	}
	limit := share(left, r.onTime()) - best.Own
	if len(r.Prompt) > 0 && best.Own > left {
		limit = share(best.Own, hopelessWait)
	}
	return min(max(limit, share(r.Target, least)), share(r.Timeout, onTime))
}

// retryAfter returns when a backlog will have drained, spread out so that
// callers refused together don't come back together, and within the time that
// the caller is willing to wait.
func retryAfter(r Request, backlog time.Duration, spread float64) time.Duration {
	after := max(backlog, minRetryAfter)
	after += time.Duration(spread * spreadShare * float64(after))
	return min(after, share(r.Timeout, retryShare))
}

func share(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}
