package outcome

import (
	"time"

	"github.com/figstile/figstile/protocol/trace"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// answerCounts sums up what callers of one body at one router were told.
type answerCounts struct {
	total int
	// mayHaveRun counts the answers that admit that the request ran.
	mayHaveRun int
	repeatable bool
}

// routerBody is one request at one router: a caller that sends again elsewhere is
// told by another router.
type routerBody struct {
	router state.Router
	digest string
}

func countAnswers(callers []trace.CallerRecord) map[routerBody]*answerCounts {
	counts := make(map[routerBody]*answerCounts)
	for _, c := range callers {
		key := routerBody{c.Router, c.BodyDigest}
		s, ok := counts[key]
		if !ok {
			s = &answerCounts{}
			counts[key] = s
		}
		s.total++
		s.repeatable = s.repeatable || c.Repeatable
		if c.Ran != result.RanNo {
			s.mayHaveRun++
		}
	}
	return counts
}

// maxRuns is how many runs the answers admit.
func (s *answerCounts) maxRuns() int {
	if s.repeatable {
		return s.mayHaveRun * attemptsPerSend
	}
	return s.mayHaveRun
}

// CheckNotRun checks that no upstream ran a request whose caller was told that it
// was not run.
func CheckNotRun(r Records) Check {
	check := Check{Name: "told-not-run"}
	runs := make(map[routerBody][]trace.UpstreamRecord)
	for _, u := range r.Upstreams {
		key := routerBody{u.Attempt.Router, u.BodyDigest}
		runs[key] = append(runs[key], u)
	}
	reported := make(map[routerBody]bool)
	answers := countAnswers(r.Callers)
	for _, c := range r.Callers {
		if c.Ran != result.RanNo {
			continue
		}
		check.Examined++
		key := routerBody{c.Router, c.BodyDigest}
		upstreamRuns := runs[key]
		if len(upstreamRuns) <= answers[key].maxRuns() || reported[key] {
			continue
		}
		reported[key] = true
		check.fail("router=%s body=%s code=%d told=no runs=%d admitted=%d upstream=%s attempt=%s", c.Router, c.BodyDigest, c.Result, len(upstreamRuns), answers[key].maxRuns(), upstreamRuns[0].Upstream, upstreamRuns[0].Attempt)
	}
	return check
}

// workKey identifies non-idempotent work: by its key if it has one, otherwise by
// its body.
type workKey struct {
	workspace state.Workspace
	service   state.Service
	key       string
	digest    string
}

// CheckAtMostOnce checks that a non-idempotent request ran at most once: one with a
// key over all sends, one without a key once per send.
func CheckAtMostOnce(r Records) Check {
	check := Check{Name: "at-most-once"}
	limit := make(map[workKey]int)
	byDigest := make(map[string]workKey)
	for _, c := range r.Callers {
		if c.Repeatable {
			continue
		}
		w := workKeyOf(c)
		byDigest[c.BodyDigest] = w
		limit[w]++
		if w.key != "" {
			limit[w] = 1
		}
	}
	runs := make(map[workKey]int)
	for _, u := range r.Upstreams {
		w, ok := byDigest[u.BodyDigest]
		if !ok {
			continue
		}
		runs[w]++
		if runs[w] == 1 {
			check.Examined++
		}
		if runs[w] == limit[w]+1 {
			check.fail("workspace=%s service=%s key=%q body=%s ran more than %d time(s), last on upstream=%s attempt=%s", w.workspace, w.service, w.key, u.BodyDigest, limit[w], u.Upstream, u.Attempt)
		}
	}
	return check
}

func workKeyOf(c trace.CallerRecord) workKey {
	w := workKey{workspace: c.Workspace, service: c.Service, key: c.Key}
	if c.Key == "" {
		w.digest = c.BodyDigest
	}
	return w
}

// CheckWholeAnswers checks that every answer that ended cleanly is one that a run of
// the same request gave.
func CheckWholeAnswers(r Records) Check {
	check := Check{Name: "whole-answers"}
	given := make(map[string]map[string]bool)
	for _, u := range r.Upstreams {
		if u.Finished.IsZero() {
			continue
		}
		if given[u.BodyDigest] == nil {
			given[u.BodyDigest] = make(map[string]bool)
		}
		given[u.BodyDigest][u.AnswerDigest] = true
	}
	for _, c := range r.Callers {
		if !c.AnswerWhole {
			continue
		}
		check.Examined++
		if !given[c.BodyDigest][c.AnswerDigest] {
			check.fail("router=%s body=%s got answer=%s, which no finished run of it gave", c.Router, c.BodyDigest, c.AnswerDigest)
		}
	}
	return check
}

// CheckLeaving checks that no upstream got work later than the grace after it was
// first announced to leave.
func CheckLeaving(r Records, grace time.Duration) Check {
	check := Check{Name: "no-work-for-leaving-upstreams"}
	type run struct {
		upstream state.Upstream
		boot     string
	}
	first := make(map[run]time.Time)
	for _, l := range r.Leaving {
		at, ok := first[run{l.Upstream, l.Boot}]
		if !ok || l.At.Before(at) {
			first[run{l.Upstream, l.Boot}] = l.At
		}
	}
	check.Examined = len(first)
	for _, u := range r.Upstreams {
		for _, boot := range []string{u.Boot, ""} {
			at, ok := first[run{u.Upstream, boot}]
			if late := receivedAt(u).Sub(at); ok && late > grace {
				check.fail("upstream=%s boot=%s attempt=%s came %s after the announcement", u.Upstream, u.Boot, u.Attempt, late)
				break
			}
		}
	}
	return check
}

// receivedAt is when a request reached the upstream, whether or not it had to
// wait there.
func receivedAt(u trace.UpstreamRecord) time.Time {
	if u.Received.IsZero() {
		return u.Started
	}
	return u.Received
}

// CheckConfig checks that the version of an object in force on a router never
// falls, over restarts too.
func CheckConfig(r Records) Check {
	check := Check{Name: "settings-never-revert"}
	type object struct {
		router state.Router
		key    string
	}
	inForce := make(map[object]uint64)
	for _, c := range r.Config {
		check.Examined++
		key := object{c.Router, c.Key}
		if c.Version < inForce[key] {
			check.fail("router=%s incarnation=%d key=%s fell from %d to %d", c.Router, c.Incarnation, c.Key, inForce[key], c.Version)
			continue
		}
		inForce[key] = c.Version
	}
	return check
}
