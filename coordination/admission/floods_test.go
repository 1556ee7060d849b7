package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// judged is the time over which workspaces are compared.
const judged = 6 * time.Second

// leastPart returns the least part that a workspace got, over any six seconds
// between two times, of what another did.
func leastPart(results []outcome, from, to time.Duration, of, than state.Workspace) float64 {
	least := 1.0
	for ; from+judged <= to; from += time.Second {
		got := make(map[state.Workspace]int)
		for _, o := range results {
			if o.verdict.Admit() && o.at >= from && o.at < from+judged {
				got[o.workspace] += o.own
			}
		}
		least = min(least, float64(got[of])/float64(max(got[than], 1)))
	}
	return least
}

// among sends a load through the first routers only.
func among(load []arrival, routers int) []arrival {
	for i := range load {
		load[i].router %= routers
	}
	return load
}

// usedPart is the part of the engines' reading rate that was used over a time.
func usedPart(results []outcome, from, to time.Duration) float64 {
	served := 0
	for _, o := range results {
		if o.verdict.Admit() && o.at >= from && o.at < to {
			served += o.own
		}
	}
	return float64(served) / (readRate * replayEngines * (to - from).Seconds())
}

// Guards against engines' idle time going to the workspace that asks most often.
func TestFloodsGetEqualPartsOfIdleEngines(t *testing.T) {
	for _, c := range []struct {
		name           string
		larger         float64
		callersRouters int
	}{
		{"three times as many requests", 3, replayRouters},
		{"six times as many requests", 6, replayRouters},
		{"callers of the smaller at two routers", 3, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			draw := rand.New(rand.NewPCG(11, 1))
			load := merge(
				guides(draw, 0, replayTime, 30, even(draw)),
				notes(draw, 0, replayTime, 60, even(draw)),
				guides(draw, 0, replayTime, 80*c.larger, only("larger")),
				notes(draw, 0, replayTime, 150*c.larger, only("larger")),
				among(guides(draw, 0, replayTime, 80, only("smaller")), c.callersRouters),
				among(notes(draw, 0, replayTime, 150, only("smaller")), c.callersRouters),
			)
			results := newSimulation(replayRouters, replayEngines, 11).run(load)
			part := leastPart(results, 4*time.Second, replayTime, "smaller", "larger")
			used := usedPart(results, 4*time.Second, replayTime)
			t.Logf("least part %.2f, %.2f of the reading rate used", part, used)
			require.Greater(t, part, 0.5)
			require.Greater(t, used, 0.6)
		})
	}
}
