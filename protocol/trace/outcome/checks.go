package outcome

import (
	"time"

	"github.com/figstile/figstile/protocol/trace"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// sends sums up what callers of one body at one router were told.
type sends struct {
	total int
	// maybe counts the answers that admit that the request ran.
	maybe      int
	repeatable bool
}

// place is one request at one router: a caller that sends again elsewhere is
// told by another router.
type place struct {
	router state.Router
	digest string
}

func sendsByPlace(callers []trace.CallerRecord) map[place]*sends {
	byPlace := make(map[place]*sends)
	for _, c := range callers {
		at := place{c.Router, c.BodyDigest}
		s, ok := byPlace[at]
		if !ok {
			s = &sends{}
			byPlace[at] = s
		}
		s.total++
		s.repeatable = s.repeatable || c.Repeatable
		if c.Ran != result.RanNo {
			s.maybe++
		}
	}
	return byPlace
}

// allowed is how many runs the answers admit.
func (s *sends) allowed() int {
	if s.repeatable {
		return s.maybe * attemptsPerSend
	}
	return s.maybe
}

// NotRun checks that no upstream ran a request whose caller was told that it
// was not run.
func NotRun(r Records) Check {
	check := Check{Name: "told-not-run"}
	runs := make(map[place][]trace.UpstreamRecord)
	for _, u := range r.Upstreams {
		at := place{u.Attempt.Router, u.BodyDigest}
		runs[at] = append(runs[at], u)
	}
	reported := make(map[place]bool)
	sent := sendsByPlace(r.Callers)
	for _, c := range r.Callers {
		if c.Ran != result.RanNo {
			continue
		}
		check.Examined++
		at := place{c.Router, c.BodyDigest}
		ran := runs[at]
		if len(ran) <= sent[at].allowed() || reported[at] {
			continue
		}
		reported[at] = true
		check.fail("router=%s body=%s code=%d told=no runs=%d admitted=%d upstream=%s attempt=%s", c.Router, c.BodyDigest, c.Result, len(ran), sent[at].allowed(), ran[0].Upstream, ran[0].Attempt)
	}
	return check
}

// work identifies non-idempotent work: by its key if it has one, otherwise by
// its body.
type work struct {
	workspace state.Workspace
	service   state.Service
	key       string
	digest    string
}

// AtMostOnce checks that a non-idempotent request ran at most once: one with a
// key over all sends, one without a key once per send.
func AtMostOnce(r Records) Check {
	check := Check{Name: "at-most-once"}
	limit := make(map[work]int)
	byDigest := make(map[string]work)
	for _, c := range r.Callers {
		if c.Repeatable {
			continue
		}
		w := workOf(c)
		byDigest[c.BodyDigest] = w
		limit[w]++
		if w.key != "" {
			limit[w] = 1
		}
	}
	runs := make(map[work]int)
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

func workOf(c trace.CallerRecord) work {
	w := work{workspace: c.Workspace, service: c.Service, key: c.Key}
	if c.Key == "" {
		w.digest = c.BodyDigest
	}
	return w
}

// WholeAnswers checks that every answer that ended cleanly is one that a run of
// the same request gave.
func WholeAnswers(r Records) Check {
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

// Leaving checks that no upstream got work later than the grace after it was
// first announced to leave.
func Leaving(r Records, grace time.Duration) Check {
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
			if late := received(u).Sub(at); ok && late > grace {
				check.fail("upstream=%s boot=%s attempt=%s came %s after the announcement", u.Upstream, u.Boot, u.Attempt, late)
				break
			}
		}
	}
	return check
}

// received is when a request reached the upstream, whether or not it had to
// wait there.
func received(u trace.UpstreamRecord) time.Time {
	if u.Received.IsZero() {
		return u.Started
	}
	return u.Received
}

// Config checks that the version of an object in force on a router never
// falls, over restarts too.
func Config(r Records) Check {
	check := Check{Name: "settings-never-revert"}
	type object struct {
		router state.Router
		key    string
	}
	inForce := make(map[object]uint64)
	for _, c := range r.Config {
		check.Examined++
		at := object{c.Router, c.Key}
		if c.Version < inForce[at] {
			check.fail("router=%s incarnation=%d key=%s fell from %d to %d", c.Router, c.Incarnation, c.Key, inForce[at], c.Version)
			continue
		}
		inForce[at] = c.Version
	}
	return check
}
