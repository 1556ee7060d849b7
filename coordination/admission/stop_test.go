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
func TestStoppingRouterRefusesWhatMayOutlastIt(t *testing.T) {
	estimate := placement.Estimate{Own: 100 * time.Millisecond, Stream: 3 * time.Second, Free: true}
	request := Request{Work: placement.Work{Target: time.Second}, Timeout: 15 * time.Second, Remaining: 5 * time.Second}
	decide := func(r Request, e placement.Estimate) Verdict { return Decide(r, e, true, shares.Standing{}, 0) }

	refused := decide(request, estimate)
	require.Equal(t, Stopping, refused.Reason)
	require.Equal(t, ElsewhereRetry, refused.RetryAfter)

	short := estimate
	short.Stream = 2 * time.Second
	require.True(t, decide(request, short).Admit())

	begun := request
	begun.Begun = true
	require.True(t, decide(begun, estimate).Admit())

	limited := request
	limited.Output, limited.MaxOutput = 300, 400
	require.True(t, decide(limited, estimate).Admit(), "its caller takes no more than four seconds of it")

	hasty := request
	hasty.Timeout = 4 * time.Second
	require.True(t, decide(hasty, estimate).Admit(), "its caller is gone before the router")

	waiting := estimate
	waiting.Free, waiting.Wait = false, 6*time.Second
	require.Equal(t, Overload, decide(request, waiting).Reason, "it would be refused anywhere")

	running := request
	running.Remaining = 0
	require.True(t, decide(running, estimate).Admit(), "the router was not told to stop")
}
