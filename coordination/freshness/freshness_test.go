package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// A peer reports a newer configuration that does not arrive. The router must
// report it once, with what it holds and from whom it knows of the other.
func TestMissingConfigurationIsReportedOnce(t *testing.T) {
	var tracker Tracker
	tracker.Held(Sighting{Revision: 5, Source: "store", At: start})
	tracker.Seen(Sighting{Revision: 7, Source: "r01", At: after(time.Second)})
	require.False(t, tracker.Lagging(after(time.Second+lagReportDelay-1)))
	require.True(t, tracker.Lagging(after(time.Second+lagReportDelay)))
	require.False(t, tracker.Lagging(after(time.Minute)))
	status := tracker.Status(after(time.Minute), time.Second)
	require.EqualValues(t, 5, status.Held.Revision)
	require.Equal(t, Sighting{Revision: 7, Source: "r01", At: after(time.Second)}, status.Newest)
	require.Equal(t, time.Minute, tracker.Held(Sighting{Revision: 7, Source: "r02", At: after(time.Minute + time.Second)}))
}
