package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

var now = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return now.Add(d) }

// lossAt is the loss of a request that ran for the given time before.
func lossAt(at, ranFor time.Duration) Loss {
	return Loss{StartedAt: after(at - ranFor), LostAt: after(at)}
}

// crash records the crash of an upstream that ran a request for 100 ms.
func crash(l *List, at time.Duration, f state.Fingerprint, u state.Upstream) bool {
	return l.RecordCrash(after(at), f, Run{Upstream: u, Boot: "1"}, lossAt(at, 100*time.Millisecond))
}

// verdict returns the verdict on a request, and begins a trial of it.
func verdict(l *List, at time.Duration, f state.Fingerprint) Verdict {
	return l.StartTrial(after(at), f, "r00")
}

// A caller repeats a request that crashes each upstream, as soon as its answer
// has broken off.
func TestTwoCrashedRunsBlockFingerprint(t *testing.T) {
	l := New(2)
	require.True(t, crash(l, 0, 1, "u"))
	require.False(t, crash(l, 0, 1, "u"))
	require.False(t, l.Blocked(now, 1))
	require.Equal(t, Free, verdict(l, 0, 1))
	require.True(t, crash(l, 110*time.Millisecond, 1, "v"))
	require.True(t, l.Blocked(now, 1))
	require.Equal(t, Blocked, verdict(l, time.Second, 1))
	require.False(t, crash(l, 0, 0, "u"), "a request without a fingerprint is not recorded")
	for f := state.Fingerprint(2); f < 5; f++ {
		crash(l, 0, f, "u")
	}
	require.Len(t, l.records, 2)
	require.False(t, l.Blocked(now, 1), "the oldest record is dropped first")
}

// The second crash of a caller's repeated request is confirmed before the first.
// Both must count.
func TestCrashesCountInAnyOrder(t *testing.T) {
	l := New(10)
	require.True(t, crash(l, 110*time.Millisecond, 1, "v"))
	require.True(t, crash(l, 0, 1, "u"))
	require.Equal(t, Blocked, verdict(l, time.Second, 1))
}

// Engines of one rack go down within the same moment, while each of them runs
// the same popular request. That is no proof against the request.
func TestUpstreamsLostTogetherCountOnce(t *testing.T) {
	l := New(10)
	for i, u := range []state.Upstream{"a", "b", "c", "d"} {
		at := time.Duration(i) * 400 * time.Millisecond
		l.RecordCrash(after(at), 1, Run{Upstream: u, Boot: "1"}, lossAt(at, 5*time.Second))
	}
	require.Equal(t, Free, verdict(l, 2*time.Second, 1))
	l.RecordCrash(after(3*time.Second), 1, Run{Upstream: "e", Boot: "1"}, lossAt(3*time.Second, 5*time.Second))
	require.Equal(t, Blocked, verdict(l, 3*time.Second, 1), "a later moment")
}

// An upstream answers the request that ran where others crashed, before the
// second crash, or afterwards and while the request is blocked.
func TestAnswerClearsTheRequest(t *testing.T) {
	l := New(10)
	crash(l, 0, 1, "a")
	require.True(t, l.Served(1))
	require.False(t, l.Served(1), "nothing is known against the request any more")
	crash(l, time.Second, 1, "b")
	require.Equal(t, Free, verdict(l, time.Second, 1))
	crash(l, 2*time.Second, 1, "c")
	require.Equal(t, Blocked, verdict(l, 2*time.Second, 1))
	require.True(t, l.Served(1))
	require.Equal(t, Free, verdict(l, 2*time.Second, 1))
	require.False(t, l.Blocked(after(2*time.Second), 1))
}

// A blocked request was innocent. It must be tried again after a while, by one
// router at a time, and must not stay blocked for an hour.
func TestBlockedRequestIsTriedByOneRouter(t *testing.T) {
	l := New(10)
	crash(l, 0, 1, "a")
	crash(l, time.Second, 1, "b")
	_, wait := l.Decide(after(time.Second), 1, "r00")
	require.GreaterOrEqual(t, wait, TrialDelay)
	require.LessOrEqual(t, wait, time.Duration((1+trialStagger)*float64(TrialDelay)))
	require.Equal(t, Blocked, verdict(l, time.Second+wait-1, 1))
	require.Equal(t, Trial, verdict(l, time.Second+wait, 1))
	require.Equal(t, Blocked, verdict(l, time.Second+wait, 1), "one trial at a time")
	require.Equal(t, Trial, verdict(l, time.Second+wait+trialTimeout, 1), "the trial had no result")
	l.TrialStarted(after(2*time.Minute), 1)
	require.Equal(t, Blocked, verdict(l, 2*time.Minute+trialTimeout-1, 1), "another router tries it")
}

