package outcome

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/trace"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const grace = 5 * time.Second

func caller(digest string, ran result.Ran) trace.CallerRecord {
	return trace.CallerRecord{Router: "r", Workspace: "w", Service: "s", BodyDigest: digest, Ran: ran, AnswerWhole: ran == result.RanYes, AnswerDigest: "answer-" + digest}
}

func run(digest string) trace.UpstreamRecord {
	return trace.UpstreamRecord{Upstream: "u", Boot: "b1", Attempt: state.AttemptID{Router: "r", Incarnation: 1, Sequence: 1}, BodyDigest: digest, AnswerDigest: "answer-" + digest, Started: start, Finished: start.Add(time.Second)}
}

func keyed(c trace.CallerRecord, key string) trace.CallerRecord {
	c.Key = key
	return c
}

func repeatable(c trace.CallerRecord) trace.CallerRecord {
	c.Repeatable = true
	return c
}

func runAt(after time.Duration, boot string) trace.UpstreamRecord {
	u := run("leaving")
	u.Started, u.Boot = start.Add(after), boot
	return u
}

func config(incarnation state.Incarnation, version uint64) trace.ConfigRecord {
	return trace.ConfigRecord{Router: "r", Incarnation: incarnation, Key: "teams/a", Version: version}
}

// TestChecks gives, for each trace, the name of the one check that must fail;
// an empty name means that all checks must pass.
func TestChecks(t *testing.T) {
	swappedAnswer := caller("a", result.RanYes)
	swappedAnswer.AnswerDigest = "answer-b"
	unfinishedRun := run("a")
	unfinishedRun.Finished = time.Time{}
	waitedRun := runAt(time.Hour, "b1")
	waitedRun.Received = start
	announcement := trace.LeavingRecord{Upstream: "u", Boot: "b1", At: start}
	anyBoot := trace.LeavingRecord{Upstream: "u", At: start}
	observedAnnouncement := trace.StepRecord{Router: "r", Time: start, Event: trace.Event{Event: scheduler.UpstreamLeaving{Upstream: "u", Boot: "b1"}}}

	for name, c := range map[string]struct {
		fails   string
		records []trace.Record
	}{
		"one run":                                       {"", []trace.Record{caller("a", result.RanYes), run("a")}},
		"refused, no run":                               {"", []trace.Record{caller("a", result.RanNo)}},
		"refused, then served":                          {"", []trace.Record{caller("a", result.RanNo), caller("a", result.RanYes), run("a")}},
		"refused, but run":                              {"told-not-run", []trace.Record{caller("a", result.RanNo), run("a")}},
		"refused, served, run twice":                    {"told-not-run", []trace.Record{repeatable(caller("a", result.RanNo)), repeatable(caller("a", result.RanYes)), run("a"), run("a"), run("a")}},
		"idempotent retry":                              {"", []trace.Record{repeatable(caller("a", result.RanYes)), run("a"), run("a")}},
		"no key, run twice":                             {"at-most-once", []trace.Record{caller("a", result.RanYes), run("a"), run("a")}},
		"no key, sent twice":                            {"", []trace.Record{caller("a", result.RanYes), caller("a", result.RanYes), run("a"), run("a")}},
		"key, sent twice, run once":                     {"", []trace.Record{keyed(caller("a", result.RanYes), "k"), keyed(caller("a", result.RanUnknown), "k"), run("a")}},
		"key, sent twice, run twice":                    {"at-most-once", []trace.Record{keyed(caller("a", result.RanYes), "k"), keyed(caller("a", result.RanYes), "k"), run("a"), run("a")}},
		"key with two bodies":                           {"at-most-once", []trace.Record{keyed(caller("a", result.RanYes), "k"), keyed(caller("b", result.RanYes), "k"), run("a"), run("b")}},
		"answers swapped between callers":               {"whole-answers", []trace.Record{swappedAnswer, caller("b", result.RanYes), run("a"), run("b")}},
		"unfinished run, whole answer":                  {"whole-answers", []trace.Record{caller("a", result.RanYes), unfinishedRun}},
		"work within the grace":                         {"", []trace.Record{announcement, runAt(grace, "b1")}},
		"work after the grace":                          {"no-work-for-leaving-upstreams", []trace.Record{announcement, runAt(grace+1, "b1")}},
		"work after a router received the announcement": {"no-work-for-leaving-upstreams", []trace.Record{observedAnnouncement, runAt(grace+1, "b1")}},
		"work after leaving any boot":                   {"no-work-for-leaving-upstreams", []trace.Record{anyBoot, runAt(grace+1, "b1")}},
		"work for the next boot":                        {"", []trace.Record{announcement, runAt(grace+1, "b2")}},
		"received early, started late":                  {"", []trace.Record{announcement, waitedRun}},
		"versions rise":                                 {"", []trace.Record{config(1, 3), config(1, 3), config(2, 4)}},
		"version falls at a restart":                    {"settings-never-revert", []trace.Record{config(1, 3), config(2, 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			var file bytes.Buffer
			recorder := trace.NewRecorder(&file, "", 0)
			for _, record := range c.records {
				recorder.Record(record)
			}
			require.NoError(t, recorder.Close())
			records, err := Read(&file)
			require.NoError(t, err)
			failed := ""
			for _, check := range RunChecks(records, grace) {
				if !check.Passed() {
					failed += check.Name
					require.NotEmpty(t, check.Evidence)
					require.Contains(t, check.String(), "failed "+check.Name)
				}
			}
			require.Equal(t, c.fails, failed)
		})
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	var records Records
	for i := range 100 {
		records.Config = append(records.Config, config(1, uint64(100-i)))
	}
	check := CheckConfig(records)
	require.Equal(t, 99, check.Failures)
	require.Len(t, check.Evidence, maxEvidence)
}
