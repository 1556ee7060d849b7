package scheduler

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
)

// loaded returns a fleet of 4 routers and 32 slots with 8 equal workspaces,
// each always with work at two routers: six of them at one half of the fleet.
func loaded(seed uint64) (*fleet, map[state.Workspace]float64) {
	f := newFleet(4, 8, 32, seed, realRouter(time.Second))
	shares := map[state.Workspace]float64{}
	for i := range 8 {
		shares[tenant(i)] = 1.0 / 8
	}
	f.boot(f.settings(shares))
	f.run(time.Second)
	f.onFinal = f.again
	for n := range 40 {
		for i := range 8 {
			f.submit(f.routers[n%2+2*(i/6)], tenant(i))
		}
	}
	return f, shares
}

// again submits a request of the same workspace, after a pause if the last one
// was refused.
func (f *fleet) again(j *job) {
	f.after(time.Duration(j.refused)*time.Second, func() { f.submit(j.home, j.ws) })
}

func (f *fleet) cut(apart bool) {
	for i, r := range f.routers {
		r.side = 0
		if apart {
			r.side = i / 2 % 2
		}
	}
	for i, e := range f.engines {
		e.side = 0
		if apart {
			e.side = i % 4 / 2
		}
	}
	f.spread()
}

// gapOver returns the gap of weighted service that grows within d.
func (f *fleet) gapOver(shares map[state.Workspace]float64, d time.Duration) float64 {
	base := f.weighted(shares)
	f.run(d)
	return spreadOf(f.weighted(shares), base)
}

// A workspace starves after a network partition: its half of the fleet had few
// others and served it more than the other half served the rest. Healed,
// everyone sees it far ahead. It must still get a floor.
func TestHealedPartition(t *testing.T) {
	f, shares := loaded(1)
	f.run(2 * time.Minute)
	f.cut(true)
	apart := f.gapOver(shares, 10*time.Minute)
	f.cut(false)
	waited := f.longestPause(shares, 5*time.Minute)
	t.Logf("gap grown while apart %.0f slot-seconds; longest time without service afterwards %v", apart, waited)
	require.Greater(t, apart, 1000.0)
	require.LessOrEqual(t, waited, 90*time.Second)
	f.run(10 * time.Minute)
	require.Less(t, f.gapOver(shares, 5*time.Minute), 150.0)
}

// longestPause returns the longest time that any workspace got no service.
func (f *fleet) longestPause(shares map[state.Workspace]float64, d time.Duration) time.Duration {
	last := make([]time.Time, len(shares))
	for i := range last {
		last[i] = f.now
	}
	var longest time.Duration
	before := f.weighted(shares)
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(time.Second)
		now := f.weighted(shares)
		for i := range now {
			if now[i] > before[i] {
				last[i] = f.now
			}
			longest = max(longest, f.now.Sub(last[i]))
		}
		before = now
	}
	return longest
}

// Shares are off for minutes after a router is replaced: the new one knows no
// counters and grants to whoever it thinks is behind.
func TestColdRouterJoinsWithoutUpset(t *testing.T) {
	f, shares := loaded(2)
	f.run(5 * time.Minute)
	r := f.routers[1]
	r.run++
	r.step = New(Options{Self: Peer{Router: r.name, DataCentre: centre(1), Incarnation: r.run}})
	r.owned = nil
	f.deliver(r, Configured{Settings: f.settings(shares)})
	f.spread()
	for i := range 8 {
		for range 20 {
			f.submit(r, tenant(i))
		}
	}
	gap := f.gapOver(shares, 5*time.Minute)
	t.Logf("gap grown after the restart %.0f slot-seconds", gap)
	require.Less(t, gap, 150.0)
}

// A kiosk waits for minutes: its workspace asks rarely, while another floods
// the fleet and every slot is taken. Coming back from idle, it is served as
// soon as slots end, and what it left unused earns it no burst later.
func TestRareWorkspaceUnderFlood(t *testing.T) {
	f, shares := loaded(3)
	f.run(2 * time.Minute)
	f.onFinal = func(j *job) {
		if j.ws != tenant(7) {
			f.again(j)
		}
	}
	for range 2000 {
		f.submit(f.routers[f.rng.IntN(4)], tenant(0))
	}
	f.run(20 * time.Minute)
	f.waits[tenant(7)] = nil
	for range 100 {
		f.submit(f.routers[f.rng.IntN(4)], tenant(7))
		f.run(3 * time.Second)
	}
	var longest, sum time.Duration
	for _, w := range f.waits[tenant(7)] {
		longest = max(longest, w)
		sum += w / 100
	}
	t.Logf("rare workspace waits %v on average, %v at most", sum, longest)
	require.Len(t, f.waits[tenant(7)], 100)
	require.Less(t, sum, 2*time.Second)
	// One request of a minute puts its workspace ahead by as much as the
	// others of equal share need a quarter of a minute to make up.
	require.Less(t, longest, 20*time.Second)
	for range 200 {
		f.submit(f.routers[0], tenant(7))
	}
	before := f.weighted(shares)
	f.run(30 * time.Second)
	burst := (f.weighted(shares)[7] - before[7]) / (32.0 * 30 / 8)
	t.Logf("back with a backlog it gets %.2f of its share", burst)
	require.Less(t, burst, 1.5)
}

