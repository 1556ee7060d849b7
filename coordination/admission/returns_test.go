package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// Guards against first requests that count as late because callers' deadlines differ.
func TestOnlyRefusedRequestsHaveWaited(t *testing.T) {
	var here, neighbour Returns
	now := epoch
	require.Zero(t, here.Elapsed(now, 1))
	here.Refused(now, 1, 0)
	neighbour.Heard(now.Add(100*time.Millisecond), here.TakeRefused())
	now = now.Add(400 * time.Millisecond)
	require.Equal(t, 400*time.Millisecond, here.Elapsed(now, 1))
	require.Equal(t, 300*time.Millisecond, neighbour.Elapsed(now, 1), "callers come back to any router of the data centre")
	require.Zero(t, neighbour.Elapsed(now, 2))

	neighbour.Refused(now, 1, neighbour.Elapsed(now, 1))
	now = now.Add(time.Second)
	require.Equal(t, 1300*time.Millisecond, neighbour.Elapsed(now, 1), "counted from the first attempt")
	neighbour.Heard(now, []uint32{key(1)})
	require.Equal(t, 1300*time.Millisecond, neighbour.Elapsed(now, 1))
}

func TestRefusedRequestsAreForgotten(t *testing.T) {
	var r Returns
	r.Refused(epoch, 1, 0)
	r.Refused(epoch.Add(returnMemory+time.Second), 2, 0)
	require.NotZero(t, r.Elapsed(epoch.Add(returnMemory+time.Second), 1))
	r.Refused(epoch.Add(2*returnMemory+3*time.Second), 3, 0)
	require.Zero(t, r.Elapsed(epoch.Add(2*returnMemory+3*time.Second), 1))
}

// A flood of refusals must not take the router's memory, nor its peers' links.
func TestRememberedRefusalsAreBounded(t *testing.T) {
	var r Returns
	for i := range 3 * maxReturns {
		r.Refused(epoch, state.Fingerprint(i), 0)
	}
	require.Len(t, r.recent, maxReturns)
	require.Len(t, r.TakeRefused(), maxReturnsTold)
	require.Empty(t, r.TakeRefused())
}
