package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloadUntilReady overloads a router for 60 ticks, removes the load and
// waits until the router is ready again. It returns the time from the first
// tick until then.
func overloadUntilReady(p *pressure) time.Duration {
	applyLoad(p, 0.7)
	notReady := 60 * tickInterval
	for !p.acceptsNewCallers() {
		p.observe(0, tickInterval)
		notReady += tickInterval
	}
	return notReady
}

// A small router was overloaded by the same callers every other second.
func TestNotReadyPeriodDoublesWhenOverloadRepeats(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	require.True(t, p.acceptsNewCallers())
	for _, want := range []time.Duration{minNotReady, 2 * minNotReady, maxNotReady, maxNotReady} {
		_ = overloadUntilReady(p)
		require.Equal(t, want, p.notReady.duration)
	}
}

// A router that stayed ready for backoffResetAfter since its last overload
// starts again with the shortest not-ready period.
func TestNotReadyPeriodResetsAfterQuietTime(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	_, _ = overloadUntilReady(p), overloadUntilReady(p)
	require.Equal(t, 2*minNotReady, p.notReady.duration)
	for range int(backoffResetAfter/tickInterval) + 1 {
		p.observe(0, tickInterval)
	}
	require.LessOrEqual(t, overloadUntilReady(p), 60*tickInterval+minNotReady)
	require.Equal(t, minNotReady, p.notReady.duration)
}
