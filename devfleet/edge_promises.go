package devfleet

import (
	"net/http"
	"time"

	"github.com/figstile/figstile/standin/server"
)

// revokedWithin is how long a key that was taken away may still be used.
const revokedWithin = 4 * time.Second

// check checks every promise. One that the run gave no occasion to break counts
// as broken.
func (e edgeEvidence) check() []Verdict {
	return []Verdict{
		e.answersOwn(),
		e.everyCallerAnswered(),
		e.notRunIsTrue(),
		e.onceOnly(),
		e.configurationInForce(),
		e.leavingGetsNothing(),
		e.workEndsWithItsCaller(),
		e.nobodyStarved(),
	}
}

func (e edgeEvidence) answersOwn() Verdict {
	const promise = "each answer is whole, its caller's own, and no key is passed on"
	served := 0
	for _, r := range e.records {
		if !r.served() {
			continue
		}
		served++
		if !r.own {
			return broken(promise, "%s through %s got another answer", r.attempt, r.router)
		}
	}
	if e.leaked {
		return broken(promise, "an upstream saw a caller's key")
	}
	if served == 0 {
		return broken(promise, "no answer came")
	}
	return held(promise, "%d answers", served)
}

func (e edgeEvidence) everyCallerAnswered() Verdict {
	const promise = "every caller who stayed got an answer or a refusal"
	for _, r := range e.records {
		if r.broken != "" {
			return broken(promise, "%s through %s: %s", r.attempt, r.router, r.broken)
		}
	}
	return held(promise, "%d calls", len(e.records))
}

// ran counts the runs of each attempt.
func (e edgeEvidence) ran() map[string]int {
	ran := make(map[string]int)
	for _, runs := range e.runs {
		for _, run := range runs {
			ran[run.Attempt]++
		}
	}
	return ran
}

func (e edgeEvidence) notRunIsTrue() Verdict {
	const promise = "a refusal that says that nothing ran is true"
	ran, refused := e.ran(), 0
	for _, r := range e.records {
		if !r.notRun() {
			continue
		}
		refused++
		if ran[r.attempt] > 0 {
			return broken(promise, "%s was refused with %d and ran", r.attempt, r.status)
		}
	}
	if refused == 0 {
		return broken(promise, "nothing was refused")
	}
	return held(promise, "%d refusals", refused)
}

func (e edgeEvidence) onceOnly() Verdict {
	const promise = "what must not be repeated ran at most once"
	ran, calls := e.ran(), 0
	for _, r := range e.records {
		if r.path != publishPath {
			continue
		}
		calls++
		if ran[r.attempt] > 1 {
			return broken(promise, "%s ran %d times", r.attempt, ran[r.attempt])
		}
	}
	if calls == 0 {
		return broken(promise, "no such call was made")
	}
	return held(promise, "%d calls", calls)
}

func (e edgeEvidence) configurationInForce() Verdict {
	const promise = "a key that is taken away is refused on every router, for good"
	refused := 0
	for _, r := range e.records {
		if r.workspace != revokedWorkspace || r.began.Sub(e.revokedAt) < revokedWithin {
			continue
		}
		if r.status != http.StatusUnauthorized && r.broken == "" {
			return broken(promise, "%s answered %d to %s, %s after the change", r.router, r.status, r.attempt, r.began.Sub(e.revokedAt))
		}
		refused++
	}
	if refused == 0 {
		return broken(promise, "no call with the key was made later")
	}
	return held(promise, "%d calls with the key", refused)
}

func (e edgeEvidence) leavingGetsNothing() Verdict {
	const promise = "an upstream that leaves gets nothing new"
	before := 0
	for _, run := range e.runs[e.leaving] {
		if run.Began.Sub(e.leftAt) > leaveWithin {
			return broken(promise, "%s began %s at %s, %s later", run.Attempt, run.Workspace, e.leaving, run.Began.Sub(e.leftAt))
		}
		before++
	}
	if before == 0 {
		return broken(promise, "%s never had work", e.leaving)
	}
	return held(promise, "%d runs, none later than %s", before, leaveWithin)
}

func (e edgeEvidence) workEndsWithItsCaller() Verdict {
	const promise = "work ends when its caller leaves"
	left := make(map[string]bool)
	for _, r := range e.records {
		if r.left && r.path == server.HeldPath {
			left[r.attempt] = true
		}
	}
	if len(left) == 0 {
		return broken(promise, "nobody left")
	}
	for id, runs := range e.runs {
		for _, run := range runs {
			if left[run.Attempt] && (run.Whole || !run.Ended) {
				return broken(promise, "%s went on with %s", id, run.Attempt)
			}
		}
	}
	return held(promise, "%d callers left", len(left))
}

// nobodyStarved looks at calls for the flood's sake: a workspace that asks for
// little is served no less often than the one that floods.
func (e edgeEvidence) nobodyStarved() Verdict {
	const promise = "nobody starves beside a flood"
	asked, served := countByWorkspace(e.records)
	flood := float64(served[floodWorkspace]) / float64(max(asked[floodWorkspace], 1))
	for ws, n := range asked {
		if ws == floodWorkspace || ws == revokedWorkspace {
			continue
		}
		if part := float64(served[ws]) / float64(n); part < leastPart || part < leastPart*flood {
			return broken(promise, "%s got %.2f of what it asked, the flood %.2f", ws, part, flood)
		}
	}
	if asked[floodWorkspace] == 0 || flood == 1 {
		return broken(promise, "the flood was no flood")
	}
	return held(promise, "the flood got %.2f of %d calls", flood, asked[floodWorkspace])
}
