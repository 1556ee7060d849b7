package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
)

// A router that stops has five seconds left, and an engine that would answer at
// once. A stream that is expected to take three seconds may well take six: it
// goes to another router. One that may have run already goes on here, as no
// other router could begin it.
func TestStoppingRouterRefusesRequestsThatMayOutlastIt(t *testing.T) {
	estimate := placement.Estimate{ProcessingTime: 100 * time.Millisecond, StreamTime: 3 * time.Second, UnderHalfFull: true}
	request := Request{Work: placement.Work{TargetLatency: time.Second}, Timeout: 15 * time.Second, RouterRemaining: 5 * time.Second}
	decide := func(r Request, e placement.Estimate) Verdict { return Decide(r, e, true, shares.Standing{}, 0) }

	refused := decide(request, estimate)
	require.Equal(t, Stopping, refused.Reason)
	require.Equal(t, OtherRouterRetryAfter, refused.RetryAfter)

	short := estimate
	short.StreamTime = 2 * time.Second
	require.True(t, decide(request, short).IsAdmitted())

	begun := request
	begun.MayHaveRun = true
	require.True(t, decide(begun, estimate).IsAdmitted())

	limited := request
	limited.ExpectedOutputTokens, limited.MaxOutputTokens = 300, 400
	require.True(t, decide(limited, estimate).IsAdmitted(), "its caller takes no more than four seconds of it")

	impatient := request
	impatient.Timeout = 4 * time.Second
	require.True(t, decide(impatient, estimate).IsAdmitted(), "its caller is gone before the router")

	waiting := estimate
	waiting.UnderHalfFull, waiting.WaitTime = false, 6*time.Second
	require.Equal(t, Overload, decide(request, waiting).Reason, "it would be refused anywhere")

	running := request
	running.RouterRemaining = 0
	require.True(t, decide(running, estimate).IsAdmitted(), "the router was not told to stop")
}
