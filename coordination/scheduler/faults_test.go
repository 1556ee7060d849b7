package scheduler

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
)

// newLoadedFleet returns a fleet of 4 routers and 32 slots with 8 workspaces of
// equal share. Each workspace always has requests waiting at two routers; six
// of the workspaces use the same two routers.
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

// resubmit submits another request of the same workspace, after a delay if the
// last one was refused.
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

// gapGrowth returns the growth of the gap of weighted service within d, in
// slot-seconds of a workspace of mean share.
func (f *fleet) gapGrowth(shares map[state.Workspace]float64, d time.Duration) float64 {
	base := f.weightedService(shares)
	f.run(d)
	return gapSince(f.weightedService(shares), base)
}

// TestHealedPartition checks that no workspace starves after a network
// partition. Its half of the fleet had fewer workspaces and served it more than
// the other half served the rest, so that after the partition all routers see
// it far ahead. It must still get a minimum of service.
func TestHealedPartition(t *testing.T) {
	f, shares := newLoadedFleet(1)
	f.run(2 * time.Minute)
	f.setPartition(true)
	gapDuringPartition := f.gapGrowth(shares, 10*time.Minute)
	f.setPartition(false)
	unserved := f.longestUnservedTime(shares, 5*time.Minute)
	t.Logf("gap grew by %.0f slot-seconds during the partition; longest time without service afterwards %v", gapDuringPartition, unserved)
	require.Greater(t, gapDuringPartition, 1000.0)
	require.LessOrEqual(t, unserved, 90*time.Second)
	f.run(10 * time.Minute)
	require.Less(t, f.gapGrowth(shares, 5*time.Minute), 150.0)
}

// longestUnservedTime runs the fleet for d and returns the longest time in
// which some workspace got no service.
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

// TestReplacedRouterKeepsShares checks that shares stay correct after a router
// is replaced. The new router knows no counters and could grant slots to
// workspaces that only seem to be behind.
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
	t.Logf("gap grew by %.0f slot-seconds after the restart", gap)
	require.Less(t, gap, 150.0)
}

// TestRareWorkspaceUnderFlood checks that a workspace that sends few requests
// does not wait for minutes while another one floods the fleet and every slot
// is taken. Returning from idle, it gets one of the next free slots. The
// service that it left unused earns it no burst later.
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
	// A single request of one minute puts its workspace ahead by an amount that
	// the other workspaces of equal share make up in a quarter of a minute.
	require.Less(t, longest, 20*time.Second)
	for range 200 {
		f.submit(f.routers[0], workspaceName(7))
	}
	before := f.weightedService(shares)
	f.run(30 * time.Second)
	burst := (f.weightedService(shares)[7] - before[7]) / (32.0 * 30 / 8)
	t.Logf("after returning with a backlog it gets %.2f of its share", burst)
	require.Less(t, burst, 1.5)
}

// TestInvariantsUnderFaults checks under random faults that each caller gets
// exactly one final answer, a grant starts at most one request, counters never
// decrease, no slot or reservation leaks, and a replay of the same events gives
// the same actions.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, checkInvariantsUnderFaults)
}

// FuzzFaults searches for faults that violate the invariants, guided by
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
			t.Fatalf("the replay returns other actions for event %#v", ev)
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
			t.Fatalf("%s still has requests, grants or reservations: %+v", r.name, st)
		}
	}
}

// invariants records the counters that must not decrease and the number of
// requests that each grant started.
type invariants struct {
	charged map[string]state.Cost
	started map[uint64]int
}

func (c *invariants) checkStep(t *rapid.T, r *router, ev Event, actions []Action) {
	for _, d := range actionsOf[Dispatch](actions) {
		if j := r.jobs[d.ID]; j.running || j.finalAnswers > 0 {
			t.Fatalf("request %d was dispatched while it runs or after its final answer", d.ID)
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
				t.Fatalf("the charged cost of workspace %s decreased", e.Workspace)
			}
			c.charged[k] = max(c.charged[k], e.Charged)
		}
	}
}

