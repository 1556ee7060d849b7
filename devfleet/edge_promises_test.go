package devfleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/server"
	"github.com/figstile/figstile/state"
)

// validEdgeEvidence returns evidence of a run in which every promise held.
func validEdgeEvidence() edgeEvidence {
	call := func(ws state.Workspace, path, attempt string, status int) edgeRecord {
		return edgeRecord{workspace: ws, path: path, attempt: attempt, router: "router-1", startedAt: runStart, status: status, ownAnswer: status == 200}
	}
	former := call(revokedWorkspace, mapsPath, "f1", 401)
	former.startedAt = runStart.Add(time.Minute)
	held := call("tours", server.HeldStreamPath, "h1", 200)
	held.callerLeft = true
	return edgeEvidence{
		records: []edgeRecord{
			call("tours", draftsPath, "t1", 200),
			call("tours", publishPath, "t2", 200),
			call(floodWorkspace, mapsPath, "x1", 200),
			call(floodWorkspace, mapsPath, "x2", 429),
			former, held,
		},
		runs: map[state.Upstream][]server.Run{
			"drafts-1": {{Attempt: "t1", StartedAt: runStart, Complete: true, Ended: true}, {Attempt: "h1", StartedAt: runStart, Ended: true}},
			"pages-1":  {{Attempt: "t2", StartedAt: runStart, Complete: true, Ended: true}, {Attempt: "x1", StartedAt: runStart, Complete: true, Ended: true}},
		},
		leavingUpstream: "drafts-1", leavingSince: runStart, revokedAt: runStart,
	}
}

func failedEdgePromises(e edgeEvidence) []string {
	var failed []string
	for _, v := range e.verdicts() {
		if !v.Held {
			failed = append(failed, v.Promise)
		}
	}
	return failed
}

func TestValidEdgeEvidencePasses(t *testing.T) {
	require.Empty(t, failedEdgePromises(validEdgeEvidence()))
	require.Len(t, failedEdgePromises(edgeEvidence{}), 7, "empty evidence satisfies only the promise that every caller got an answer")
}

// Each case breaks one promise in evidence that is otherwise valid. The check
// of exactly that promise must fail, or the trial would not detect it.
func TestEachEdgeCheckFails(t *testing.T) {
	cases := map[string]struct {
		change  func(e *edgeEvidence)
		promise string
	}{
		"another's answer": {func(e *edgeEvidence) { e.records[0].ownAnswer = false }, "each answer is whole, its caller's own, and no key is passed on"},
		"a key passed on":  {func(e *edgeEvidence) { e.keyLeaked = true }, "each answer is whole, its caller's own, and no key is passed on"},
		"a broken call":    {func(e *edgeEvidence) { e.records[3].failure = "EOF" }, "every caller who stayed got an answer or a refusal"},
		"a refusal that ran": {func(e *edgeEvidence) {
			e.runs["pages-1"] = append(e.runs["pages-1"], server.Run{Attempt: "x2", StartedAt: runStart, Ended: true})
		}, "a refusal that says that nothing ran is true"},
		"a second run": {func(e *edgeEvidence) {
			e.runs["pages-2"] = []server.Run{{Attempt: "t2", StartedAt: runStart, Ended: true}}
		}, "what must not be repeated ran at most once"},
		"an old key": {func(e *edgeEvidence) { e.records[4].status = 503 }, "a key that is taken away is refused on every router, for good"},
		"late work": {func(e *edgeEvidence) {
			e.runs["drafts-1"] = append(e.runs["drafts-1"], server.Run{Attempt: "t9", StartedAt: runStart.Add(time.Minute), Ended: true})
		}, "an upstream that leaves gets nothing new"},
		"work for nobody":           {func(e *edgeEvidence) { e.runs["drafts-1"][1].Ended = false }, "work ends when its caller leaves"},
		"a whole answer for nobody": {func(e *edgeEvidence) { e.runs["drafts-1"][1].Complete = true }, "work ends when its caller leaves"},
		"a starved workspace": {func(e *edgeEvidence) {
			for range 20 {
				e.records = append(e.records, edgeRecord{workspace: "tours", path: mapsPath, attempt: "t8", startedAt: runStart, status: 429})
			}
		}, "nobody starves beside a flood"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := validEdgeEvidence()
			c.change(&e)
			require.Equal(t, []string{c.promise}, failedEdgePromises(e))
		})
	}
}
