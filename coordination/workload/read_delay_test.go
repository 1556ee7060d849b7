package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that gets more connections than it can read and
// forwards requests seconds late.
func TestReadDelayOfAFloodedRouter(t *testing.T) {
	var l ReadDelayEstimator
	now := time.Unix(1000, 0)
	for i := range 300 {
		l.Record(now.Add(time.Duration(i)*time.Second/300), time.Duration(i)*time.Second/300*7/10)
	}
	require.InDelta(t, 0.7, l.ReadDelay(now.Add(time.Second)).Seconds(), 0.05)
}

// Callers that open connections early must not make the router appear slow to
// read.
func TestSlowCallersDoNotCountAsReadDelay(t *testing.T) {
	var l ReadDelayEstimator
	now := time.Unix(1000, 0)
	for range 2 * readDelaySamples {
		l.Record(now, 3*time.Second)
	}
	l.Record(now, time.Millisecond)
	require.Equal(t, time.Millisecond, l.ReadDelay(now))
}

func TestReadDelayExpires(t *testing.T) {
	var l ReadDelayEstimator
	now := time.Unix(1000, 0)
	require.Zero(t, l.ReadDelay(now))
	for range readDelaySamples - 1 {
		l.Record(now, time.Second)
	}
	require.Zero(t, l.ReadDelay(now), "too few samples")
	l.Record(now, time.Second)
	require.Equal(t, time.Second, l.ReadDelay(now))
	require.Zero(t, l.ReadDelay(now.Add(readDelaySampleExpiry+1)))
}
