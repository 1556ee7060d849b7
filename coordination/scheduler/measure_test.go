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

// scenario is one measured situation of 8 routers, 24 engines, 160 slots and 16
// workspaces that always have more work than they get.
type scenario struct {
	name             string
	shares           func(i int) float64
	entryRouters     func(f *fleet, i int) []int
	backlog          func(i int) int
	cost             func(f *fleet, i int) time.Duration
	exchangeInterval time.Duration
	slowdown         float64
	// rareModelWorkspaces workspaces need a model that only the first data centre holds.
	rareModelWorkspaces int
	// bursts makes odd workspaces come and go; the gap is that of the others.
	bursts bool
	// size of the fleet, if not the usual one; build makes a baseline in
	// place of a Scheduler.
	size  size
	build func(Peer, uint64) stepper
	// gapLimit holds the worst gap, with room for another seed; baselines have
	// none.
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

// metrics are the worst and mean gap of weighted service between two
// workspaces, in slot-seconds of a workspace of mean share, the part of the
// slots that idled, and messages per second and router.
type metrics struct{ maxGap, meanGap, idleFraction, messageRate float64 }

// measureScenario runs a load for ten minutes. Only the second half counts: in the
// first, costs are still being learned.
func measureScenario(l scenario, seed uint64, build func(Peer, uint64) stepper) metrics {
	f := newFleet(l.size.routers, l.size.engines, l.size.slots, seed, build)
	shares := map[state.Workspace]float64{}
	for i := range l.size.workspaces {
		shares[workspaceName(i)] = l.shares(i)
	}
	l.startLoad(f, shares)
	f.run(5 * time.Minute)
	base := f.weightedService(shares)
	busy, messages := f.busySlotTime, f.messages
	var out metrics
	const samples = 300
	for range samples {
		f.run(time.Second)
		gap := gapSince(l.permanentWorkspaces(f.weightedService(shares)), l.permanentWorkspaces(base))
		out.maxGap = max(out.maxGap, gap)
		out.meanGap += gap / samples
	}
	out.idleFraction = 1 - (f.busySlotTime-busy).Seconds()/samples/float64(l.size.slots)
	out.messageRate = float64(f.messages-messages) / samples / float64(l.size.routers)
	return out
}

// startLoad boots the fleet and keeps every workspace's backlog up.
func (l scenario) startLoad(f *fleet, shares map[state.Workspace]float64) {
	index := map[state.Workspace]int{}
	entryRouters := make([][]int, l.size.workspaces)
	for i := range entryRouters {
		index[workspaceName(i)] = i
		entryRouters[i] = l.entryRouters(f, i)
	}
	f.cost = func(ws state.Workspace) time.Duration { return l.cost(f, index[ws]) }
	f.engines[0].slowdown = cmp.Or(l.slowdown, 1)
	for i, e := range f.engines {
		if l.rareModelWorkspaces > 0 {
			e.models = [][]state.Model{{"common", "rare"}, {"common"}}[min(i%4, 1)]
			f.model = func(ws state.Workspace) state.Model {
				return []state.Model{"rare", "common"}[min(index[ws]/l.rareModelWorkspaces, 1)]
			}
		}
	}
	f.start(f.settings(shares))
	f.run(time.Second)
	f.onEnd = func(j *job) {
		if !l.bursts || index[j.ws]%2 == 0 {
			f.resubmit(j)
		}
	}
	for i := range entryRouters {
		fill := func() {
			for n := range l.backlog(i) {
				f.submit(f.routers[entryRouters[i][n%len(entryRouters[i])]%len(f.routers)], workspaceName(i))
			}
		}
		if l.bursts && i%2 == 1 {
			f.every(time.Duration(20+10*i)*time.Second, fill)
		} else {
			f.after(0, fill)
		}
	}
}

func (f *fleet) weightedService(shares map[state.Workspace]float64) []float64 {
	out := make([]float64, len(shares))
	for i := range out {
		w := workspaceName(i)
		out[i] = f.served[w].Seconds() / shares[w] / float64(len(shares))
	}
	return out
}

// permanentWorkspaces leaves out workspaces that come and go.
func (l scenario) permanentWorkspaces(served []float64) []float64 {
	if !l.bursts {
		return served
	}
	var out []float64
	for i := 0; i < len(served); i += 2 {
		out = append(out, served[i])
	}
	return out
}

func gapSince(now, base []float64) float64 {
	minGrowth, maxGrowth := math.Inf(1), math.Inf(-1)
	for i := range now {
		minGrowth = min(minGrowth, now[i]-base[i])
		maxGrowth = max(maxGrowth, now[i]-base[i])
	}
	return maxGrowth - minGrowth
}

// bound is the formula of package fairness in slot-seconds of a workspace of
// mean share, for requests of at most a minute.
func (l scenario) bound() float64 {
	minShare := 1.0
	for i := range 16 {
		minShare = min(minShare, l.shares(i))
	}
	const slots, largest, delay = 160, 60, 0.1
	inProgress := slots * largest / 16.0
	unexchanged := slots * (l.exchangeInterval.Seconds() + delay)
	return 2 * (inProgress + (largest+unexchanged)/(minShare*16))
}

// TestFairnessAndUtilisation measures the gap of weighted service and the busy
// slots of always backlogged workspaces, and logs a table.
func TestFairnessAndUtilisation(t *testing.T) {
	for _, l := range scenarios() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			build := l.build
			if build == nil {
				build = newScheduler(l.exchangeInterval)
			}
			var worst metrics
			for seed := range uint64(2) {
				m := measureScenario(l, seed, build)
				worst.maxGap = max(worst.maxGap, m.maxGap)
				worst.meanGap = max(worst.meanGap, m.meanGap)
				worst.idleFraction = max(worst.idleFraction, m.idleFraction)
				worst.messageRate = max(worst.messageRate, m.messageRate)
			}
			t.Logf("%-24s gap worst %5.0f, mean %5.0f; idle %.4f; %2.0f messages/s per router", l.name, worst.maxGap, worst.meanGap, worst.idleFraction, worst.messageRate)
			if l.gapLimit > 0 {
				require.Less(t, worst.maxGap, min(l.gapLimit, l.bound()))
				require.Less(t, worst.idleFraction, 0.001)
			}
		})
	}
}

