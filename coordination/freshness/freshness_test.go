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

// A reader's claim names a newer configuration than the one held here. The held
// one must not count as the newest because of it, also not for what the store
// confirmed before; once the named one arrives, it does.
func TestConfirmationOfANewerRevisionConfirmsNothingHere(t *testing.T) {
	const limit = 2 * time.Second
	var tracker Tracker
	tracker.Held(Sighting{Revision: 5, At: start})
	tracker.Confirm(Sighting{Revision: 5, At: start})
	require.True(t, tracker.Status(after(time.Second), limit).Current)
	tracker.Seen(Sighting{Revision: 6, At: after(time.Second)})
	tracker.Confirm(Sighting{Revision: 6, Source: "r01", At: after(time.Second)})
	status := tracker.Status(after(time.Second), limit)
	require.False(t, status.Current)
	require.True(t, status.Behind)
	tracker.Held(Sighting{Revision: 6, At: after(2 * time.Second)})
	require.True(t, tracker.Status(after(3*time.Second), limit).Current)
	require.False(t, tracker.Status(after(3*time.Second+1), limit).Current)
}

// A confirmation that was delayed on its way arrives after a newer one. It must
// not count as new.
func TestOldConfirmationDoesNotReplaceANewerOne(t *testing.T) {
	var tracker Tracker
	tracker.Held(Sighting{Revision: 5, At: start})
	tracker.Confirm(Sighting{Revision: 5, At: after(time.Second)})
	tracker.Confirm(Sighting{Revision: 4, At: start})
	revision, at, ok := tracker.Confirmation()
	require.True(t, ok)
	require.EqualValues(t, 5, revision)
	require.Equal(t, after(time.Second), at)
}

// A peer confirms each of many revisions and none arrives. What waits for them
// must stay bounded.
func TestConfirmationsOfMissingRevisionsAreBounded(t *testing.T) {
	var tracker Tracker
	for i := range uint64(10 * maxUnheld) {
		tracker.Confirm(Sighting{Revision: i + 1, At: after(time.Duration(i))})
	}
	require.Len(t, tracker.unheld, maxUnheld)
	tracker.Held(Sighting{Revision: 10 * maxUnheld, At: after(time.Second)})
	require.Empty(t, tracker.unheld)
	require.True(t, tracker.Status(after(time.Second), time.Second).Current)
}
