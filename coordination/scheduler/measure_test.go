package scheduler

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// scenario is a load on a fleet of, by default, 8 routers, 24 engines, 160
// slots and 16 workspaces that always have more requests than they get served.
type scenario struct {
	name             string
	shares           func(i int) float64
	entryRouters     func(f *fleet, i int) []int
	backlog          func(i int) int
	cost             func(f *fleet, i int) time.Duration
	exchangeInterval time.Duration
	slowdown         float64
	// rareModelWorkspaces is the number of workspaces whose requests need a
	// model that only engines of the first data centre have loaded.
	rareModelWorkspaces int
	// bursts makes the workspaces with odd numbers send requests only from time
	// to time. The gap is then computed over the other workspaces.
	bursts bool
	// size is the size of the fleet. build creates a baseline instead of a
	// Scheduler.
	size  size
	build func(Peer, uint64) stepper
	// gapLimit is the upper bound of the largest gap, with headroom for other
	// seeds. It is zero for baselines, which have no bound.
	gapLimit float64
}

type size struct{ routers, engines, slots, workspaces int }

var defaultSize = size{8, 24, 160, 16}

func equalShares(int) float64                   { return 1.0 / 16 }
func defaultBacklog(int) int                    { return 60 }
func twoRandomRouters(f *fleet, _ int) []int    { return []int{f.rng.IntN(8), f.rng.IntN(8)} }
func defaultCost(f *fleet, _ int) time.Duration { return f.lognormal(4*time.Second, 1) }

func newScheduler(exchangeInterval time.Duration) func(Peer, uint64) stepper {
	return func(self Peer, seed uint64) stepper {
		return New(Options{Self: self, Seed: seed, ExchangeInterval: exchangeInterval})
	}
}

// metrics holds the largest and the mean gap of weighted service between two
// workspaces, in slot-seconds of a workspace of mean share, the fraction of the
// slots that was idle, and the number of messages per second and router.
type metrics struct{ maxGap, meanGap, idleFraction, messageRate float64 }

// measureScenario runs a scenario for ten minutes. Only the second half counts,
// because the cost estimates are still inaccurate in the first.
func measureScenario(sc scenario, seed uint64, build func(Peer, uint64) stepper) metrics {
	f := newFleet(sc.size.routers, sc.size.engines, sc.size.slots, seed, build)
	shares := map[state.Workspace]float64{}
	for i := range sc.size.workspaces {
		shares[workspaceName(i)] = sc.shares(i)
	}
	sc.startLoad(f, shares)
	f.run(5 * time.Minute)
	base := f.weightedService(shares)
	busy, messages := f.busySlotTime, f.messages
	var out metrics
	const samples = 300
	for range samples {
		f.run(time.Second)
		gap := gapSince(sc.permanentWorkspaces(f.weightedService(shares)), sc.permanentWorkspaces(base))
		out.maxGap = max(out.maxGap, gap)
		out.meanGap += gap / samples
	}
	out.idleFraction = 1 - (f.busySlotTime-busy).Seconds()/samples/float64(sc.size.slots)
	out.messageRate = float64(f.messages-messages) / samples / float64(sc.size.routers)
	return out
}

// startLoad starts the fleet and keeps the backlog of every workspace at its
// size.
func (sc scenario) startLoad(f *fleet, shares map[state.Workspace]float64) {
	index := map[state.Workspace]int{}
	entryRouters := make([][]int, sc.size.workspaces)
	for i := range entryRouters {
		index[workspaceName(i)] = i
		entryRouters[i] = sc.entryRouters(f, i)
	}
	f.cost = func(ws state.Workspace) time.Duration { return sc.cost(f, index[ws]) }
	f.engines[0].slowdown = cmp.Or(sc.slowdown, 1)
	for i, e := range f.engines {
		if sc.rareModelWorkspaces > 0 {
			e.models = [][]state.Model{{"common", "rare"}, {"common"}}[min(i%4, 1)]
			f.model = func(ws state.Workspace) state.Model {
				return []state.Model{"rare", "common"}[min(index[ws]/sc.rareModelWorkspaces, 1)]
			}
		}
	}
	f.start(f.settings(shares))
	f.run(time.Second)
	f.onEnd = func(j *job) {
		if !sc.bursts || index[j.ws]%2 == 0 {
			f.resubmit(j)
		}
	}
	for i := range entryRouters {
		fill := func() {
			for n := range sc.backlog(i) {
				f.submit(f.routers[entryRouters[i][n%len(entryRouters[i])]%len(f.routers)], workspaceName(i))
			}
		}
		if sc.bursts && i%2 == 1 {
			f.every(time.Duration(20+10*i)*time.Second, fill)
		} else {
			f.after(0, fill)
		}
	}
}

