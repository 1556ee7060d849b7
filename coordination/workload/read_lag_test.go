package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that gets more connections than it can read and
// forwards requests seconds late.
func TestReadLagOfAFloodedRouter(t *testing.T) {
	var l ReadLag
	now := time.Unix(1000, 0)
	for i := range 300 {
		l.Record(now.Add(time.Duration(i)*time.Second/300), time.Duration(i)*time.Second/300*7/10)
	}
	require.InDelta(t, 0.7, l.Lag(now.Add(time.Second)).Seconds(), 0.05)
}

// Callers that open connections early must not make the router appear slow to
// read.
func TestSlowCallersDoNotCountAsReadLag(t *testing.T) {
	var l ReadLag
	now := time.Unix(1000, 0)
	for range 2 * lagSamples {
		l.Record(now, 3*time.Second)
	}
	l.Record(now, time.Millisecond)
	require.Equal(t, time.Millisecond, l.Lag(now))
}

func TestReadLagExpires(t *testing.T) {
	var l ReadLag
	now := time.Unix(1000, 0)
	require.Zero(t, l.Lag(now))
	for range lagSamples - 1 {
		l.Record(now, time.Second)
	}
	require.Zero(t, l.Lag(now), "too few samples")
	l.Record(now, time.Second)
	require.Equal(t, time.Second, l.Lag(now))
	require.Zero(t, l.Lag(now.Add(lagSampleExpiry+1)))
}