// Right after the start of a fleet the owner of one engine has its load report and
// that of the other has none yet. Long requests must not wait inside the first
// engine, since the other one's slots are free a moment later.
func TestNoRequestWaitsInAFullEngineWhileAnotherAwaitsItsFirstReport(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(4, 2, 8, seed, func(self Peer, seed uint64) stepper { return New(Options{Self: self, Seed: seed}) })
		f.cost = func(state.Workspace) time.Duration { return 10 * time.Second }
		f.start(f.settings(map[state.Workspace]float64{workspaceName(0): 1}))
		for i := range 8 {
			f.submit(f.routers[i%4], workspaceName(0))
		}
		f.run(5 * time.Second)
		for _, e := range f.engines {
			require.Empty(t, e.waiting, "seed %d: %s runs %d", seed, e.name, len(e.running))
			require.Len(t, e.running, 4, "seed %d: %s", seed, e.name)
		}
	}
}

// Three engines go down within the same moment while each of them runs the same
// question of several callers. The question must not be blocked for that.
func TestUpstreamsLostTogetherDoNotBlockTheirRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{Self: Peer{Router: "a", DataCentre: "x", Incarnation: 1}})
	pass := func(d time.Duration, boot string) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(TickInterval)
			for _, u := range []state.Upstream{"u1", "u2", "u3"} {
				s.Step(now, Reported{Report: state.LoadReport{Upstream: u, Boot: boot, Slots: 1}})
			}
			s.Step(now, Tick{})
		}
	}
	arrive := func(id state.RequestID) []Dispatch {
		return actionsOf[Dispatch](s.Step(now, Arrived{Request: Request{ID: id, Service: "draft", Workspace: "w", Fingerprint: 9}}))
	}
	lose := func(d Dispatch) {
		s.Step(now, Ended{ID: d.ID, Outcome: OutcomeLost})
		s.Step(now, Unreachable{Upstream: d.Upstream})
	}
	s.Step(now, settings([]string{"u1=x", "u2=x", "u3=x"}))
	pass(time.Second, "1")
	var running []Dispatch
	for id := range state.RequestID(3) {
		running = append(running, arrive(id+1)...)
	}
	require.Len(t, running, 3)
	pass(5*time.Second, "1")
	for _, d := range running {
		now = now.Add(100 * time.Millisecond)
		lose(d)
	}
	pass(10*time.Second, "2")
	again := arrive(4)
	require.Len(t, again, 1)
	pass(time.Second, "2")
	lose(again[0])
	pass(10*time.Second, "3")
	require.Empty(t, arrive(5), "it was sent after the first losses, and crashed one more")
}

// Upstreams send bytes that are no answer to a request, and are replaced later.
// The request was suspected of crashing them, and refused at the third time.
func TestUnusableAnswersDoNotBlockTheirRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{Self: Peer{Router: "a", DataCentre: "x", Incarnation: 1}})
	pass := func(boot string) {
		for range 100 {
			now = now.Add(TickInterval)
			s.Step(now, Reported{Report: state.LoadReport{Upstream: "u1", Boot: boot, Slots: 1}})
			s.Step(now, Tick{})
		}
	}
	s.Step(now, settings([]string{"u1=x"}))
	for id, boot := range []string{"1", "2", "3", "4"} {
		pass(boot)
		dispatched := actionsOf[Dispatch](s.Step(now, Arrived{Request: Request{ID: state.RequestID(id + 1), Service: "draft", Workspace: "w", Fingerprint: 9}}))
		require.Len(t, dispatched, 1)
		actions := s.Step(now, Ended{ID: dispatched[0].ID, Outcome: OutcomeUnusable})
		require.Empty(t, actionsOf[SendCrash](actions))
		require.Len(t, actionsOf[Refuse](actions), 1, "a request that may have run is not repeated")
		s.Step(now, Unreachable{Upstream: "u1"})
	}
}
