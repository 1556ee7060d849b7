package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloadUntilReady has a router be busy for some rounds and calm until it is ready again,
// and returns how long it was away.
func overloadUntilReady(p *pressure) time.Duration {
	applyLoad(p, 0.7)
	notReady := 60 * tickInterval
	for !p.acceptsNewCallers() {
		p.observe(0, tickInterval)
		notReady += tickInterval
	}
	return notReady
}

// A small router was flooded by the same callers every other second.
func TestNotReadyPeriodDoublesWhenOverloadRepeats(t *testing.T) {
	p := newPressure(0, smallVMCores, frozen)
	require.True(t, p.acceptsNewCallers())
	for _, want := range []time.Duration{minNotReady, 2 * minNotReady, maxNotReady, maxNotReady} {
		_ = overloadUntilReady(p)
		require.Equal(t, want, p.notReady.duration)
	}
}

// A router that served for a while since its last flood begins anew.
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
