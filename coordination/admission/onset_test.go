package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// floodOnset returns a load of two workspaces beyond their shares, beside ten others: one
// asks steadily, the other begins to ask times as often in the middle.
func floodOnset(times float64, routers int) []arrival {
	const (
		larger    = 1 << 20
		smaller   = 2 << 20
		usualRate = 80
	)
	rng := rand.New(rand.NewPCG(11, 1))
	load := mergeLoads(
		mixedLoad(rng, 0, onsetEnd, usualRate, uniformWorkspace(rng)),
		withPrefixOffset(mixedLoad(rng, onsetAt, onsetEnd, usualRate*times, singleWorkspace("larger")), larger),
		withPrefixOffset(mixedLoad(rng, 0, onsetEnd, usualRate, singleWorkspace("smaller")), smaller),
	)
	for i := range load {
		load[i].router = rng.IntN(routers)
	}
	return load
}

const (
	onsetAt  = 5 * time.Second
	onsetEnd = 16 * time.Second
)

// Guards against workspaces that are served and locked out by turns after a flood
// began that all routers admitted before they heard of each other.
func TestOnsetOfAFloodLocksNobodyOut(t *testing.T) {
	const (
		routers        = 24
		statedFraction = 0.3
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
			s.usageDelay = c.delay
			s.throughput = statedFraction * prefillRate * replayEngines
			results := s.run(floodOnset(c.times, routers))
			smaller := minServedRatio(results, onsetAt, onsetEnd, "smaller", "larger")
			larger := minServedRatio(results, onsetAt+time.Second, onsetEnd, "larger", "smaller")
			used := usedPrefillFraction(results, onsetAt, onsetEnd)
			t.Logf("least parts %.2f and %.2f, %.2f of the reading rate used", smaller, larger, used)
			require.Greater(t, smaller, 0.5)
			require.Greater(t, larger, 0.5)
			require.Greater(t, used, 0.5)
		})
	}
}

// movingFlood returns a load of a workspace that asks for times the usual, whose callers
// meet one router at a time, beside ten others at all of them.
func movingFlood(times float64, routers int) []arrival {
	const (
		mover     = 1 << 20
		usualRate = 80
		stayTime  = 2 * time.Second
	)
	rng := rand.New(rand.NewPCG(11, 1))
	load := mergeLoads(
		mixedLoad(rng, 0, onsetEnd, usualRate, uniformWorkspace(rng)),
		withPrefixOffset(mixedLoad(rng, 0, onsetEnd, usualRate*times, singleWorkspace("mover")), mover),
	)
	for i := range load {
		load[i].router = rng.IntN(routers)
		if load[i].workspace == "mover" {
			load[i].router = int(load[i].at/stayTime) % routers
		}
	}
	return load
}

// Guards against a flood that is refused at each router it comes to because it is
// new there.
func TestFloodMovingBetweenRoutersIsServed(t *testing.T) {
	const (
		routers        = 24
		statedFraction = 0.3
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
			s.usageDelay = 250 * time.Millisecond
			s.throughput = statedFraction * prefillRate * replayEngines
			results := s.run(movingFlood(c.times, routers))
			ratio := ratioToBestServed(results, "mover", 4*time.Second)
			t.Logf("%.2f of what the best served other one got", ratio)
			require.Greater(t, ratio, 0.5)
		})
	}
}

// ratioToBestServed returns what a workspace got after a time, over what the best
// served other one did.
func ratioToBestServed(results []outcome, of state.Workspace, from time.Duration) float64 {
	served := make(map[state.Workspace]int)
	for _, o := range results {
		if o.at >= from && o.verdict.IsAdmitted() {
			served[o.workspace] += o.ownTokens
		}
	}
	best := 1
	for ws, n := range served {
		if ws != of {
			best = max(best, n)
		}
	}
	return float64(served[of]) / float64(best)
}
