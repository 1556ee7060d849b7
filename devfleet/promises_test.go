package devfleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
)

var runStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// validEvidence returns evidence of a run in which every promise held.
func validEvidence() Evidence {
	started := upstream.Entry{Received: runStart, Started: runStart}
	page, booking := started, started
	page.Digest = "page"
	booking.Digest, booking.IdempotencyKey = "booking", "key"
	return Evidence{
		Records: []loadgen.Record{
			{BodyDigest: "page", Status: 200, Complete: true, MatchesRequest: true, Ran: "yes"},
			{BodyDigest: "booking", Key: "key", Status: 200, Complete: true, MatchesRequest: true, Ran: "yes"},
			{BodyDigest: "booking", Key: "key", Resent: true, Status: 409, Complete: true, Ran: "yes"},
			{BodyDigest: "refused", Status: 503, Complete: true, Ran: "no"},
		},
		Ledgers:    map[state.Upstream][]upstream.Entry{"worker-1": {page, booking}, "engine-1": {{Received: runStart}}},
		ServiceOf:  map[state.Upstream]state.Service{"worker-1": "kiosco-web", "engine-1": "redaccion-figstile"},
		Repeatable: map[state.Service]bool{"redaccion-figstile": true},
		ServiceMetrics: []loadgen.Service{{
			Name: "kiosco-web", MaxGap: 5, GapLimit: 10, SingleWorkspaceGap: 100, BusySlotSamples: 9,
			MinReceivedShare: loadgen.ReceivedShare{Workspace: "laredo", Fraction: 0.9, WaitingSeconds: 5},
		}},
		Leaving: Leaving{Upstream: "engine-1", From: runStart.Add(time.Second), To: runStart.Add(time.Minute)},
		Change:  Change{Key: "config/root", WrittenVersion: 7, FinalVersions: map[state.Router]map[string]uint64{"router-1": {"config/root": 7}}},
	}
}

func failedPromises(e Evidence) []string {
	var failed []string
	for _, v := range e.Check() {
		if !v.Held {
			failed = append(failed, v.Promise)
		}
	}
	return failed
}

func TestValidEvidencePasses(t *testing.T) {
	require.Empty(t, failedPromises(validEvidence()))
	require.False(t, Trial{}.PromisesKept(), "a trial without verdicts must not pass")
}

// Each case breaks one promise in evidence that is otherwise valid. The check
// of exactly that promise must fail, or the trial would not detect it.
func TestEachCheckFails(t *testing.T) {
	cases := map[string]struct {
		promise string
		breaks  func(*Evidence)
	}{
		"crossed answer":   {"whole and its caller's own", func(e *Evidence) { e.Records[0].MatchesRequest = false }},
		"broken answer":    {"got an answer or a refusal", func(e *Evidence) { e.Records[3].ConnectionError = "EOF" }},
		"untold outcome":   {"got an answer or a refusal", func(e *Evidence) { e.Records[2].Ran = "" }},
		"untrue not run":   {"did not run", func(e *Evidence) { e.addStarted("engine-1", upstream.Entry{Digest: "refused"}) }},
		"nothing refused":  {"did not run", func(e *Evidence) { e.Records = e.Records[:3] }},
		"second booking":   {"at most once", func(e *Evidence) { e.addStarted("worker-1", upstream.Entry{IdempotencyKey: "key"}) }},
		"nothing resent":   {"at most once", func(e *Evidence) { e.Records[2].Resent = false }},
		"second page":      {"may not be repeated", func(e *Evidence) { e.addStarted("worker-1", upstream.Entry{Digest: "page"}) }},
		"change refused":   {"in force everywhere", func(e *Evidence) { e.Change.WrittenVersion = 0 }},
		"router behind":    {"in force everywhere", func(e *Evidence) { e.Change.FinalVersions["router-1"]["config/root"] = 6 }},
		"slow change":      {"in force everywhere", func(e *Evidence) { e.Change.Duration = changeTimeout + 1 }},
		"reverted":         {"in force everywhere", func(e *Evidence) { e.Change.VersionRollback = "router-1 went back" }},
		"work for leaver":  {"leaving upstream", func(e *Evidence) { e.addReceived("engine-1", runStart.Add(30*time.Second)) }},
		"nothing left":     {"leaving upstream", func(e *Evidence) { e.Leaving = Leaving{} }},
		"gap above bound":  {"stays within its bound", func(e *Evidence) { e.ServiceMetrics[0].MaxGap = 10.1 }},
		"gap of short run": {"stays within its bound", func(e *Evidence) { e.ServiceMetrics[0].SingleWorkspaceGap = 9 }},
		"nothing waited":   {"stays within its bound", func(e *Evidence) { e.ServiceMetrics[0].BusySlotSamples = 0 }},
		"starved":          {"no workspace starves", func(e *Evidence) { e.ServiceMetrics[0].MinReceivedShare.Fraction = 0.2 }},
		"nobody to starve": {"no workspace starves", func(e *Evidence) { e.ServiceMetrics[0].MinReceivedShare = loadgen.ReceivedShare{} }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := validEvidence()
			c.breaks(&e)
			failed := failedPromises(e)
			require.Len(t, failed, 1)
			require.Contains(t, failed[0], c.promise)
		})
	}
}

func (e *Evidence) addStarted(name state.Upstream, entry upstream.Entry) {
	entry.Received, entry.Started = runStart, runStart
	e.Ledgers[name] = append(slices.Clone(e.Ledgers[name]), entry)
}

func (e *Evidence) addReceived(name state.Upstream, at time.Time) {
	e.Ledgers[name] = append(slices.Clone(e.Ledgers[name]), upstream.Entry{Received: at})
}
