package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// floodOnset returns a load of two workspaces beyond their shares, beside ten
// others. One of the two sends at a steady rate, the other starts at onsetAt to
// send several times as many requests.
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

// Guards against a flood that all routers admit before they receive each
// other's usage: its workspaces were then served and locked out in turns.
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
		{"six times as many, older usage", 6, 500 * time.Millisecond},
		{"twelve times as many requests", 12, 250 * time.Millisecond},
		{"twelve times as many, older usage", 12, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(routers, replayEngines, 11)
			s.usageDelay = c.delay
			s.throughput = statedFraction * prefillRate * replayEngines
			results := s.run(floodOnset(c.times, routers))
			smaller := minServedRatio(results, onsetAt, onsetEnd, "smaller", "larger")
			larger := minServedRatio(results, onsetAt+time.Second, onsetEnd, "larger", "smaller")
			used := usedPrefillFraction(results, onsetAt, onsetEnd)
			t.Logf("lowest served ratios %.2f and %.2f, %.2f of the prefill rate used", smaller, larger, used)
			require.Greater(t, smaller, 0.5)
			require.Greater(t, larger, 0.5)
			require.Greater(t, used, 0.5)
		})
	}
}

// movingFlood returns the load of a workspace that sends several times the
// usual rate and whose callers reach one router at a time, beside ten
// workspaces that use all routers.
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

// Guards against a flood that is refused at each router it moves to because the
// router has not seen it before.
func TestFloodMovingBetweenRoutersIsServed(t *testing.T) {
	const (
		routers        = 24
		statedFraction = 0.3
		// share is approximately the fair share of one workspace, as a fraction
		// of the usual load of ten.
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
			t.Logf("served %.2f of the tokens of the best served other workspace", ratio)
			require.Greater(t, ratio, 0.5)
		})
	}
}

// ratioToBestServed returns the tokens that a workspace was served after a
// given time, divided by those of the best served other workspace.
func ratioToBestServed(results []outcome, subject state.Workspace, from time.Duration) float64 {
	served := make(map[state.Workspace]int)
	for _, o := range results {
		if o.at >= from && o.verdict.IsAdmitted() {
			served[o.workspace] += o.ownTokens
		}
	}
	best := 1
	for ws, n := range served {
		if ws != subject {
			best = max(best, n)
		}
	}
	return float64(served[subject]) / float64(best)
}
