package outcome

import (
	"time"

	"github.com/figstile/figstile/protocol/trace"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// answerCounts counts the answers that one router gave to requests with the
// same body.
type answerCounts struct {
	total int
	// mayHaveRun counts the answers which state that the request ran or may
	// have run.
	mayHaveRun int
	repeatable bool
}

// routerBody identifies the requests with one body at one router. A caller that
// sends the same request to another router gets that router's own answer.
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

// maxRuns returns the number of runs that are consistent with the answers.
func (s *answerCounts) maxRuns() int {
	if s.repeatable {
		return s.mayHaveRun * attemptsPerSend
	}
	return s.mayHaveRun
}

// CheckNotRun checks that no upstream ran a request whose caller received the
// answer that it was not run. Runs that other answers of the same router to
// the same body account for are allowed.
func CheckNotRun(r Records) Check {
	check := Check{Name: "told-not-run"}
	runs := make(map[routerBody][]trace.UpstreamRecord)
	for _, u := range r.Upstreams {
		key := routerBody{u.Attempt.Router, u.BodyDigest}
		runs[key] = append(runs[key], u)
	}
	reportedKeys := make(map[routerBody]bool)
	answers := countAnswers(r.Callers)
	for _, c := range r.Callers {
		if c.Ran != result.RanNo {
			continue
		}
		check.Examined++
		key := routerBody{c.Router, c.BodyDigest}
		upstreamRuns := runs[key]
		if len(upstreamRuns) <= answers[key].maxRuns() || reportedKeys[key] {
			continue
		}
		reportedKeys[key] = true
		check.fail("router=%s body=%s code=%d told=no runs=%d admitted=%d upstream=%s attempt=%s", c.Router, c.BodyDigest, c.Result, len(upstreamRuns), answers[key].maxRuns(), upstreamRuns[0].Upstream, upstreamRuns[0].Attempt)
	}
	return check
}

// workKey identifies non-idempotent work: by its idempotency key if there is
// one, and otherwise by the digest of its body.
type workKey struct {
	workspace state.Workspace
	service   state.Service
	key       string
	digest    string
}

// CheckAtMostOnce checks that a non-idempotent request ran at most once: once
// over all sends if it has a key, and once per send if it has none.
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

// CheckWholeAnswers checks that every answer that ended without an error is the
// answer of a finished run of the same request.
func CheckWholeAnswers(r Records) Check {
	check := Check{Name: "whole-answers"}
	answersByBody := make(map[string]map[string]bool)
	for _, u := range r.Upstreams {
		if u.Finished.IsZero() {
			continue
		}
		if answersByBody[u.BodyDigest] == nil {
			answersByBody[u.BodyDigest] = make(map[string]bool)
		}
		answersByBody[u.BodyDigest][u.AnswerDigest] = true
	}
	for _, c := range r.Callers {
		if !c.AnswerWhole {
			continue
		}
		check.Examined++
		if !answersByBody[c.BodyDigest][c.AnswerDigest] {
			check.fail("router=%s body=%s got answer=%s, which no finished run of it gave", c.Router, c.BodyDigest, c.AnswerDigest)
		}
	}
	return check
}

// CheckLeaving checks that no upstream received work later than the grace after
// it was first announced as leaving.
func CheckLeaving(r Records, grace time.Duration) Check {
	check := Check{Name: "no-work-for-leaving-upstreams"}
	type run struct {
		upstream state.Upstream
		boot     string
	}
	firstAnnounced := make(map[run]time.Time)
	for _, l := range r.Leaving {
		at, ok := firstAnnounced[run{l.Upstream, l.Boot}]
		if !ok || l.At.Before(at) {
			firstAnnounced[run{l.Upstream, l.Boot}] = l.At
		}
	}
	check.Examined = len(firstAnnounced)
	for _, u := range r.Upstreams {
		for _, boot := range []string{u.Boot, ""} {
			at, ok := firstAnnounced[run{u.Upstream, boot}]
			if delay := receivedAt(u).Sub(at); ok && delay > grace {
				check.fail("upstream=%s boot=%s attempt=%s came %s after the announcement", u.Upstream, u.Boot, u.Attempt, delay)
				break
			}
		}
	}
	return check
}

// receivedAt returns when a request reached the upstream, before any wait
// there.
func receivedAt(u trace.UpstreamRecord) time.Time {
	if u.Received.IsZero() {
		return u.Started
	}
	return u.Received
}

// CheckConfig checks that the version of an object in force on a router never
// decreases, not even over restarts.
func CheckConfig(r Records) Check {
	check := Check{Name: "settings-never-revert"}
	type object struct {
		router state.Router
		key    string
	}
	versions := make(map[object]uint64)
	for _, c := range r.Config {
		check.Examined++
		key := object{c.Router, c.Key}
		if c.Version < versions[key] {
			check.fail("router=%s incarnation=%d key=%s fell from %d to %d", c.Router, c.Incarnation, c.Key, versions[key], c.Version)
			continue
		}
		versions[key] = c.Version
	}
	return check
}
