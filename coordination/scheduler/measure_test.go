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

// load is one measured situation of 8 routers, 24 engines, 160 slots and 16
// workspaces that always have more work than they get.
type load struct {
	name    string
	shares  func(i int) float64
	homes   func(f *fleet, i int) []int
	backlog func(i int) int
	cost    func(f *fleet, i int) time.Duration
	stale   time.Duration
	slow    float64
	// scarce workspaces need a model that only the first data centre holds.
	scarce int
	// bursts makes odd workspaces come and go; the gap is that of the others.
	bursts bool
	// size of the fleet, if not the usual one; build makes a baseline in
	// place of a Scheduler.
	size  size
	build func(Peer, uint64) stepper
	// limit holds the worst gap, with room for another seed; baselines have
	// none.
	limit float64
}

type size struct{ routers, engines, slots, workspaces int }

var usualSize = size{8, 24, 160, 16}

func equalShares(int) float64                 { return 1.0 / 16 }
func usualBacklog(int) int                    { return 60 }
func twoRouters(f *fleet, _ int) []int        { return []int{f.rng.IntN(8), f.rng.IntN(8)} }
func usualCost(f *fleet, _ int) time.Duration { return f.lognormal(4*time.Second, 1) }

func realRouter(stale time.Duration) func(Peer, uint64) stepper {
	return func(self Peer, seed uint64) stepper {
		return New(Options{Self: self, Seed: seed, ExchangeInterval: stale})
	}
}

// figures are the worst and mean gap of weighted service between two
// workspaces, in slot-seconds of a workspace of mean share, the part of the
// slots that idled, and messages per second and router.
type figures struct{ gap, mean, idle, messages float64 }

// measure runs a load for ten minutes. Only the second half counts: in the
// first, costs are still being learned.
func measure(l load, seed uint64, build func(Peer, uint64) stepper) figures {
	f := newFleet(l.size.routers, l.size.engines, l.size.slots, seed, build)
	shares := map[state.Workspace]float64{}
	for i := range l.size.workspaces {
		shares[tenant(i)] = l.shares(i)
	}
	l.drive(f, shares)
	f.run(5 * time.Minute)
	base := f.weighted(shares)
	busy, messages := f.busy, f.messages
	var out figures
	const samples = 300
	for range samples {
		f.run(time.Second)
		gap := spreadOf(l.lasting(f.weighted(shares)), l.lasting(base))
		out.gap = max(out.gap, gap)
		out.mean += gap / samples
	}
	out.idle = 1 - (f.busy-busy).Seconds()/samples/float64(l.size.slots)
	out.messages = float64(f.messages-messages) / samples / float64(l.size.routers)
	return out
}

// drive boots the fleet and keeps every workspace's backlog up.
func (l load) drive(f *fleet, shares map[state.Workspace]float64) {
	index := map[state.Workspace]int{}
	homes := make([][]int, l.size.workspaces)
	for i := range homes {
		index[tenant(i)] = i
		homes[i] = l.homes(f, i)
	}
	f.cost = func(ws state.Workspace) time.Duration { return l.cost(f, index[ws]) }
	f.engines[0].slow = cmp.Or(l.slow, 1)
	for i, e := range f.engines {
		if l.scarce > 0 {
			e.models = [][]state.Model{{"common", "rare"}, {"common"}}[min(i%4, 1)]
			f.model = func(ws state.Workspace) state.Model {
				return []state.Model{"rare", "common"}[min(index[ws]/l.scarce, 1)]
			}
		}
	}
	f.boot(f.settings(shares))
	f.run(time.Second)
	f.onFinal = func(j *job) {
		if !l.bursts || index[j.ws]%2 == 0 {
			f.again(j)
		}
	}
	for i := range homes {
		fill := func() {
			for n := range l.backlog(i) {
				f.submit(f.routers[homes[i][n%len(homes[i])]%len(f.routers)], tenant(i))
			}
		}
		if l.bursts && i%2 == 1 {
			f.every(time.Duration(20+10*i)*time.Second, fill)
		} else {
			f.after(0, fill)
		}
	}
}

func (f *fleet) weighted(shares map[state.Workspace]float64) []float64 {
	out := make([]float64, len(shares))
	for i := range out {
		w := tenant(i)
		out[i] = f.served[w].Seconds() / shares[w] / float64(len(shares))
	}
	return out
}

// lasting leaves out workspaces that come and go.
func (l load) lasting(served []float64) []float64 {
	if !l.bursts {
		return served
	}
	var out []float64
	for i := 0; i < len(served); i += 2 {
		out = append(out, served[i])
	}
	return out
}

func spreadOf(now, base []float64) float64 {
	low, high := math.Inf(1), math.Inf(-1)
	for i := range now {
		low = min(low, now[i]-base[i])
		high = max(high, now[i]-base[i])
	}
	return high - low
}

// bound is the formula of package fairness in slot-seconds of a workspace of
// mean share, for requests of at most a minute.
func (l load) bound() float64 {
	least := 1.0
	for i := range 16 {
		least = min(least, l.shares(i))
	}
	const slots, largest, delay = 160, 60, 0.1
	inProgress := slots * largest / 16.0
	unheard := slots * (l.stale.Seconds() + delay)
	return 2 * (inProgress + (largest+unheard)/(least*16))
}

