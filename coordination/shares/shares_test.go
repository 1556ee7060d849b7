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
		asked    []float64
		capacity float64
		level    float64
		limited  bool
	}{
		{nil, 10, 0, false},
		{[]float64{1, 2, 3}, 10, 0, false},
		{[]float64{100, 1, 2}, 13, 10, true},
		{[]float64{8, 8, 8}, 12, 4, true},
		{[]float64{5}, 0, 0, true},
	} {
		level, limited := MaxMinShare(c.asked, c.capacity)
		require.Equal(t, c.limited, limited, c)
		require.InDelta(t, c.level, level, 1e-9, c)
	}
}

// At any demand the level hands out the capacity and not more, and nobody who
// asks for less than it is cut.
func TestMaxMinShareUsesWholeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 40).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 20000).Draw(t, "capacity")
		sum := 0.0
		for _, a := range asked {
			sum += a
		}
		level, limited := MaxMinShare(slices.Clone(asked), capacity)
		if limited != (sum > capacity) && (sum-capacity > 1e-6 || capacity-sum > 1e-6) {
			t.Fatalf("asked %v of %v, limited %v", sum, capacity, limited)
		}
		if !limited {
			return
		}
		given := 0.0
		for _, a := range asked {
			given += min(a, level)
		}
		if given < capacity*(1-1e-9) || given > capacity*(1+1e-9) {
			t.Fatalf("level %v gives %v of %v", level, given, capacity)
		}
	})
}

// One workspace floods router a, another asks a little at router b. Both
// routers see the flood beyond its share, neither the other one.
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

// A peer that is cut off says nothing more; what it said holds for a window.
func TestSilentPeerIsForgotten(t *testing.T) {
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

// Guards against a workspace that is refused for seconds after a burst and then floods again.
func TestUsageFadesSteadily(t *testing.T) {
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

// Asked for evenly, the weighed window counts as much as an unweighed one.
func TestSteadyUsageHasUnweightedAmount(t *testing.T) {
	l := New()
	for i := range 100 {
		l.RecordRequested(start.Add(time.Duration(i)*bucketWidth), "w", 10)
	}
	require.InDelta(t, 10*bucketCount, l.OwnUsage(start.Add(99 * bucketWidth))["w"].Requested, 1e-6)
}

// Guards against a router that admits far more than its part of a flood while its
// peers' counts are on their way.
func TestLocalShareUseIsCurrent(t *testing.T) {
	throughput := 50 * bucketWeight(0)
	l := New()
	l.RecordRequested(start, "w", 400)
	l.ReceiveUsage(start, "peer", map[state.Workspace]Usage{"w": {Requested: 800 * bucketWeight(0)}})
	require.Zero(t, l.Standing(start, "w", throughput).LocalShareUse)
	l.RecordAdmitted(start, "w", 200)
	standing := l.Standing(start, "w", throughput)
	require.InDelta(t, 3, standing.LocalShareUse, 0.01, "a half of what was asked here, where a sixth is due")
	require.InDelta(t, 1, standing.ShareUse, 0.01)
	require.InDelta(t, 0, l.Standing(start, "elsewhere", throughput).LocalShareUse, 0)
}
