package scheduler

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
)

// newLoadedFleet returns a fleet of 4 routers and 32 slots with 8 equal workspaces,
// each always with work at two routers: six of them at one half of the fleet.
func newLoadedFleet(seed uint64) (*fleet, map[state.Workspace]float64) {
	f := newFleet(4, 8, 32, seed, newScheduler(time.Second))
	shares := map[state.Workspace]float64{}
	for i := range 8 {
		shares[workspaceName(i)] = 1.0 / 8
	}
	f.start(f.settings(shares))
	f.run(time.Second)
	f.onEnd = f.resubmit
	for n := range 40 {
		for i := range 8 {
			f.submit(f.routers[n%2+2*(i/6)], workspaceName(i))
		}
	}
	return f, shares
}

// resubmit submits a request of the same workspace, after a pause if the last one
// was refused.
func (f *fleet) resubmit(j *job) {
	f.after(time.Duration(j.refusals)*time.Second, func() { f.submit(j.entryRouter, j.ws) })
}

func (f *fleet) setPartition(partitioned bool) {
	for i, r := range f.routers {
		r.partition = 0
		if partitioned {
			r.partition = i / 2 % 2
		}
	}
	for i, e := range f.engines {
		e.partition = 0
		if partitioned {
			e.partition = i % 4 / 2
		}
	}
	f.sendPeers()
}

// gapGrowth returns the gap of weighted service that grows within d.
func (f *fleet) gapGrowth(shares map[state.Workspace]float64, d time.Duration) float64 {
	base := f.weightedService(shares)
	f.run(d)
	return gapSince(f.weightedService(shares), base)
}

// A workspace starves after a network partition: its half of the fleet had few
// others and served it more than the other half served the rest. Healed,
// everyone sees it far ahead. It must still get a floor.
func TestHealedPartition(t *testing.T) {
	f, shares := newLoadedFleet(1)
	f.run(2 * time.Minute)
	f.setPartition(true)
	gapDuringPartition := f.gapGrowth(shares, 10*time.Minute)
	f.setPartition(false)
	unserved := f.longestUnservedTime(shares, 5*time.Minute)
	t.Logf("gap grown while apart %.0f slot-seconds; longest time without service afterwards %v", gapDuringPartition, unserved)
	require.Greater(t, gapDuringPartition, 1000.0)
	require.LessOrEqual(t, unserved, 90*time.Second)
	f.run(10 * time.Minute)
	require.Less(t, f.gapGrowth(shares, 5*time.Minute), 150.0)
}

// longestUnservedTime returns the longest time that any workspace got no service.
func (f *fleet) longestUnservedTime(shares map[state.Workspace]float64, d time.Duration) time.Duration {
	last := make([]time.Time, len(shares))
	for i := range last {
		last[i] = f.now
	}
	var longest time.Duration
	before := f.weightedService(shares)
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(time.Second)
		now := f.weightedService(shares)
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
func TestReplacedRouterKeepsShares(t *testing.T) {
	f, shares := newLoadedFleet(2)
	f.run(5 * time.Minute)
	r := f.routers[1]
	r.incarnation++
	r.scheduler = New(Options{Self: Peer{Router: r.name, DataCentre: dataCentreName(1), Incarnation: r.incarnation}})
	r.owned = nil
	f.deliver(r, Configured{Settings: f.settings(shares)})
	f.sendPeers()
	for i := range 8 {
		for range 20 {
			f.submit(r, workspaceName(i))
		}
	}
	gap := f.gapGrowth(shares, 5*time.Minute)
	t.Logf("gap grown after the restart %.0f slot-seconds", gap)
	require.Less(t, gap, 150.0)
}

// A kiosk waits for minutes: its workspace asks rarely, while another floods
// the fleet and every slot is taken. Coming back from idle, it is served as
// soon as slots end, and what it left unused earns it no burst later.
func TestRareWorkspaceUnderFlood(t *testing.T) {
	f, shares := newLoadedFleet(3)
	f.run(2 * time.Minute)
	f.onEnd = func(j *job) {
		if j.ws != workspaceName(7) {
			f.resubmit(j)
		}
	}
	for range 2000 {
		f.submit(f.routers[f.rng.IntN(4)], workspaceName(0))
	}
	f.run(20 * time.Minute)
	f.waits[workspaceName(7)] = nil
	for range 100 {
		f.submit(f.routers[f.rng.IntN(4)], workspaceName(7))
		f.run(3 * time.Second)
	}
	var longest, sum time.Duration
	for _, w := range f.waits[workspaceName(7)] {
		longest = max(longest, w)
		sum += w / 100
	}
	t.Logf("rare workspace waits %v on average, %v at most", sum, longest)
	require.Len(t, f.waits[workspaceName(7)], 100)
	require.Less(t, sum, 2*time.Second)
	// One request of a minute puts its workspace ahead by as much as the
	// others of equal share need a quarter of a minute to make up.
	require.Less(t, longest, 20*time.Second)
	for range 200 {
		f.submit(f.routers[0], workspaceName(7))
	}
	before := f.weightedService(shares)
	f.run(30 * time.Second)
	burst := (f.weightedService(shares)[7] - before[7]) / (32.0 * 30 / 8)
	t.Logf("back with a backlog it gets %.2f of its share", burst)
	require.Less(t, burst, 1.5)
}

// Whatever fails, a caller gets exactly one final answer, one grant starts at
// most one request, counters never fall, no slot or reservation leaks, and a
// replay of the same events gives the same actions.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, checkInvariantsUnderFaults)
}