// TestFairnessAndUtilisation measures the gap of weighted service and the busy
// slots of always backlogged workspaces, and logs a table.
func TestFairnessAndUtilisation(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			build := l.build
			if build == nil {
				build = realRouter(l.stale)
			}
			var worst figures
			for seed := range uint64(2) {
				m := measure(l, seed, build)
				worst.gap = max(worst.gap, m.gap)
				worst.mean = max(worst.mean, m.mean)
				worst.idle = max(worst.idle, m.idle)
				worst.messages = max(worst.messages, m.messages)
			}
			t.Logf("%-24s gap worst %5.0f, mean %5.0f; idle %.4f; %2.0f messages/s per router", l.name, worst.gap, worst.mean, worst.idle, worst.messages)
			if l.limit > 0 {
				require.Less(t, worst.gap, min(l.limit, l.bound()))
				require.Less(t, worst.idle, 0.001)
			}
		})
	}
}

func loads() []load {
	even := load{size: usualSize, shares: equalShares, homes: twoRouters, backlog: usualBacklog, cost: usualCost, stale: DefaultExchangeInterval}
	var all []load
	add := func(name string, limit float64, change func(l *load)) {
		l := even
		l.name = name
		l.limit = limit
		change(&l)
		all = append(all, l)
	}
	stale := func(d time.Duration) func(*load) { return func(l *load) { l.stale = d } }
	weights := func(l *load) { l.shares = func(i int) float64 { return float64(i+1) / 136 } }
	skew := func(l *load) { l.backlog = func(i int) int { return 60 + 900*max(0, 1-i) } }
	add("one router", 150, func(l *load) { l.size.routers = 1 })
	add("even, 0.25 s", 150, stale(time.Second/4))
	add("even, 1 s", 150, stale(time.Second))
	add("even, 2 s", 150, stale(2*time.Second))
	add("even, 5 s", 200, stale(5*time.Second))
	add("even, 10 s", 300, stale(10*time.Second))
	add("weights 1 to 16", 600, weights)
	add("skew 16:1", 150, skew)
	add("one router each", 150, func(l *load) { l.homes = func(f *fleet, _ int) []int { return []int{f.rng.IntN(8)} } })
	add("all on one router", 150, func(l *load) { l.homes = func(*fleet, int) []int { return []int{3} } })
	add("flood from everywhere", 200, func(l *load) {
		l.backlog = func(i int) int { return 60 + 4000*max(0, 1-i) }
		l.homes = func(f *fleet, i int) []int {
			if i == 0 {
				return []int{0, 1, 2, 3, 4, 5, 6, 7}
			}
			return []int{f.rng.IntN(8)}
		}
	})
	add("long and short", 150, func(l *load) {
		l.cost = func(f *fleet, i int) time.Duration {
			return f.lognormal([]time.Duration{time.Second / 2, 10 * time.Second}[i%2], 0.5)
		}
	})
	add("misleading", 400, func(l *load) {
		l.cost = func(f *fleet, _ int) time.Duration {
			return []time.Duration{time.Second, 40 * time.Second}[max(0, 1-f.rng.IntN(10))]
		}
	})
	add("one slow engine", 250, func(l *load) { l.slow = 4 })
	add("model at one centre", 200, func(l *load) { l.scarce = 4 })
	add("model at one centre, 5 s", 200, func(l *load) { l.scarce = 4; l.stale = 5 * time.Second })
	add("half come and go", 150, func(l *load) { l.bursts = true })
	add("round robin, even", 0, func(l *load) { l.build = newRoundRobin })
	add("round robin, skew 16:1", 0, func(l *load) { l.build = newRoundRobin; skew(l) })
	add("fair per router, even", 0, func(l *load) { l.build = newAlone })
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
			f := newFleet(8, c.engines, c.slots, 1, realRouter(time.Second))
			shares := map[state.Workspace]float64{}
			for i := range 16 {
				shares[tenant(i)] = 1.0 / 16
			}
			f.cost = func(state.Workspace) time.Duration {
				return f.lognormal(time.Duration(c.median*float64(time.Second)), 1)
			}
			f.boot(f.settings(shares))
			f.run(2 * time.Second)
			requests := 0
			var arrive func()
			arrive = func() {
				requests++
				f.submit(f.routers[f.rng.IntN(8)], tenant(f.rng.IntN(16)))
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
			l := load{
				size: size{32, 384, 2560, 120}, shares: func(int) float64 { return 1.0 / 120 }, cost: usualCost, stale: stale,
				homes:   func(f *fleet, _ int) []int { return []int{f.rng.IntN(32), f.rng.IntN(32)} },
				backlog: func(int) int { return 80 },
			}
			for range b.N {
				m := measure(l, 1, realRouter(stale))
				b.ReportMetric(m.gap, "slot-s/gap")
				b.ReportMetric(m.idle, "idle")
				b.ReportMetric(m.messages, "msg/s/router")
			}
		})
	}
}
