package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that gets more connections than it can read and
// forwards requests seconds late.
func TestReadDelayOfAFloodedRouter(t *testing.T) {
	var e ReadDelayEstimator
	now := time.Unix(1000, 0)
	for i := range 300 {
		e.Record(now.Add(time.Duration(i)*time.Second/300), time.Duration(i)*time.Second/300*7/10)
	}
	require.InDelta(t, 0.7, e.ReadDelay(now.Add(time.Second)).Seconds(), 0.05)
}

// Callers that open connections early must not make the router appear slow to
// read.
func TestSlowCallersDoNotCountAsReadDelay(t *testing.T) {
	var e ReadDelayEstimator
	now := time.Unix(1000, 0)
	for range 2 * readDelaySamples {
		e.Record(now, 3*time.Second)
	}
	e.Record(now, time.Millisecond)
	require.Equal(t, time.Millisecond, e.ReadDelay(now))
}

func TestReadDelayExpires(t *testing.T) {
	var e ReadDelayEstimator
	now := time.Unix(1000, 0)
	require.Zero(t, e.ReadDelay(now))
	for range readDelaySamples - 1 {
		e.Record(now, time.Second)
	}
	require.Zero(t, e.ReadDelay(now), "too few samples")
	e.Record(now, time.Second)
	require.Equal(t, time.Second, e.ReadDelay(now))
	require.Zero(t, e.ReadDelay(now.Add(readDelaySampleExpiry+1)))
}
