package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stay has a router be busy for some rounds and calm until it is ready again,
// and returns how long it was away.
func stay(p *pressure) time.Duration {
	load(p, 0.7)
	away := 60 * scanEvery
	for !p.welcomes() {
		p.observe(0, scanEvery)
		away += scanEvery
	}
	return away
}

// A small router was flooded by the same callers every other second.
func TestFloodedRouterStaysAwayLonger(t *testing.T) {
	p := newPressure(0, smallVM, frozen)
	require.True(t, p.welcomes())
	for _, want := range []time.Duration{minAway, 2 * minAway, maxAway, maxAway} {
		_ = stay(p)
		require.Equal(t, want, p.away.length)
	}
}

// A router that served for a while since its last flood begins anew.
func TestCalmForgetsFloods(t *testing.T) {
	p := newPressure(0, smallVM, frozen)
	_, _ = stay(p), stay(p)
	require.Equal(t, 2*minAway, p.away.length)
	for range int(relapseWithin/scanEvery) + 1 {
		p.observe(0, scanEvery)
	}
	require.LessOrEqual(t, stay(p), 60*scanEvery+minAway)
	require.Equal(t, minAway, p.away.length)
}
