package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/coordination/shares"
)

// Guards against a request that the router has read late and sends to an engine
// just before its caller leaves.
func TestRequestThatCannotEndInTimeIsRefused(t *testing.T) {
	idle := placement.Estimate{ProcessingTime: 200 * time.Millisecond, StreamTime: 2 * time.Second, UnderHalfFull: true}
	request := Request{Work: placement.Work{Prompt: []prefix.Part{{ID: 1, Tokens: 600}}, TargetLatency: time.Second}}
	for _, c := range []struct {
		timeout  time.Duration
		admitted bool
	}{{4 * time.Second, true}, {1300 * time.Millisecond, true}, {time.Second, false}, {100 * time.Millisecond, false}} {
		request.Timeout = c.timeout
		verdict := Decide(request, idle, true, shares.Standing{}, 0)
		require.Equal(t, c.admitted, verdict.IsAdmitted(), c.timeout)
	}
	request.MayHaveRun = true
	require.True(t, Decide(request, idle, true, shares.Standing{}, 0).IsAdmitted(), "a request that may have run is not refused")
}