// Whatever fails, a caller gets exactly one final answer, one grant starts at
// most one request, counters never fall, no slot or reservation leaks, and a
// replay of the same events gives the same actions.
func TestFaultsKeepThePromises(t *testing.T) {
	rapid.Check(t, faultsKeepThePromises)
}

// FuzzFaults looks for faults in which the promises do not hold, guided by
// coverage.
func FuzzFaults(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(faultsKeepThePromises))
}

func faultsKeepThePromises(t *rapid.T) {
	seed := rapid.Uint64().Draw(t, "seed")
	f := newFleet(4, 8, 32, seed, realRouter(time.Second))
	f.broken = func() Outcome {
		return []Outcome{0, 0, 0, 0, 0, 0, OutcomeNotSent, OutcomeLost}[f.rng.IntN(8)]
	}
	replay := realRouter(time.Second)(Peer{Router: "router-0", DataCentre: centre(0), Incarnation: 1}, seed)
	c := &checks{charged: map[string]state.Cost{}, started: map[uint64]int{}}
	f.onStep = func(r *router, ev Event, actions []Action) {
		c.step(t, r, ev, actions)
		if r == f.routers[0] && !reflect.DeepEqual(actions, replay.Step(f.now, ev)) {
			t.Fatalf("a replay differs at %#v", ev)
		}
	}
	f.boot(f.settings(map[state.Workspace]float64{tenant(0): 0.5, tenant(1): 0.3, tenant(2): 0.2}))
	var jobs []*job
	for _, fault := range rapid.SliceOfN(rapid.IntRange(0, 4), 2, 12).Draw(t, "faults") {
		for range 20 {
			jobs = append(jobs, f.submit(f.routers[f.rng.IntN(3)], tenant(f.rng.IntN(3))))
		}
		switch fault {
		case 0:
			f.cut(true)
		case 1:
			f.cut(false)
		case 2:
			f.deliver(f.routers[3], Drain{})
		}
		f.run(time.Duration(f.rng.Int64N(int64(10 * time.Second))))
	}
	f.cut(false)
	f.run(10 * time.Minute)
	for _, j := range jobs {
		if j.finals != 1 {
			t.Fatalf("request %d of %s got %d final answers", j.id, j.home.name, j.finals)
		}
	}
	for _, r := range f.routers {
		st := r.step.(*Scheduler).Status(f.now)
		reserved := state.Cost(0)
		for _, w := range st.Services[0].Workspaces {
			reserved += w.Reserved
		}
		if st.Waiting+st.Running+st.Granted != 0 || reserved != 0 {
			t.Fatalf("%s still holds %+v", r.name, st)
		}
	}
}

// checks remembers what must never fall or happen twice.
type checks struct {
	charged map[string]state.Cost
	started map[uint64]int
}

func (c *checks) step(t *rapid.T, r *router, ev Event, actions []Action) {
	for _, d := range only[Dispatch](actions) {
		if j := r.jobs[d.ID]; j.running || j.finals > 0 {
			t.Fatalf("request %d dispatched while it runs or after its end", d.ID)
		}
	}
	if g, ok := ev.(GrantHeard); ok {
		for _, d := range only[Dispatch](actions) {
			if d.Upstream == g.Grant.Upstream {
				c.started[g.Grant.Sequence]++
			}
		}
		if c.started[g.Grant.Sequence] > 1 {
			t.Fatalf("grant %d started %d requests", g.Grant.Sequence, c.started[g.Grant.Sequence])
		}
	}
	for _, u := range only[SendUsage](actions) {
		for _, e := range u.Entries {
			k := string(u.Origin) + string(e.Workspace)
			if u.Origin == r.name && e.Charged < c.charged[k] {
				t.Fatalf("counter of %s fell", e.Workspace)
			}
			c.charged[k] = max(c.charged[k], e.Charged)
		}
	}
}
