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
// between two times, of what it asked or another got, whichever is less.
func leastPart(results []outcome, from, to time.Duration, of, than state.Workspace) float64 {
	least := 1.0
	for ; from+judged <= to; from += time.Second {
		asked, got := make(map[state.Workspace]int), make(map[state.Workspace]int)
		for _, o := range results {
			if o.at < from || o.at >= from+judged {
				continue
			}
			asked[o.workspace] += o.own
			if o.verdict.Admit() {
				got[o.workspace] += o.own
			}
		}
		least = min(least, float64(got[of])/float64(max(min(asked[of], got[than]), 1)))
	}
	return least
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

// mixed are guides and twice as many notes.
func mixed(draw *rand.Rand, from, to time.Duration, perSecond float64, workspace func() state.Workspace) []arrival {
	return merge(guides(draw, from, to, perSecond, workspace), notes(draw, from, to, 2*perSecond, workspace))
}

// on gives a load subjects of its own.
func on(load []arrival, first uint64) []arrival {
	for i := range load {
		load[i].subject += first
	}
	return load
}

// floods returns a load of one workspace that asks times as often as another, beside
// ten that ask for more than half of what the fleet states.
func floods(times float64, routers, smallerRouters int) []arrival {
	const (
		larger  = 1 << 20
		smaller = 2 << 20
		usual   = 80
	)
	draw := rand.New(rand.NewPCG(11, 1))
	load := merge(
		mixed(draw, 0, replayTime, usual, even(draw)),
		on(mixed(draw, 0, replayTime, usual*times, only("larger")), larger),
		on(mixed(draw, 0, replayTime, usual, only("smaller")), smaller),
	)
	for i := range load {
		load[i].router = draw.IntN(routers)
		if load[i].workspace == "smaller" {
			load[i].router %= smallerRouters
		}
	}
	return load
}

// requireEqualParts replays floods and requires that the smaller gets half of what
// the larger does, and that engines are used beyond the stated rate.
func requireEqualParts(t *testing.T, s *simulation, load []arrival) {
	t.Helper()
	const statedPart = 0.3
	s.throughput = statedPart * readRate * replayEngines
	results := s.run(load)
	part := leastPart(results, 4*time.Second, replayTime, "smaller", "larger")
	used := usedPart(results, 4*time.Second, replayTime)
	t.Logf("least part %.2f, %.2f of the reading rate used", part, used)
	require.Greater(t, part, 0.5)
	require.Greater(t, used, 0.5, "what is beyond the stated rate is used")
}

// Guards against engines' idle time going to the workspace that asks most often.
func TestFloodsGetEqualPartsOfIdleEngines(t *testing.T) {
	for _, c := range []struct {
		name           string
		times          float64
		smallerRouters int
	}{
		{"four times as many requests", 4, replayRouters},
		{"eight times as many requests", 8, replayRouters},
		{"four times as many, the smaller at one router", 4, 1},
		{"eight times as many, the smaller at one router", 8, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			requireEqualParts(t, newSimulation(replayRouters, replayEngines, 11), floods(c.times, replayRouters, c.smallerRouters))
		})
	}
}

// Guards against many routers that all admit a flood until they hear that the
// others did, and then all refuse it.
func TestFloodsGetEqualPartsOnOldNews(t *testing.T) {
	const routers = 24
	for _, c := range []struct {
		name           string
		times          float64
		smallerRouters int
	}{
		{"three times as many requests", 3, routers},
		{"six times as many requests", 6, routers},
		{"three times as many, the smaller at two routers", 3, 2},
		{"six times as many, the smaller at two routers", 6, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(routers, replayEngines, 11)
			s.spendingDelay = 500 * time.Millisecond
			requireEqualParts(t, s, floods(c.times, routers, c.smallerRouters))
		})
	}
}
