package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// onset returns a load of two workspaces beyond their shares, beside ten others: one
// asks steadily, the other begins to ask times as often in the middle.
func onset(times float64, routers int) []arrival {
	const (
		larger  = 1 << 20
		smaller = 2 << 20
		usual   = 80
	)
	draw := rand.New(rand.NewPCG(11, 1))
	load := merge(
		guides(draw, 0, onsetTime, usual, even(draw)),
		notes(draw, 0, onsetTime, 2*usual, even(draw)),
		on(guides(draw, onsetAt, onsetTime, usual*times, only("larger")), larger),
		on(notes(draw, onsetAt, onsetTime, 2*usual*times, only("larger")), larger),
		on(guides(draw, 0, onsetTime, usual, only("smaller")), smaller),
		on(notes(draw, 0, onsetTime, 2*usual, only("smaller")), smaller),
	)
	for i := range load {
		load[i].router = draw.IntN(routers)
	}
	return load
}

const (
	onsetAt   = 5 * time.Second
	onsetTime = 16 * time.Second
)

// Guards against workspaces that are served and locked out by turns after a flood
// began that all routers admitted before they heard of each other.
func TestOnsetOfAFloodLocksNobodyOut(t *testing.T) {
	const (
		routers    = 24
		statedPart = 0.3
	)
	for _, c := range []struct {
		name  string
		times float64
		delay time.Duration
	}{
		{"three times as many requests", 3, 250 * time.Millisecond},
		{"six times as many requests", 6, 250 * time.Millisecond},
		{"six times as many, older news", 6, 500 * time.Millisecond},
		{"twelve times as many requests", 12, 250 * time.Millisecond},
		{"twelve times as many, older news", 12, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(routers, replayEngines, 11)
			s.spendingDelay = c.delay
			s.throughput = statedPart * readRate * replayEngines
			results := s.run(onset(c.times, routers))
			smaller := leastPart(results, onsetAt, onsetTime, "smaller", "larger")
			larger := leastPart(results, onsetAt+time.Second, onsetTime, "larger", "smaller")
			used := usedPart(results, onsetAt, onsetTime)
			t.Logf("least parts %.2f and %.2f, %.2f of the reading rate used", smaller, larger, used)
			require.Greater(t, smaller, 0.5)
			require.Greater(t, larger, 0.5)
			require.Greater(t, used, 0.5)
		})
	}
}