// weightedService returns the service that each workspace has received, divided
// by its share, in slot-seconds of a workspace of mean share.
func (f *fleet) weightedService(shares map[state.Workspace]float64) []float64 {
	out := make([]float64, len(shares))
	for i := range out {
		w := workspaceName(i)
		out[i] = f.served[w].Seconds() / shares[w] / float64(len(shares))
	}
	return out
}

// permanentWorkspaces removes the workspaces that send requests only from time
// to time.
func (sc scenario) permanentWorkspaces(served []float64) []float64 {
	if !sc.bursts {
		return served
	}
	var out []float64
	for i := 0; i < len(served); i += 2 {
		out = append(out, served[i])
	}
	return out
}

// gapSince returns the difference between the largest and the smallest growth
// of weighted service since base.
func gapSince(now, base []float64) float64 {
	minGrowth, maxGrowth := math.Inf(1), math.Inf(-1)
	for i := range now {
		minGrowth = min(minGrowth, now[i]-base[i])
		maxGrowth = max(maxGrowth, now[i]-base[i])
	}
	return maxGrowth - minGrowth
}

// bound evaluates the formula of package fairness in slot-seconds of a
// workspace of mean share, for requests of at most one minute.
func (sc scenario) bound() float64 {
	minShare := 1.0
	for i := range 16 {
		minShare = min(minShare, sc.shares(i))
	}
	const slots, largest, delay = 160, 60, 0.1
	inProgress := slots * largest / 16.0
	unexchanged := slots * (sc.exchangeInterval.Seconds() + delay)
	return 2 * (inProgress + (largest+unexchanged)/(minShare*16))
}

// TestFairnessAndUtilisation measures the gap of weighted service and the
// fraction of idle slots under workspaces that are always backlogged, and logs
// a table.
func TestFairnessAndUtilisation(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			build := sc.build
			if build == nil {
				build = newScheduler(sc.exchangeInterval)
			}
			var worst metrics
			for seed := range uint64(2) {
				m := measureScenario(sc, seed, build)
				worst.maxGap = max(worst.maxGap, m.maxGap)
				worst.meanGap = max(worst.meanGap, m.meanGap)
				worst.idleFraction = max(worst.idleFraction, m.idleFraction)
				worst.messageRate = max(worst.messageRate, m.messageRate)
			}
			t.Logf("%-30s largest gap %5.0f, mean gap %5.0f; idle fraction %.4f; %2.0f messages/s per router", sc.name, worst.maxGap, worst.meanGap, worst.idleFraction, worst.messageRate)
			if sc.gapLimit > 0 {
				require.Less(t, worst.maxGap, min(sc.gapLimit, sc.bound()))
				require.Less(t, worst.idleFraction, 0.001)
			}
		})
	}
}

func scenarios() []scenario {
	base := scenario{size: defaultSize, shares: equalShares, entryRouters: twoRandomRouters, backlog: defaultBacklog, cost: defaultCost, exchangeInterval: DefaultExchangeInterval}
	var all []scenario
	add := func(name string, gapLimit float64, change func(sc *scenario)) {
		sc := base
		sc.name = name
		sc.gapLimit = gapLimit
		change(&sc)
		all = append(all, sc)
	}
	withInterval := func(d time.Duration) func(*scenario) { return func(sc *scenario) { sc.exchangeInterval = d } }
	weights := func(sc *scenario) { sc.shares = func(i int) float64 { return float64(i+1) / 136 } }
	skew := func(sc *scenario) { sc.backlog = func(i int) int { return 60 + 900*max(0, 1-i) } }
	add("one router", 150, func(sc *scenario) { sc.size.routers = 1 })
	add("even, 0.25 s", 150, withInterval(time.Second/4))
	add("even, 1 s", 150, withInterval(time.Second))
	add("even, 2 s", 150, withInterval(2*time.Second))
	add("even, 5 s", 200, withInterval(5*time.Second))
	add("even, 10 s", 300, withInterval(10*time.Second))
	add("weights 1 to 16", 600, weights)
	add("skew 16:1", 150, skew)
	add("one router per workspace", 150, func(sc *scenario) { sc.entryRouters = func(f *fleet, _ int) []int { return []int{f.rng.IntN(8)} } })
	add("all on one router", 150, func(sc *scenario) { sc.entryRouters = func(*fleet, int) []int { return []int{3} } })
	add("flood at all routers", 200, func(sc *scenario) {
		sc.backlog = func(i int) int { return 60 + 4000*max(0, 1-i) }
		sc.entryRouters = func(f *fleet, i int) []int {
			if i == 0 {
				return []int{0, 1, 2, 3, 4, 5, 6, 7}
			}
			return []int{f.rng.IntN(8)}
		}
	})
	add("long and short requests", 150, func(sc *scenario) {
		sc.cost = func(f *fleet, i int) time.Duration {
			return f.lognormal([]time.Duration{time.Second / 2, 10 * time.Second}[i%2], 0.5)
		}
	})
	add("costs hard to estimate", 400, func(sc *scenario) {
		sc.cost = func(f *fleet, _ int) time.Duration {
			return []time.Duration{time.Second, 40 * time.Second}[max(0, 1-f.rng.IntN(10))]
		}
	})
	add("one slow engine", 250, func(sc *scenario) { sc.slowdown = 4 })
	add("model in one data centre", 200, func(sc *scenario) { sc.rareModelWorkspaces = 4 })
	add("model in one data centre, 5 s", 200, func(sc *scenario) { sc.rareModelWorkspaces = 4; sc.exchangeInterval = 5 * time.Second })
	add("half send in bursts", 150, func(sc *scenario) { sc.bursts = true })
	add("round robin, even", 0, func(sc *scenario) { sc.build = newRoundRobin })
	add("round robin, skew 16:1", 0, func(sc *scenario) { sc.build = newRoundRobin; skew(sc) })
	add("fair per router, even", 0, func(sc *scenario) { sc.build = newIsolatedScheduler })
	return all
}