// FuzzFaults looks for faults in which the promises do not hold, guided by
// coverage.
func FuzzFaults(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(checkInvariantsUnderFaults))
}

func checkInvariantsUnderFaults(t *rapid.T) {
	seed := rapid.Uint64().Draw(t, "seed")
	f := newFleet(4, 8, 32, seed, newScheduler(time.Second))
	f.dispatchFailure = func() Outcome {
		return []Outcome{0, 0, 0, 0, 0, 0, OutcomeNotSent, OutcomeLost}[f.rng.IntN(8)]
	}
	replay := newScheduler(time.Second)(Peer{Router: "router-0", DataCentre: dataCentreName(0), Incarnation: 1}, seed)
	c := &invariants{charged: map[string]state.Cost{}, started: map[uint64]int{}}
	f.onStep = func(r *router, ev Event, actions []Action) {
		c.checkStep(t, r, ev, actions)
		if r == f.routers[0] && !reflect.DeepEqual(actions, replay.Step(f.now, ev)) {
			t.Fatalf("a replay differs at %#v", ev)
		}
	}
	f.start(f.settings(map[state.Workspace]float64{workspaceName(0): 0.5, workspaceName(1): 0.3, workspaceName(2): 0.2}))
	var jobs []*job
	for _, fault := range rapid.SliceOfN(rapid.IntRange(0, 4), 2, 12).Draw(t, "faults") {
		for range 20 {
			jobs = append(jobs, f.submit(f.routers[f.rng.IntN(3)], workspaceName(f.rng.IntN(3))))
		}
		switch fault {
		case 0:
			f.setPartition(true)
		case 1:
			f.setPartition(false)
		case 2:
			f.deliver(f.routers[3], Drain{})
		}
		f.run(time.Duration(f.rng.Int64N(int64(10 * time.Second))))
	}
	f.setPartition(false)
	f.run(10 * time.Minute)
	for _, j := range jobs {
		if j.finalAnswers != 1 {
			t.Fatalf("request %d of %s got %d final answers", j.id, j.entryRouter.name, j.finalAnswers)
		}
	}
	for _, r := range f.routers {
		st := r.scheduler.(*Scheduler).Status(f.now)
		reserved := state.Cost(0)
		for _, w := range st.Services[0].Workspaces {
			reserved += w.Reserved
		}
		if st.Waiting+st.Running+st.Granted != 0 || reserved != 0 {
			t.Fatalf("%s still holds %+v", r.name, st)
		}
	}
}

// invariants remembers what must never fall or happen twice.
type invariants struct {
	charged map[string]state.Cost
	started map[uint64]int
}

func (c *invariants) checkStep(t *rapid.T, r *router, ev Event, actions []Action) {
	for _, d := range actionsOf[Dispatch](actions) {
		if j := r.jobs[d.ID]; j.running || j.finalAnswers > 0 {
			t.Fatalf("request %d dispatched while it runs or after its end", d.ID)
		}
	}
	if g, ok := ev.(GrantHeard); ok {
		for _, d := range actionsOf[Dispatch](actions) {
			if d.Upstream == g.Grant.Upstream {
				c.started[g.Grant.Sequence]++
			}
		}
		if c.started[g.Grant.Sequence] > 1 {
			t.Fatalf("grant %d started %d requests", g.Grant.Sequence, c.started[g.Grant.Sequence])
		}
	}
	for _, u := range actionsOf[SendUsage](actions) {
		for _, e := range u.Entries {
			k := string(u.Origin) + string(e.Workspace)
			if u.Origin == r.name && e.Charged < c.charged[k] {
				t.Fatalf("counter of %s fell", e.Workspace)
			}
			c.charged[k] = max(c.charged[k], e.Charged)
		}
	}
}
