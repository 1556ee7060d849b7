package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const interval = 100 * time.Millisecond

// recentLoad returns the fraction of the CPU share that was used recently.
func (e *Estimator) recentLoad() float64 {
	r := e.rates.Load()
	return r.requestLoad + r.turnedAwayLoad + r.eventLoad
}

// A VM with a fifth of a core is sent four hundred streams within half a
// second. None of them has started, so the events of their answers use no CPU
// time yet. The expected load must include these events.
func TestActiveStreamsCountBeforeTheyStart(t *testing.T) {
	e := New(0.2)
	for range 5 {
		for range 80 {
			e.AddRequest()
			e.StreamSent()
		}
		e.Observe(interval)
	}
	require.Less(t, e.recentLoad(), 1.3)
	require.Greater(t, e.ExpectedLoad(), 1.5)
	for range 400 {
		e.StreamEnded(false)
	}
	for range 30 {
		e.Observe(interval)
	}
	require.Less(t, e.ExpectedLoad(), 0.01)
}

// On full engines the events of a stream arrive more slowly, so the same number
// of streams needs less CPU time.
func TestEventRateIsLearned(t *testing.T) {
	expected := func(perStream int) float64 {
		e := New(0.5)
		for range 100 {
			e.StreamSent()
			e.StreamStarted()
		}
		for range 40 {
			for range 100 * perStream {
				e.AddEvent()
			}
			e.Observe(interval)
		}
		require.InDelta(t, e.recentLoad(), e.ExpectedLoad(), 0.01)
		return e.ExpectedLoad()
	}
	require.InDelta(t, 0.05, expected(1), 0.01)
	require.InDelta(t, 0.25, expected(5), 0.01)
}

func TestRefusalsCountAsLoad(t *testing.T) {
	e := New(0.2)
	for range 40 {
		for range 100 {
			e.AddRefusal()
		}
		e.Observe(interval)
	}
	require.InDelta(t, 0.65, e.recentLoad(), 0.02)
}

func TestUnknownShareHasNoExpectedLoad(t *testing.T) {
	e := New(0)
	e.StreamSent()
	e.AddEvent()
	e.Observe(interval)
	require.Zero(t, e.ExpectedLoad())
	require.Zero(t, e.recentLoad())
}

func TestShedConnectionsCountAsLoad(t *testing.T) {
	e := New(0.2)
	for range 40 {
		for range 500 {
			e.AddShed()
		}
		e.Observe(interval)
	}
	require.InDelta(t, 500*shedCPUTime.Seconds()/(0.2*interval.Seconds()), e.recentLoad(), 0.02)
}

// Guards against a router that stays full because it turns callers away.
func TestTurningCallersAwayLeavesCapacity(t *testing.T) {
	e := New(0.2)
	for range 40 {
		for range 200 {
			e.AddRefusal()
			e.AddShed()
		}
		e.Observe(interval)
	}
	require.Greater(t, e.ExpectedLoad(), 1.0)
	require.Zero(t, e.ExpectedRelayLoad())
}