// TestWorkDoesNotWaitBesideFreeSlots measures the waiting time of requests at
// loads below and near the capacity of the engines, for long requests and for
// requests so short that the delay of messages matters.
func TestWorkDoesNotWaitBesideFreeSlots(t *testing.T) {
	for name, c := range map[string]struct {
		engines, slots int
		median, mean   float64
		load           float64
		p99            time.Duration
	}{
		"long requests at load 0.7":  {24, 160, 4, 6.3, 0.7, 20 * time.Millisecond},
		"long requests at load 0.9":  {24, 160, 4, 6.3, 0.9, 100 * time.Millisecond},
		"short requests at load 0.7": {4, 32, 0.02, 0.033, 0.7, 30 * time.Millisecond},
		"short requests at load 0.9": {4, 32, 0.02, 0.033, 0.9, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(8, c.engines, c.slots, 1, newScheduler(time.Second))
			shares := map[state.Workspace]float64{}
			for i := range 16 {
				shares[workspaceName(i)] = 1.0 / 16
			}
			f.cost = func(state.Workspace) time.Duration {
				return f.lognormal(time.Duration(c.median*float64(time.Second)), 1)
			}
			f.start(f.settings(shares))
			f.run(2 * time.Second)
			requests := 0
			var arrive func()
			arrive = func() {
				requests++
				f.submit(f.routers[f.rng.IntN(8)], workspaceName(f.rng.IntN(16)))
				interval := f.rng.ExpFloat64() * c.mean / c.load / float64(c.slots)
				f.after(time.Duration(interval*float64(time.Second)), arrive)
			}
			arrive()
			f.run(time.Minute)
			var waits []time.Duration
			for _, w := range f.waits {
				waits = append(waits, w...)
			}
			slices.Sort(waits)
			p99 := waits[len(waits)*99/100]
			t.Logf("%s: wait p50 %v p99 %v, %.1f messages per request", name, waits[len(waits)/2], p99, float64(f.messages)/float64(requests))
			require.Less(t, p99, c.p99)
		})
	}
}

// BenchmarkLargeFleet measures a fleet of 32 routers, 2,560 slots and 120
// workspaces.
func BenchmarkLargeFleet(b *testing.B) {
	for _, interval := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
		b.Run(interval.String(), func(b *testing.B) {
			sc := scenario{
				size: size{32, 384, 2560, 120}, shares: func(int) float64 { return 1.0 / 120 }, cost: defaultCost, exchangeInterval: interval,
				entryRouters: func(f *fleet, _ int) []int { return []int{f.rng.IntN(32), f.rng.IntN(32)} },
				backlog:      func(int) int { return 80 },
			}
			for range b.N {
				m := measureScenario(sc, 1, newScheduler(interval))
				b.ReportMetric(m.maxGap, "slot-s/gap")
				b.ReportMetric(m.idleFraction, "idle")
				b.ReportMetric(m.messageRate, "msg/s/router")
			}
		})
	}
}
