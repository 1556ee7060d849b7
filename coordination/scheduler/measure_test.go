package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"

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
	// routers is 8 if zero; build makes a baseline in place of a Scheduler.
	routers int
	build   func(Peer, uint64) stepper
}

func equalShares(int) float64           { return 1.0 / 16 }
func usualBacklog(int) int              { return 60 }
func twoRouters(f *fleet, _ int) []int  { return []int{f.rng.IntN(8), f.rng.IntN(8)} }
func usualCost(f *fleet, _ int) time.Duration { return f.lognormal(4*time.Second, 1) }

func realRouter(stale time.Duration) func(Peer, uint64) stepper {
	return func(self Peer, seed uint64) stepper {
		return New(Options{Self: self, Seed: seed, ExchangeInterval: stale})
	}
}

type figures struct {
	gap      float64
	mean     float64
	busy     float64
	messages float64
}

// measure runs a load for ten minutes and returns the worst gap of weighted
// service between two workspaces, in slot-seconds of a workspace of mean
// share, and the part of the slots that was busy, both after a first minute.
func measure(l load, seed uint64, build func(Peer, uint64) stepper) figures {
	f := newFleet(cmp.Or(l.routers, 8), 24, 160, seed, build)
	shares := map[state.Workspace]float64{}
	index := map[state.Workspace]int{}
	for i := range 16 {
		shares[tenant(i)] = l.shares(i)
		index[tenant(i)] = i
	}
	f.cost = func(ws state.Workspace) time.Duration { return l.cost(f, index[ws]) }
	f.boot(f.settings(shares))
	f.run(time.Second)
	f.onFinal = func(j *job) { f.after(time.Duration(j.refused)*time.Second, func() { f.submit(j.home, j.ws) }) }
	homes := map[int][]int{}
	most := 0
	for i := range 16 {
		homes[i] = l.homes(f, i)
		most = max(most, l.backlog(i))
	}
	for n := range most {
		for i := range 16 {
			if n < l.backlog(i) {
				f.submit(f.routers[homes[i][n%len(homes[i])]%len(f.routers)], tenant(i))
			}
		}
	}
	f.run(time.Minute)
	base := f.weighted(shares)
	busy, begun, messages := f.busy, f.now, f.messages
	var out figures
	const samples = 540
	for range samples {
		f.run(time.Second)
		gap := spreadOf(f.weighted(shares), base)
		out.gap = max(out.gap, gap)
		out.mean += gap / samples
	}
	seconds := f.now.Sub(begun).Seconds()
	out.busy = (f.busy - busy).Seconds() / seconds / 160
	out.messages = float64(f.messages-messages) / seconds / 8
	return out
}

func (f *fleet) weighted(shares map[state.Workspace]float64) []float64 {
	out := make([]float64, len(shares))
	for i := range out {
		w := tenant(i)
		out[i] = f.served[w].Seconds() / shares[w] / 16
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

// TestFairnessAndUtilisation logs a table of measured loads with their worst
// and mean gap, and holds each to its limit.
func TestFairnessAndUtilisation(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			build := l.build
			if build == nil {
				build = realRouter(l.stale)
			}
			var worst figures
			for seed := range uint64(seeds) {
				m := measure(l, seed, build)
				worst.gap += m.gap/seeds
				worst.mean += m.mean/seeds
				worst.busy += m.busy/seeds
				worst.messages += m.messages/seeds
			}
			fmt.Printf("%-28s worst gap %7.0f mean %7.0f busy %.4f messages %3.0f/s\n", l.name, worst.gap, worst.mean, worst.busy, worst.messages)
		})
	}
}
const seeds = 4

func loads() []load {
	even := load{name: "even, 1 s", shares: equalShares, homes: twoRouters, backlog: usualBacklog, cost: usualCost, stale: time.Second}
	all := []load{even}
	add := func(name string, change func(l *load)) {
		l := even
		l.name = name
		change(&l)
		all = append(all, l)
	}
	add("single router", func(l *load) { l.routers = 1 })
	add("even, 0.25 s", func(l *load) { l.stale = 250 * time.Millisecond })
	add("even, 5 s", func(l *load) { l.stale = 5 * time.Second })
	add("even, 10 s", func(l *load) { l.stale = 10 * time.Second })
	add("weights 1 to 16", func(l *load) { l.shares = func(i int) float64 { return float64(i+1) / 136 } })
	add("weights 1 to 16, 5s", func(l *load) { l.stale=5*time.Second; l.shares = func(i int) float64 { return float64(i+1) / 136 } })
	add("skew 16:1", func(l *load) { l.backlog = func(i int) int { return 60 + 900*(max(0, 1-i)) } })
	add("one router each", func(l *load) { l.homes = func(f *fleet, _ int) []int { return []int{f.rng.IntN(8)} } })
	add("all on one router", func(l *load) { l.homes = func(*fleet, int) []int { return []int{3} } })
	add("flood from everywhere", func(l *load) {
		l.backlog = func(i int) int { return 60 + 4000*(max(0, 1-i)) }
		l.homes = func(f *fleet, i int) []int {
			if i == 0 {
				return []int{0, 1, 2, 3, 4, 5, 6, 7}
			}
			return []int{f.rng.IntN(8)}
		}
	})
	add("long and short", func(l *load) {
		l.cost = func(f *fleet, i int) time.Duration { return f.lognormal([]time.Duration{time.Second / 2, 10 * time.Second}[i%2], 0.5) }
	})
	add("misleading", func(l *load) {
		l.cost = func(f *fleet, _ int) time.Duration {
			if f.rng.IntN(10) == 0 {
				return 40 * time.Second
			}
			return time.Second
		}
	})
	add("misleading, 5s", func(l *load) {
		l.stale = 5*time.Second
		l.cost = func(f *fleet, _ int) time.Duration {
			if f.rng.IntN(10) == 0 {
				return 40 * time.Second
			}
			return time.Second
		}
	})
	add("baseline: round robin", func(l *load) { l.build = newRoundRobin })
	add("baseline: fair per router", func(l *load) { l.build = newAlone })
	return all
}
