package quarantine

import (
	"testing"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/stretchr/testify/require"
)

// A caller repeats a crashing request within milliseconds. Load reports confirm
// a crash only a quarter of a second later, when a third engine has already
// crashed. Losses must therefore count before they are confirmed.
func TestLossesCountUntilConfirmedOrExpired(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLosses()
	l.Add(now, 7)
	l.Add(now.Add(time.Second), 7)
	require.Equal(t, 2, l.Count(now.Add(time.Second), 7))
	l.ConfirmOldest(7)
	require.Equal(t, 1, l.Count(now.Add(time.Second), 7), "a confirmed loss is counted by the list")
	require.Zero(t, l.Count(now.Add(time.Second+LossExpiry+1), 7), "an unconfirmed loss expires")
	require.Empty(t, l.byFingerprint)
}

// Many callers lose their connections at once, as after a network fault. The
// record of losses must not grow with their number.
func TestLossesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLosses()
	for f := range state.Fingerprint(10 * maxLossFingerprints) {
		l.Add(now, f+1)
	}
	require.Len(t, l.byFingerprint, maxLossFingerprints)
	later := now.Add(LossExpiry + 1)
	l.Add(later, 1_000_000)
	require.Equal(t, 1, l.Count(later, 1_000_000))
}
