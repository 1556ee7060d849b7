package devfleet

import (
	"net/http"
	"time"

	"github.com/figstile/figstile/standin/server"
)

// revokeTimeout is how long a revoked key may still be accepted after the
// change.
const revokeTimeout = 4 * time.Second

// verdicts checks every promise. A promise that the run could not have broken
// counts as broken, except that checkCallersAnswered accepts a run without
// calls.
func (e edgeEvidence) verdicts() []Verdict {
	return []Verdict{
		e.checkOwnAnswers(),
		e.checkCallersAnswered(),
		e.checkNotRun(),
		e.checkRunsOnce(),
		e.checkConfiguration(),
		e.checkLeavingUpstream(),
		e.checkWorkEndsWithCaller(),
		e.checkStarvation(),
	}
}

func (e edgeEvidence) checkOwnAnswers() Verdict {
	const promise = "each answer is whole, its caller's own, and no key is passed on"
	served := 0
	for _, r := range e.records {
		if !r.served() {
			continue
		}
		served++
		if !r.ownAnswer {
			return brokenVerdict(promise, "%s through %s got another answer", r.attempt, r.router)
		}
	}
	if e.keyLeaked {
		return brokenVerdict(promise, "an upstream saw a caller's key")
	}
	if served == 0 {
		return brokenVerdict(promise, "no answer came")
	}
	return heldVerdict(promise, "%d answers", served)
}

func (e edgeEvidence) checkCallersAnswered() Verdict {
	const promise = "every caller who stayed got an answer or a refusal"
	for _, r := range e.records {
		if r.failure != "" {
			return brokenVerdict(promise, "%s through %s: %s", r.attempt, r.router, r.failure)
		}
	}
	return heldVerdict(promise, "%d calls", len(e.records))
}

// runCounts counts the runs of each attempt over all upstreams.
func (e edgeEvidence) runCounts() map[string]int {
	counts := make(map[string]int)
	for _, runs := range e.runs {
		for _, run := range runs {
			counts[run.Attempt]++
		}
	}
	return counts
}

func (e edgeEvidence) checkNotRun() Verdict {
	const promise = "a refusal that says that nothing ran is true"
	runs, refused := e.runCounts(), 0
	for _, r := range e.records {
		if !r.notRun() {
			continue
		}
		refused++
		if runs[r.attempt] > 0 {
			return brokenVerdict(promise, "%s was refused with %d and ran", r.attempt, r.status)
		}
	}
	if refused == 0 {
		return brokenVerdict(promise, "nothing was refused")
	}
	return heldVerdict(promise, "%d refusals", refused)
}

func (e edgeEvidence) checkRunsOnce() Verdict {
	const promise = "what must not be repeated ran at most once"
	runs, calls := e.runCounts(), 0
	for _, r := range e.records {
		if r.path != publishPath {
			continue
		}
		calls++
		if runs[r.attempt] > 1 {
			return brokenVerdict(promise, "%s ran %d times", r.attempt, runs[r.attempt])
		}
	}
	if calls == 0 {
		return brokenVerdict(promise, "no such call was made")
	}
	return heldVerdict(promise, "%d calls", calls)
}

func (e edgeEvidence) checkConfiguration() Verdict {
	const promise = "a key that is taken away is refused on every router, for good"
	refused := 0
	for _, r := range e.records {
		if r.workspace != revokedWorkspace || r.startedAt.Sub(e.revokedAt) < revokeTimeout {
			continue
		}
		if r.status != http.StatusUnauthorized && r.failure == "" {
			return brokenVerdict(promise, "%s answered %d to %s, %s after the change", r.router, r.status, r.attempt, r.startedAt.Sub(e.revokedAt))
		}
		refused++
	}
	if refused == 0 {
		return brokenVerdict(promise, "no call with the key was made later")
	}
	return heldVerdict(promise, "%d calls with the key", refused)
}

func (e edgeEvidence) checkLeavingUpstream() Verdict {
	const promise = "an upstream that leaves gets nothing new"
	runsInTime := 0
	for _, run := range e.runs[e.leavingUpstream] {
		if run.StartedAt.Sub(e.leavingSince) > leaveTimeout {
			return brokenVerdict(promise, "%s began %s at %s, %s later", run.Attempt, run.Workspace, e.leavingUpstream, run.StartedAt.Sub(e.leavingSince))
		}
		runsInTime++
	}
	if runsInTime == 0 {
		return brokenVerdict(promise, "%s never had work", e.leavingUpstream)
	}
	return heldVerdict(promise, "%d runs, none later than %s", runsInTime, leaveTimeout)
}

func (e edgeEvidence) checkWorkEndsWithCaller() Verdict {
	const promise = "work ends when its caller leaves"
	abandoned := make(map[string]bool)
	for _, r := range e.records {
		if r.callerLeft && r.path == server.HeldStreamPath {
			abandoned[r.attempt] = true
		}
	}
	if len(abandoned) == 0 {
		return brokenVerdict(promise, "nobody left")
	}
	for id, runs := range e.runs {
		for _, run := range runs {
			if abandoned[run.Attempt] && (run.Complete || !run.Ended) {
				return brokenVerdict(promise, "%s went on with %s", id, run.Attempt)
			}
		}
	}
	return heldVerdict(promise, "%d callers left", len(abandoned))
}

// checkStarvation checks that every workspace outside the flood, except the one
// whose key is revoked, had at least minServedFraction of its calls served. The
// flood itself must not have had all of its calls served, because the fleet was
// then not overloaded.
func (e edgeEvidence) checkStarvation() Verdict {
	const promise = "nobody starves beside a flood"
	asked, served := countByWorkspace(e.records)
	floodFraction := float64(served[floodWorkspace]) / float64(max(asked[floodWorkspace], 1))
	for ws, n := range asked {
		if ws == floodWorkspace || ws == revokedWorkspace {
			continue
		}
		if fraction := float64(served[ws]) / float64(n); fraction < minServedFraction || fraction < minServedFraction*floodFraction {
			return brokenVerdict(promise, "%s got %.2f of what it asked, the flood %.2f", ws, fraction, floodFraction)
		}
	}
	if asked[floodWorkspace] == 0 || floodFraction == 1 {
		return brokenVerdict(promise, "the flood was no flood")
	}
	return heldVerdict(promise, "the flood got %.2f of %d calls", floodFraction, asked[floodWorkspace])
}
