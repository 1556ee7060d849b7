package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
)

// A stopping router has five seconds left and an engine that would answer at
// once. A stream with an expected duration of three seconds may take six, so it
// is sent to another router. A request that may have run already is served
// here, because no other router could start it.
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

	mayHaveRun := request
	mayHaveRun.MayHaveRun = true
	require.True(t, decide(mayHaveRun, estimate).IsAdmitted())

	tokenLimited := request
	tokenLimited.ExpectedOutputTokens, tokenLimited.MaxOutputTokens = 300, 400
	require.True(t, decide(tokenLimited, estimate).IsAdmitted(), "the caller's token limit ends the stream after four seconds")

	impatient := request
	impatient.Timeout = 4 * time.Second
	require.True(t, decide(impatient, estimate).IsAdmitted(), "the caller's timeout ends before the router does")

	waiting := estimate
	waiting.UnderHalfFull, waiting.WaitTime = false, 6*time.Second
	require.Equal(t, Overload, decide(request, waiting).Reason, "any router would refuse it")

	running := request
	running.RouterRemaining = 0
	require.True(t, decide(running, estimate).IsAdmitted(), "the router was not ordered to stop")
}
