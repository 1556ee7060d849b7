package devfleet

import (
	"fmt"
	"time"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Evidence is the data that the promises are checked on.
type Evidence struct {
	Records []loadgen.Record
	Ledgers map[state.Upstream][]upstream.Entry
	// ServiceOf maps each upstream to its service.
	ServiceOf map[state.Upstream]state.Service
	// Repeatable holds the services that may run a request without an
	// idempotency key more than once.
	Repeatable     map[state.Service]bool
	ServiceMetrics []loadgen.Service
	Leaving        Leaving
	Change         Change
}

// Leaving is an upstream that was drained from one time of the run to another.
type Leaving struct {
	Upstream state.Upstream
	From, To time.Time
}

// Change is a change of the settings during the run.
type Change struct {
	Key string
	// WrittenVersion is the version that the operator received in answer to the
	// change; zero if the change was not made.
	WrittenVersion uint64
	Failure        string
	// Duration is the time until all routers had applied the change.
	Duration time.Duration
	// FinalVersions holds the versions in force on each router at the end of
	// the run.
	FinalVersions map[state.Router]map[string]uint64
	// VersionRollback describes the rollback of a router that reported an older
	// version after a newer one; empty if no router did.
	VersionRollback string
}

// Verdict is the result of checking one promise.
type Verdict struct {
	Promise string `json:"promise"`
	Held    bool   `json:"held"`
	// Checked describes the data that was checked, or how the promise was
	// broken.
	Checked string `json:"checked"`
}

// Limits of the promises for which the deployments require "a few seconds".
const (
	// leaveTimeout is how long a leaving upstream may still receive new work.
	leaveTimeout = 4 * time.Second
	// changeTimeout is how long a change may take to be in force on all
	// routers.
	changeTimeout = 11 * time.Second
	// minServedFraction is the fraction of its share below which a workspace
	// that always has waiting requests counts as starved. Sampling and
	// unfinished requests account for a difference of less than half of the
	// share. EdgeTrial compares it with the fraction of calls that were served.
	minServedFraction = 0.25
	// singleWorkspaceGapFraction limits the fairness gap to this fraction of
	// loadgen.Service.SingleWorkspaceGap, the gap of a fleet that serves only
	// one workspace. In a short run even such a fleet stays within GapLimit,
	// which alone would then detect nothing.
	singleWorkspaceGapFraction = 0.5
)

// Check checks every promise. A promise that the run could not have broken
// counts as broken, as the absence of violations then proves nothing.
func (e Evidence) Check() []Verdict {
	verdicts := []Verdict{
		e.checkOwnAnswers(),
		e.checkCallersAnswered(),
		e.checkNotRun(),
		e.checkKeyedOnce(),
		e.checkUnkeyedOnce(),
		e.checkSettings(),
		e.checkLeavingUpstream(),
	}
	for _, s := range e.ServiceMetrics {
		verdicts = append(verdicts, checkFairnessGap(s), checkStarvation(s))
	}
	return verdicts
}

// allHeld reports whether every promise held. Without any verdict it returns
// false.
func allHeld(verdicts []Verdict) bool {
	for _, v := range verdicts {
		if !v.Held {
			return false
		}
	}
	return len(verdicts) > 0
}

func heldVerdict(promise, format string, args ...any) Verdict {
	return Verdict{Promise: promise, Held: true, Checked: fmt.Sprintf(format, args...)}
}

func brokenVerdict(promise, format string, args ...any) Verdict {
	return Verdict{Promise: promise, Checked: fmt.Sprintf(format, args...)}
}

func (e Evidence) checkOwnAnswers() Verdict {
	const promise = "each answer is whole and its caller's own"
	served := 0
	for _, r := range e.Records {
		if !r.Served() {
			continue
		}
		served++
		if !r.MatchesRequest {
			return brokenVerdict(promise, "%s of %s through %s got another answer, body %.12s", r.Class, r.Workspace, r.Router, r.BodyDigest)
		}
	}
	if served == 0 {
		return brokenVerdict(promise, "no answer came")
	}
	return heldVerdict(promise, "%d answers", served)
}

func (e Evidence) checkCallersAnswered() Verdict {
	const promise = "every caller who stayed got an answer or a refusal"
	for _, r := range e.Records {
		if !r.CallerLeft && r.ConnectionError != "" {
			return brokenVerdict(promise, "%s of %s through %s: %s", r.Class, r.Workspace, r.Router, r.ConnectionError)
		}
		if !r.CallerLeft && r.Status != 200 && r.Ran == "" {
			return brokenVerdict(promise, "%s of %s through %s: status %d says not whether it ran", r.Class, r.Workspace, r.Router, r.Status)
		}
	}
	if len(e.Records) == 0 {
		return brokenVerdict(promise, "no request was sent")
	}
	return heldVerdict(promise, "%d requests", len(e.Records))
}

// checkNotRun considers only bodies for which every caller received "not run".
// If the same body was sent twice, it may have run for the other caller.
func (e Evidence) checkNotRun() Verdict {
	const promise = "what is told not to have run did not run"
	reportedNotRun := make(map[string]bool)
	mayHaveRun := make(map[string]bool)
	for _, r := range e.Records {
		reportedNotRun[r.BodyDigest] = reportedNotRun[r.BodyDigest] || r.Ran == result.RanNo.String()
		mayHaveRun[r.BodyDigest] = mayHaveRun[r.BodyDigest] || r.Ran != result.RanNo.String()
	}
	refused := 0
	for digest := range reportedNotRun {
		if reportedNotRun[digest] && !mayHaveRun[digest] {
			refused++
		}
	}
	for name, entries := range e.Ledgers {
		for _, entry := range entries {
			if reportedNotRun[entry.Digest] && !mayHaveRun[entry.Digest] && !entry.Started.IsZero() {
				return brokenVerdict(promise, "%s started body %.12s, attempt %s", name, entry.Digest, entry.Attempt)
			}
		}
	}
	if refused == 0 {
		return brokenVerdict(promise, "no request was refused")
	}
	return heldVerdict(promise, "%d refused bodies against %d ledgers", refused, len(e.Ledgers))
}

func (e Evidence) checkKeyedOnce() Verdict {
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
			k := key{e.ServiceOf[name], entry.IdempotencyKey}
			starts[k]++
			if starts[k] > 1 {
				return brokenVerdict(promise, "%s ran key %s again", name, k.key)
			}
		}
	}
	resent := 0
	for _, r := range e.Records {
		if r.Resent {
			resent++
		}
	}
	if len(starts) == 0 || resent == 0 {
		return brokenVerdict(promise, "%d keys ran and %d requests were sent again: nothing to tell from", len(starts), resent)
	}
	return heldVerdict(promise, "%d keys, %d requests sent again", len(starts), resent)
}

