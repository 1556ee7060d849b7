package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// Guards against first requests that count as late because callers' timeouts
// differ.
func TestElapsedCountsOnlyRefusedRequests(t *testing.T) {
	var here, neighbour RetryTracker
	now := epoch
	require.Zero(t, here.Elapsed(now, 1))
	here.RecordRefusal(now, 1, 0)
	neighbour.ReceiveRefusals(now.Add(100*time.Millisecond), here.TakeUnannounced())
	now = now.Add(400 * time.Millisecond)
	require.Equal(t, 400*time.Millisecond, here.Elapsed(now, 1))
	require.Equal(t, 300*time.Millisecond, neighbour.Elapsed(now, 1), "callers may retry at any router of the data centre")
	require.Zero(t, neighbour.Elapsed(now, 2))

	neighbour.RecordRefusal(now, 1, neighbour.Elapsed(now, 1))
	now = now.Add(time.Second)
	require.Equal(t, 1300*time.Millisecond, neighbour.Elapsed(now, 1), "elapsed time counts from the first attempt")
	neighbour.ReceiveRefusals(now, []uint32{refusalKey(1)})
	require.Equal(t, 1300*time.Millisecond, neighbour.Elapsed(now, 1))
}

func TestRefusalsExpire(t *testing.T) {
	var r RetryTracker
	r.RecordRefusal(epoch, 1, 0)
	r.RecordRefusal(epoch.Add(refusalMemory+time.Second), 2, 0)
	require.NotZero(t, r.Elapsed(epoch.Add(refusalMemory+time.Second), 1))
	r.RecordRefusal(epoch.Add(2*refusalMemory+3*time.Second), 3, 0)
	require.Zero(t, r.Elapsed(epoch.Add(2*refusalMemory+3*time.Second), 1))
}

// Guards against a flood of refusals that uses up the router's memory or the
// bandwidth of its peer links.
func TestRememberedRefusalsAreBounded(t *testing.T) {
	var r RetryTracker
	for i := range 3 * maxRememberedRefusals {
		r.RecordRefusal(epoch, state.Fingerprint(i), 0)
	}
	require.Len(t, r.recent, maxRememberedRefusals)
	require.Len(t, r.TakeUnannounced(), maxAnnouncedRefusals)
	require.Empty(t, r.TakeUnannounced())
}
