package devfleet

import (
	"fmt"
	"time"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Evidence is all that the promises are checked on.
type Evidence struct {
	Records []loadgen.Record
	Ledgers map[state.Upstream][]upstream.Entry
	// Services tells whose upstream each is.
	Services map[state.Upstream]state.Service
	// Repeatable services may run a request without a key twice.
	Repeatable map[state.Service]bool
	Figures    []loadgen.Service
	Leaving    Leaving
	Change     Change
}

// Leaving is an upstream that was told to leave during the run.
type Leaving struct {
	Upstream state.Upstream
	From, To time.Time
}

// Change is a change of settings made during the run.
type Change struct {
	Key string
	// Written is the version that the operator was told; zero if the change
	// was not made.
	Written uint64
	Problem string
	// Took is how long it was until all routers had it.
	Took time.Duration
	// After are the versions in force at the end of the run.
	After map[state.Router]map[string]uint64
	// Reverted names a router that was seen with an older version after a
	// newer one.
	Reverted string
}

// Verdict is what a check found.
type Verdict struct {
	Promise string `json:"promise"`
	Held    bool   `json:"held"`
	// Checked says what was looked at, or what broke the promise.
	Checked string `json:"checked"`
}

// Limits of the promises that the deployments state as "a few seconds".
const (
	// leaveWithin is how long a leaving upstream may still get new work.
	leaveWithin = 4 * time.Second
	// changeWithin is how long a change may take to be in force everywhere.
	changeWithin = 11 * time.Second
	// leastPart is the part of its share below which a workspace that always
	// waits starves. Sampling and unfinished requests explain less than half.
	leastPart = 0.25
	// reachPart keeps the fairness check meaningful in a short run, in which
	// even a fleet that serves only one workspace stays within the bound.
	reachPart = 0.5
)

// Check checks every promise. One that the run gave no occasion to break
// counts as broken: silence is no evidence.
func (e Evidence) Check() []Verdict {
	verdicts := []Verdict{
		e.answersOwn(),
		e.everyCallerAnswered(),
		e.notRunIsTrue(),
		e.keyedOnce(),
		e.unkeyedOnce(),
		e.settingsInForce(),
		e.leavingGetsNothing(),
	}
	for _, s := range e.Figures {
		verdicts = append(verdicts, gapWithinBound(s), nobodyStarved(s))
	}
	return verdicts
}

// allHeld tells whether every promise held; no verdict at all shows nothing.
func allHeld(verdicts []Verdict) bool {
	for _, v := range verdicts {
		if !v.Held {
			return false
		}
	}
	return len(verdicts) > 0
}

func held(promise, format string, args ...any) Verdict {
	return Verdict{Promise: promise, Held: true, Checked: fmt.Sprintf(format, args...)}
}

func broken(promise, format string, args ...any) Verdict {
	return Verdict{Promise: promise, Checked: fmt.Sprintf(format, args...)}
}

func (e Evidence) answersOwn() Verdict {
	const promise = "each answer is whole and its caller's own"
	served := 0
	for _, r := range e.Records {
		if !r.Served() {
			continue
		}
		served++
		if !r.Own {
			return broken(promise, "%s of %s through %s got another answer, body %.12s", r.Class, r.Workspace, r.Router, r.Digest)
		}
	}
	if served == 0 {
		return broken(promise, "no answer came")
	}
	return held(promise, "%d answers", served)
}

func (e Evidence) everyCallerAnswered() Verdict {
	const promise = "every caller who stayed got an answer or a refusal"
	for _, r := range e.Records {
		if !r.Left && r.Broken != "" {
			return broken(promise, "%s of %s through %s: %s", r.Class, r.Workspace, r.Router, r.Broken)
		}
		if !r.Left && r.Status != 200 && r.Ran == "" {
			return broken(promise, "%s of %s through %s: status %d says not whether it ran", r.Class, r.Workspace, r.Router, r.Status)
		}
	}
	if len(e.Records) == 0 {
		return broken(promise, "no request was sent")
	}
	return held(promise, "%d requests", len(e.Records))
}

// notRunIsTrue looks at bodies all of whose senders were told "not run": a
// request sent twice may have run for the other sender.
func (e Evidence) notRunIsTrue() Verdict {
	const promise = "what is told not to have run did not run"
	told := make(map[string]bool)
	ran := make(map[string]bool)
	for _, r := range e.Records {
		told[r.Digest] = told[r.Digest] || r.Ran == result.RanNo.String()
		ran[r.Digest] = ran[r.Digest] || r.Ran != result.RanNo.String()
	}
	refused := 0
	for digest := range told {
		if told[digest] && !ran[digest] {
			refused++
		}
	}
	for name, entries := range e.Ledgers {
		for _, entry := range entries {
			if told[entry.Digest] && !ran[entry.Digest] && !entry.Started.IsZero() {
				return broken(promise, "%s started body %.12s, attempt %s", name, entry.Digest, entry.Attempt)
			}
		}
	}
	if refused == 0 {
		return broken(promise, "no request was refused")
	}
	return held(promise, "%d refused bodies against %d ledgers", refused, len(e.Ledgers))
}

func (e Evidence) keyedOnce() Verdict {
	const promise = "a request with an idempotency key runs at most once"
	type key struct {
		service state.Service
		key     string
	}
	starts := make(map[key]int)
	for name, entries := range e.Ledgers {
		for _, entry := range entries {
			if entry.IdempotencyKey == "" || entry.Started.IsZero() {
				continue
			}
			k := key{e.Services[name], entry.IdempotencyKey}
			starts[k]++
			if starts[k] > 1 {
				return broken(promise, "%s ran key %s again", name, k.key)
			}
		}
	}
	again := 0
	for _, r := range e.Records {
		if r.Again {
			again++
		}
	}
	if len(starts) == 0 || again == 0 {
		return broken(promise, "%d keys ran and %d requests were sent again: nothing to tell from", len(starts), again)
	}
	return held(promise, "%d keys, %d requests sent again", len(starts), again)
}

func (e Evidence) unkeyedOnce() Verdict {
	const promise = "a request without a key runs at most once where it may not be repeated"
	starts := make(map[string]int)
	for name, entries := range e.Ledgers {
		if e.Repeatable[e.Services[name]] {
			continue
		}
		for _, entry := range entries {
			if entry.IdempotencyKey != "" || entry.Started.IsZero() {
				continue
			}
			starts[entry.Digest]++
			if starts[entry.Digest] > 1 {
				return broken(promise, "%s ran body %.12s again", name, entry.Digest)
			}
		}
	}
	if len(starts) == 0 {
		return broken(promise, "none ran")
	}
	return held(promise, "%d requests", len(starts))
}

func (e Evidence) settingsInForce() Verdict {
	const promise = "an accepted change is in force everywhere and stays"
	c := e.Change
	if c.Written == 0 {
		return broken(promise, "the change was not made: %s", c.Problem)
	}
	if len(c.After) == 0 {
		return broken(promise, "no router was asked")
	}
	if c.Reverted != "" {
		return broken(promise, "%s", c.Reverted)
	}
	if c.Took > changeWithin {
		return broken(promise, "it took %s", c.Took.Round(time.Millisecond))
	}
	for router, versions := range c.After {
		if versions[c.Key] < c.Written {
			return broken(promise, "%s has %s at version %d, written was %d", router, c.Key, versions[c.Key], c.Written)
		}
	}
	return held(promise, "%d routers with %s at version %d after %s", len(c.After), c.Key, c.Written, c.Took.Round(time.Millisecond))
}

func (e Evidence) leavingGetsNothing() Verdict {
	const promise = "a leaving upstream gets no new work after a few seconds"
	l := e.Leaving
	deadline := l.From.Add(leaveWithin)
	if l.Upstream == "" || !deadline.Before(l.To) {
		return broken(promise, "no upstream left for longer than %s", leaveWithin)
	}
	before := 0
	for _, entry := range e.Ledgers[l.Upstream] {
		if entry.Received.After(deadline) && entry.Received.Before(l.To) {
			return broken(promise, "%s got attempt %s after %s", l.Upstream, entry.Attempt, entry.Received.Sub(l.From).Round(time.Millisecond))
		}
		if entry.Received.Before(l.From) {
			before++
		}
	}
	if before == 0 {
		return broken(promise, "%s got no work before it left", l.Upstream)
	}
	return held(promise, "%s, with %d requests before", l.Upstream, before)
}

func gapWithinBound(s loadgen.Service) Verdict {
	promise := fmt.Sprintf("the fairness gap of %s stays within its bound", s.Name)
	limit := min(s.Bound, reachPart*s.Reach)
	if s.BusySamples == 0 {
		return broken(promise, "no work waited")
	}
	if s.Gap > limit {
		return broken(promise, "gap %.1f, limit %.1f (bound %.1f)", s.Gap, limit, s.Bound)
	}
	return held(promise, "gap %.1f, limit %.1f (bound %.1f; serving one workspace only would show %.1f)", s.Gap, limit, s.Bound, s.Reach)
}

func nobodyStarved(s loadgen.Service) Verdict {
	promise := fmt.Sprintf("no workspace starves on %s", s.Name)
	if s.Least.Workspace == "" {
		return broken(promise, "no workspace waited long enough to tell")
	}
	if s.Least.Part < leastPart {
		return broken(promise, "%s got %.2f of its share in the %.1f s that it waited", s.Least.Workspace, s.Least.Part, s.Least.Seconds)
	}
	return held(promise, "the least is %s with %.2f of its share", s.Least.Workspace, s.Least.Part)
}