func (e Evidence) checkUnkeyedOnce() Verdict {
	const promise = "a request without a key runs at most once where it may not be repeated"
	starts := make(map[string]int)
	for name, entries := range e.Ledgers {
		if e.Repeatable[e.ServiceOf[name]] {
			continue
		}
		for _, entry := range entries {
			if entry.IdempotencyKey != "" || entry.Started.IsZero() {
				continue
			}
			starts[entry.Digest]++
			if starts[entry.Digest] > 1 {
				return brokenVerdict(promise, "%s ran body %.12s again", name, entry.Digest)
			}
		}
	}
	if len(starts) == 0 {
		return brokenVerdict(promise, "none ran")
	}
	return heldVerdict(promise, "%d requests", len(starts))
}

func (e Evidence) checkSettings() Verdict {
	const promise = "an accepted change is in force everywhere and stays"
	change := e.Change
	if change.WrittenVersion == 0 {
		return brokenVerdict(promise, "the change was not made: %s", change.Failure)
	}
	if len(change.FinalVersions) == 0 {
		return brokenVerdict(promise, "no router was asked")
	}
	if change.VersionRollback != "" {
		return brokenVerdict(promise, "%s", change.VersionRollback)
	}
	if change.Duration > changeTimeout {
		return brokenVerdict(promise, "it took %s", change.Duration.Round(time.Millisecond))
	}
	for router, versions := range change.FinalVersions {
		if versions[change.Key] < change.WrittenVersion {
			return brokenVerdict(promise, "%s has %s at version %d, written was %d", router, change.Key, versions[change.Key], change.WrittenVersion)
		}
	}
	return heldVerdict(promise, "%d routers with %s at version %d after %s", len(change.FinalVersions), change.Key, change.WrittenVersion, change.Duration.Round(time.Millisecond))
}

func (e Evidence) checkLeavingUpstream() Verdict {
	const promise = "a leaving upstream gets no new work after a few seconds"
	leaving := e.Leaving
	deadline := leaving.From.Add(leaveTimeout)
	if leaving.Upstream == "" || !deadline.Before(leaving.To) {
		return brokenVerdict(promise, "no upstream left for longer than %s", leaveTimeout)
	}
	earlierRequests := 0
	for _, entry := range e.Ledgers[leaving.Upstream] {
		if entry.Received.After(deadline) && entry.Received.Before(leaving.To) {
			return brokenVerdict(promise, "%s got attempt %s after %s", leaving.Upstream, entry.Attempt, entry.Received.Sub(leaving.From).Round(time.Millisecond))
		}
		if entry.Received.Before(leaving.From) {
			earlierRequests++
		}
	}
	if earlierRequests == 0 {
		return brokenVerdict(promise, "%s got no work before it left", leaving.Upstream)
	}
	return heldVerdict(promise, "%s, with %d requests before", leaving.Upstream, earlierRequests)
}

func checkFairnessGap(s loadgen.Service) Verdict {
	promise := fmt.Sprintf("the fairness gap of %s stays within its bound", s.Name)
	limit := min(s.GapLimit, singleWorkspaceGapFraction*s.SingleWorkspaceGap)
	if s.BusySlotSamples == 0 {
		return brokenVerdict(promise, "no work waited")
	}
	if s.MaxGap > limit {
		return brokenVerdict(promise, "gap %.1f, limit %.1f (bound %.1f)", s.MaxGap, limit, s.GapLimit)
	}
	return heldVerdict(promise, "gap %.1f, limit %.1f (bound %.1f; serving one workspace only would show %.1f)", s.MaxGap, limit, s.GapLimit, s.SingleWorkspaceGap)
}

func checkStarvation(s loadgen.Service) Verdict {
	promise := fmt.Sprintf("no workspace starves on %s", s.Name)
	if s.MinReceivedShare.Workspace == "" {
		return brokenVerdict(promise, "no workspace waited long enough to tell")
	}
	if s.MinReceivedShare.Fraction < minServedFraction {
		return brokenVerdict(promise, "%s got %.2f of its share in the %.1f s that it waited", s.MinReceivedShare.Workspace, s.MinReceivedShare.Fraction, s.MinReceivedShare.WaitingSeconds)
	}
	return heldVerdict(promise, "the least is %s with %.2f of its share", s.MinReceivedShare.Workspace, s.MinReceivedShare.Fraction)
}
