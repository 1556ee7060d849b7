package shares

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
)

var start = time.Unix(1000, 0)

func TestMaxMinShare(t *testing.T) {
	for _, c := range []struct {
		requested []float64
		capacity  float64
		share     float64
		limited   bool
	}{
		{nil, 10, 0, false},
		{[]float64{1, 2, 3}, 10, 0, false},
		{[]float64{100, 1, 2}, 13, 10, true},
		{[]float64{8, 8, 8}, 12, 4, true},
		{[]float64{5}, 0, 0, true},
	} {
		share, limited := MaxMinShare(c.requested, c.capacity)
		require.Equal(t, c.limited, limited, c)
		require.InDelta(t, c.share, share, 1e-9, c)
	}
}

// For any requested amounts, the max-min share uses up the capacity without
// exceeding it. A workspace that requests less than the share is not cut.
func TestMaxMinShareUsesWholeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requested := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 40).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 20000).Draw(t, "capacity")
		sum := 0.0
		for _, a := range requested {
			sum += a
		}
		share, limited := MaxMinShare(slices.Clone(requested), capacity)
		if limited != (sum > capacity) && (sum-capacity > 1e-6 || capacity-sum > 1e-6) {
			t.Fatalf("requested %v of %v, limited %v", sum, capacity, limited)
		}
		if !limited {
			return
		}
		served := 0.0
		for _, a := range requested {
			served += min(a, share)
		}
		if served < capacity*(1-1e-9) || served > capacity*(1+1e-9) {
			t.Fatalf("share %v gives %v of %v", share, served, capacity)
		}
	})
}

// One workspace floods router a, another one sends a few requests to router b.
// Both routers must find that the flood has exhausted its share and that the
// other workspace has not.
func TestPeerUsageCountsTowardsShare(t *testing.T) {
	const throughput = 100
	a, b := New(), New()
	a.RecordRequested(start, "flood", 10000)
	a.RecordAdmitted(start, "flood", 900)
	b.RecordRequested(start, "small", 20)
	b.RecordAdmitted(start, "small", 20)
	a.ReceiveUsage(start, "b", b.ReportedUsage(start))
	b.ReceiveUsage(start, "a", a.ReportedUsage(start))
	for _, l := range []*Ledger{a, b} {
		require.True(t, l.Standing(start, "flood", throughput).ShareExhausted)
		require.False(t, l.Standing(start, "small", throughput).ShareExhausted)
	}
}

func TestUsageExpiresAfterWindow(t *testing.T) {
	l := New()
	l.RecordRequested(start, "w", 10000)
	l.RecordAdmitted(start, "w", 10000)
	require.True(t, l.Standing(start, "w", 1).ShareExhausted)
	require.False(t, l.Standing(start.Add(Window+time.Second), "w", 1).ShareExhausted)
	require.Empty(t, l.OwnUsage(start.Add(2*Window)))
}

// The counts of a peer that no longer sends any are used for one window only.
func TestSilentPeerUsageExpires(t *testing.T) {
	l := New()
	l.ReceiveUsage(start, "peer", map[state.Workspace]Usage{"w": {Requested: 1000, Admitted: 1000}})
	require.True(t, l.Standing(start, "w", 1).ShareExhausted)
	require.False(t, l.Standing(start.Add(PeerExpiry+time.Second), "w", 1).ShareExhausted)
}

func TestUnknownThroughputLimitsNoWorkspace(t *testing.T) {
	l := New()
	l.RecordRequested(start, "w", 1e9)
	l.RecordAdmitted(start, "w", 1e9)
	require.Equal(t, Standing{}, l.Standing(start, "w", 0))
}

func TestLargestWorkspacesAreReported(t *testing.T) {
	l := New()
	l.RecordRequested(start, "big", 1000)
	for _, small := range []state.Workspace{"a", "b", "c"} {
		l.RecordRequested(start, small, 1)
	}
	reported := l.ReportedUsage(start)
	require.Len(t, reported, 1)
	require.Contains(t, reported, state.Workspace("big"))
}

// Guards against a workspace that is refused for seconds after a burst and then
// floods again.
func TestUsageDecreasesSteadily(t *testing.T) {
	l := New()
	l.RecordAdmitted(start, "w", 1600)
	before := l.OwnUsage(start)["w"].Admitted
	require.InDelta(t, 2*1600, before, 110)
	for at := bucketWidth; at < Window; at += bucketWidth {
		now := l.OwnUsage(start.Add(at))["w"].Admitted
		require.InDelta(t, 2*1600/float64(bucketCount), before-now, 1, "at %s", at)
		before = now
	}
	require.Empty(t, l.OwnUsage(start.Add(Window)))
}

// With evenly spaced requests, the weighted window counts as much as an
// unweighted one.
func TestSteadyUsageHasUnweightedAmount(t *testing.T) {
	l := New()
	for i := range 100 {
		l.RecordRequested(start.Add(time.Duration(i)*bucketWidth), "w", 10)
	}
	require.InDelta(t, 10*bucketCount, l.OwnUsage(start.Add(99 * bucketWidth))["w"].Requested, 1e-6)
}

// Guards against a router that admits far more than its part of a flood while
// its peers' counts are in transit.
func TestLocalShareUseIsCurrent(t *testing.T) {
	throughput := 50 * bucketWeight(0)
	l := New()
	l.RecordRequested(start, "w", 400)
	l.ReceiveUsage(start, "peer", map[state.Workspace]Usage{"w": {Requested: 800 * bucketWeight(0)}})
	require.Zero(t, l.Standing(start, "w", throughput).LocalShareUse)
	l.RecordAdmitted(start, "w", 200)
	standing := l.Standing(start, "w", throughput)
	require.InDelta(t, 3, standing.LocalShareUse, 0.01, "half of the cost requested here was admitted where a sixth is due")
	require.InDelta(t, 1, standing.ShareUse, 0.01)
	require.InDelta(t, 0, l.Standing(start, "elsewhere", throughput).LocalShareUse, 0)
}