func scenarios() []scenario {
	base := scenario{size: defaultSize, shares: equalShares, entryRouters: twoRandomRouters, backlog: defaultBacklog, cost: defaultCost, exchangeInterval: DefaultExchangeInterval}
	var all []scenario
	add := func(name string, limit float64, change func(l *scenario)) {
		l := base
		l.name = name
		l.gapLimit = limit
		change(&l)
		all = append(all, l)
	}
	withInterval := func(d time.Duration) func(*scenario) { return func(l *scenario) { l.exchangeInterval = d } }
	weights := func(l *scenario) { l.shares = func(i int) float64 { return float64(i+1) / 136 } }
	skew := func(l *scenario) { l.backlog = func(i int) int { return 60 + 900*max(0, 1-i) } }
	add("one router", 150, func(l *scenario) { l.size.routers = 1 })
	add("even, 0.25 s", 150, withInterval(time.Second/4))
	add("even, 1 s", 150, withInterval(time.Second))
	add("even, 2 s", 150, withInterval(2*time.Second))
	add("even, 5 s", 200, withInterval(5*time.Second))
	add("even, 10 s", 300, withInterval(10*time.Second))
	add("weights 1 to 16", 600, weights)
	add("skew 16:1", 150, skew)
	add("one router each", 150, func(l *scenario) { l.entryRouters = func(f *fleet, _ int) []int { return []int{f.rng.IntN(8)} } })
	add("all on one router", 150, func(l *scenario) { l.entryRouters = func(*fleet, int) []int { return []int{3} } })
	add("flood from everywhere", 200, func(l *scenario) {
		l.backlog = func(i int) int { return 60 + 4000*max(0, 1-i) }
		l.entryRouters = func(f *fleet, i int) []int {
			if i == 0 {
				return []int{0, 1, 2, 3, 4, 5, 6, 7}
			}
			return []int{f.rng.IntN(8)}
		}
	})
	add("long and short", 150, func(l *scenario) {
		l.cost = func(f *fleet, i int) time.Duration {
			return f.lognormal([]time.Duration{time.Second / 2, 10 * time.Second}[i%2], 0.5)
		}
	})
	add("misleading", 400, func(l *scenario) {
		l.cost = func(f *fleet, _ int) time.Duration {
			return []time.Duration{time.Second, 40 * time.Second}[max(0, 1-f.rng.IntN(10))]
		}
	})
	add("one slow engine", 250, func(l *scenario) { l.slowdown = 4 })
	add("model at one centre", 200, func(l *scenario) { l.rareModelWorkspaces = 4 })
	add("model at one centre, 5 s", 200, func(l *scenario) { l.rareModelWorkspaces = 4; l.exchangeInterval = 5 * time.Second })
	add("half come and go", 150, func(l *scenario) { l.bursts = true })
	add("round robin, even", 0, func(l *scenario) { l.build = newRoundRobin })
	add("round robin, skew 16:1", 0, func(l *scenario) { l.build = newRoundRobin; skew(l) })
	add("fair per router, even", 0, func(l *scenario) { l.build = newIsolatedScheduler })
	return all
}

// TestWorkDoesNotWaitBesideFreeSlots measures arrivals below and near what
// the engines can do: drafts, and pages so short that messages weigh in.
func TestWorkDoesNotWaitBesideFreeSlots(t *testing.T) {
	for name, c := range map[string]struct {
		engines, slots int
		median, mean   float64
		load           float64
		p99            time.Duration
	}{
		"drafts at 0.7": {24, 160, 4, 6.3, 0.7, 20 * time.Millisecond},
		"drafts at 0.9": {24, 160, 4, 6.3, 0.9, 100 * time.Millisecond},
		"pages at 0.7":  {4, 32, 0.02, 0.033, 0.7, 30 * time.Millisecond},
		"pages at 0.9":  {4, 32, 0.02, 0.033, 0.9, 600 * time.Millisecond},
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
				pause := f.rng.ExpFloat64() * c.mean / c.load / float64(c.slots)
				f.after(time.Duration(pause*float64(time.Second)), arrive)
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

// BenchmarkLargeFleet measures 32 routers, 2,560 slots and 120 workspaces.
func BenchmarkLargeFleet(b *testing.B) {
	for _, stale := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
		b.Run(stale.String(), func(b *testing.B) {
			l := scenario{
				size: size{32, 384, 2560, 120}, shares: func(int) float64 { return 1.0 / 120 }, cost: defaultCost, exchangeInterval: stale,
				entryRouters: func(f *fleet, _ int) []int { return []int{f.rng.IntN(32), f.rng.IntN(32)} },
				backlog:      func(int) int { return 80 },
			}
			for range b.N {
				m := measureScenario(l, 1, newScheduler(stale))
				b.ReportMetric(m.maxGap, "slot-s/gap")
				b.ReportMetric(m.idleFraction, "idle")
				b.ReportMetric(m.messageRate, "msg/s/router")
			}
		})
	}
}
