package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// comparisonWindow is the length of the window over which the service of
// workspaces is compared.
const comparisonWindow = 6 * time.Second

// minServedRatio returns the lowest ratio, over all six-second windows between
// two times, of the tokens served for one workspace to the tokens that it
// requested or that another workspace was served, whichever is less.
func minServedRatio(results []outcome, from, to time.Duration, subject, reference state.Workspace) float64 {
	minRatio := 1.0
	for ; from+comparisonWindow <= to; from += time.Second {
		requested, served := make(map[state.Workspace]int), make(map[state.Workspace]int)
		for _, o := range results {
			if o.at < from || o.at >= from+comparisonWindow {
				continue
			}
			requested[o.workspace] += o.ownTokens
			if o.verdict.IsAdmitted() {
				served[o.workspace] += o.ownTokens
			}
		}
		minRatio = min(minRatio, float64(served[subject])/float64(max(min(requested[subject], served[reference]), 1)))
	}
	return minRatio
}

// usedPrefillFraction returns the fraction of the engines' prefill capacity
// that was used between two times.
func usedPrefillFraction(results []outcome, from, to time.Duration) float64 {
	served := 0
	for _, o := range results {
		if o.verdict.IsAdmitted() && o.at >= from && o.at < to {
			served += o.ownTokens
		}
	}
	return float64(served) / (prefillRate * replayEngines * (to - from).Seconds())
}

// mixedLoad returns long requests and twice as many short ones.
func mixedLoad(rng *rand.Rand, from, to time.Duration, perSecond float64, workspace func() state.Workspace) []arrival {
	return mergeLoads(longRequests(rng, from, to, perSecond, workspace), shortRequests(rng, from, to, 2*perSecond, workspace))
}

// withPrefixOffset shifts the prefix IDs of a load so that it shares no
// prefixes with others.
func withPrefixOffset(load []arrival, offset uint64) []arrival {
	for i := range load {
		load[i].prefixID += offset
	}
	return load
}

// floodLoad returns the load of one workspace that sends several times as many
// requests as another, beside ten workspaces that together request more than
// half of the fleet's stated throughput.
func floodLoad(times float64, routers, smallerRouters int) []arrival {
	const (
		larger    = 1 << 20
		smaller   = 2 << 20
		usualRate = 80
	)
	rng := rand.New(rand.NewPCG(11, 1))
	load := mergeLoads(
		mixedLoad(rng, 0, replayTime, usualRate, uniformWorkspace(rng)),
		withPrefixOffset(mixedLoad(rng, 0, replayTime, usualRate*times, singleWorkspace("larger")), larger),
		withPrefixOffset(mixedLoad(rng, 0, replayTime, usualRate, singleWorkspace("smaller")), smaller),
	)
	for i := range load {
		load[i].router = rng.IntN(routers)
		if load[i].workspace == "smaller" {
			load[i].router %= smallerRouters
		}
	}
	return load
}

// requireComparableService replays a flood. It requires that the smaller
// workspace is served more than half as much as the larger one, and that the
// engines are used beyond the stated throughput.
func requireComparableService(t *testing.T, s *simulation, load []arrival) {
	t.Helper()
	const statedFraction = 0.3
	s.throughput = statedFraction * prefillRate * replayEngines
	results := s.run(load)
	ratio := minServedRatio(results, 4*time.Second, replayTime, "smaller", "larger")
	used := usedPrefillFraction(results, 4*time.Second, replayTime)
	t.Logf("lowest served ratio %.2f, %.2f of the prefill rate used", ratio, used)
	require.Greater(t, ratio, 0.5)
	require.Greater(t, used, 0.5, "engines are used beyond the stated rate")
}

// Guards against the engines' idle time going to the workspace that sends most
// requests.
func TestFloodsShareIdleEnginesEqually(t *testing.T) {
	for _, c := range []struct {
		name           string
		times          float64
		smallerRouters int
	}{
		{"four times as many requests", 4, replayRouters},
		{"eight times as many requests", 8, replayRouters},
		{"four times as many, the smaller workspace at one router", 4, 1},
		{"eight times as many, the smaller workspace at one router", 8, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			requireComparableService(t, newSimulation(replayRouters, replayEngines, 11), floodLoad(c.times, replayRouters, c.smallerRouters))
		})
	}
}

// Guards against many routers that all admit a flood until each receives the
// usage of the others, and then all refuse it.
func TestFloodsShareEnginesEquallyWithStaleUsage(t *testing.T) {
	const routers = 24
	for _, c := range []struct {
		name           string
		times          float64
		smallerRouters int
	}{
		{"three times as many requests", 3, routers},
		{"six times as many requests", 6, routers},
		{"three times as many, the smaller workspace at two routers", 3, 2},
		{"six times as many, the smaller workspace at two routers", 6, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(routers, replayEngines, 11)
			s.usageDelay = 500 * time.Millisecond
			requireComparableService(t, s, floodLoad(c.times, routers, c.smallerRouters))
		})
	}
}
