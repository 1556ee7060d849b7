package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

var now = time.Unix(1000, 0)

func TestTwoCrashedRunsBlockFingerprint(t *testing.T) {
	l := New(2)
	require.True(t, l.RecordCrash(now, 1, Run{Upstream: "u", Boot: "1"}))
	require.False(t, l.RecordCrash(now, 1, Run{Upstream: "u", Boot: "1"}))
	require.False(t, l.Blocked(now, 1))
	require.True(t, l.RecordCrash(now, 1, Run{Upstream: "u", Boot: "2"}))
	require.True(t, l.Blocked(now, 1))
	l.ForgetUnblocked(1)
	require.True(t, l.Blocked(now, 1), "a late answer does not unblock the fingerprint")
	require.False(t, l.RecordCrash(now, 0, Run{Upstream: "u", Boot: "1"}), "a request without a fingerprint is not recorded")
	for f := state.Fingerprint(2); f < 5; f++ {
		l.RecordCrash(now, f, Run{Upstream: "u", Boot: "1"})
	}
	require.Len(t, l.records, 2)
	require.False(t, l.Blocked(now, 1), "the oldest record is dropped first")
}

func TestBlockExpires(t *testing.T) {
	l := New(10)
	l.RecordCrash(now, 1, Run{Upstream: "u", Boot: "1"})
	l.RecordCrash(now, 1, Run{Upstream: "v", Boot: "1"})
	require.True(t, l.Blocked(now.Add(RecordExpiry), 1))
	require.False(t, l.Blocked(now.Add(RecordExpiry+1), 1))
}

func TestSuspicionNeedsCrashWithinWindow(t *testing.T) {
	var s Suspicions
	s.Add(now, 1, "u")
	s.Add(now, 2, "v")
	require.Equal(t, []state.Fingerprint{1}, s.Confirm(now.Add(ConfirmationWindow), "u"))
	require.Empty(t, s.Confirm(now.Add(ConfirmationWindow), "u"))
	require.Empty(t, s.Confirm(now.Add(ConfirmationWindow+1), "v"))
}
