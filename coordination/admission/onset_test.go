package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
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
		mixed(draw, 0, onsetTime, usual, even(draw)),
		on(mixed(draw, onsetAt, onsetTime, usual*times, only("larger")), larger),
		on(mixed(draw, 0, onsetTime, usual, only("smaller")), smaller),
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

// moving returns a load of a workspace that asks for times the usual, whose callers
// meet one router at a time, beside ten others at all of them.
func moving(times float64, routers int) []arrival {
	const (
		mover = 1 << 20
		usual = 80
		stay  = 2 * time.Second
	)
	draw := rand.New(rand.NewPCG(11, 1))
	load := merge(
		mixed(draw, 0, onsetTime, usual, even(draw)),
		on(mixed(draw, 0, onsetTime, usual*times, only("mover")), mover),
	)
	for i := range load {
		load[i].router = draw.IntN(routers)
		if load[i].workspace == "mover" {
			load[i].router = int(load[i].at/stay) % routers
		}
	}
	return load
}

// Guards against a flood that is refused at each router it comes to because it is
// new there.
func TestFloodThatMovesIsNotLockedOut(t *testing.T) {
	const (
		routers    = 24
		statedPart = 0.3
		// share is the part of what ten workspaces ask for as usual that is one's
		// share, about.
		share = 0.1
	)
	for _, c := range []struct {
		name  string
		times float64
	}{
		{"four times its share", 4 * share},
		{"eight times its share", 8 * share},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(routers, replayEngines, 11)
			s.spendingDelay = 250 * time.Millisecond
			s.throughput = statedPart * readRate * replayEngines
			results := s.run(moving(c.times, routers))
			part := partOfBestServed(results, "mover", 4*time.Second)
			t.Logf("%.2f of what the best served other one got", part)
			require.Greater(t, part, 0.5)
		})
	}
}

// partOfBestServed returns what a workspace got after a time, over what the best
// served other one did.
func partOfBestServed(results []outcome, of state.Workspace, from time.Duration) float64 {
	got := make(map[state.Workspace]int)
	for _, o := range results {
		if o.at >= from && o.verdict.Admit() {
			got[o.workspace] += o.own
		}
	}
	best := 1
	for ws, n := range got {
		if ws != of {
			best = max(best, n)
		}
	}
	return float64(got[of]) / float64(best)
}