// A blocked request may be tried, and is refused for another reason. The trial
// must not count as made.
func TestRefusedRequestKeepsItsTrial(t *testing.T) {
	l := New(10)
	crash(l, 0, 1, "a")
	crash(l, time.Second, 1, "b")
	at := after(2 * TrialDelay)
	for range 2 {
		v, _ := l.Decide(at, 1, "r00")
		require.Equal(t, Trial, v)
	}
	require.Equal(t, Trial, l.StartTrial(at, 1, "r00"))
	require.Equal(t, Blocked, l.StartTrial(at, 1, "r00"))
}

// A request crashes each upstream that runs it, also in its trials. It takes one
// more in each, and the next trial follows an hour later.
func TestCrashInATrialBlocksForAnHour(t *testing.T) {
	l := New(10)
	crash(l, 0, 1, "a")
	crash(l, time.Second, 1, "b")
	trialAt, crashes := time.Duration(0), 2
	for at := time.Second; at < 59*time.Minute; at += 100 * time.Millisecond {
		if verdict(l, at, 1) != Blocked {
			crashes++
			trialAt = at
			l.RecordCrash(after(at+time.Second), 1, Run{Upstream: "c", Boot: at.String()}, lossAt(at+time.Second, 900*time.Millisecond))
		}
	}
	require.Equal(t, 3, crashes)
	_, wait := l.Decide(after(trialAt+time.Second), 1, "r00")
	require.GreaterOrEqual(t, wait, MaxTrialDelay)
	require.Equal(t, Trial, verdict(l, trialAt+time.Second+wait, 1))
}

// A fleet falls into parts that do not hear of each other's trials. Each may lose
// one upstream in a trial within the hour, and two before that if it had not heard
// of the first crashes.
func TestEachPartOfAFleetTriesOnce(t *testing.T) {
	for _, parts := range []int{1, 2, 5} {
		for _, known := range []bool{true, false} {
			total := 0
			for part := range parts {
				l := New(10)
				if known {
					crash(l, 0, 1, "a")
					crash(l, time.Second, 1, "b")
				}
				for at := time.Second; at < 59*time.Minute; at += 100 * time.Millisecond {
					if verdict(l, at, 1) != Blocked {
						total++
						l.RecordCrash(after(at+90*time.Millisecond), 1, Run{Upstream: "c", Boot: fmt.Sprint(part, at)}, lossAt(at+90*time.Millisecond, 90*time.Millisecond))
					}
				}
			}
			bound := 3 * parts
			if known {
				bound = parts
			}
			require.Equal(t, bound, total, "%d parts, crashes known: %t", parts, known)
		}
	}
}

// A request is answered now and then and crashes upstreams otherwise. The time
// for which it is blocked must grow.
func TestBlockGrowsAfterAnAnswer(t *testing.T) {
	l := New(10)
	last := time.Duration(0)
	for round := range 5 {
		at := time.Duration(round) * 10 * time.Minute
		for i := range 2 {
			l.RecordCrash(after(at), 1, Run{Upstream: "u", Boot: string(rune('a' + 2*round + i))}, lossAt(at+time.Duration(i)*time.Second, time.Millisecond))
		}
		_, wait := l.Decide(after(at), 1, "r00")
		require.Greater(t, wait, last)
		last = wait
		l.Served(1)
	}
	require.GreaterOrEqual(t, last, MaxTrialDelay)
}

func TestRecordExpires(t *testing.T) {
	l := New(10)
	crash(l, 0, 1, "a")
	crash(l, time.Second, 1, "b")
	require.True(t, l.Blocked(after(time.Hour), 1))
	require.False(t, l.Blocked(after(time.Hour+time.Second+1), 1))
	require.Equal(t, Free, verdict(l, time.Second+RecordExpiry+1, 1))
}

func TestSuspicionNeedsCrashWithinWindow(t *testing.T) {
	var s Suspicions
	loss := Loss{StartedAt: now, LostAt: now}
	s.Add(1, "u", loss)
	s.Add(2, "v", loss)
	require.Equal(t, []Suspect{{Fingerprint: 1, Loss: loss}}, s.Confirm(now.Add(ConfirmationWindow), "u"))
	require.Empty(t, s.Confirm(now.Add(ConfirmationWindow), "u"))
	require.Empty(t, s.Confirm(now.Add(ConfirmationWindow+1), "v"))
}
