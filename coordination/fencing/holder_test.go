package fencing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// router is a holder under test with its clock.
type router struct {
	*Holder
	now Instant
}

func newRouter(name state.Router, checks bool) *router {
	now := Instant{Monotonic: time.Hour, Wall: time.Unix(1_000_000, 0)}
	config := Config{Self: name, Incarnation: 1, ChecksFencing: checks, Timing: DefaultTiming()}
	return &router{Holder: NewHolder(config, now), now: now}
}

// stepAfter moves both clocks and takes one event.
func (r *router) stepAfter(d time.Duration, event Event) []Action {
	r.now.Monotonic += d
	r.now.Wall = r.now.Wall.Add(d)
	return r.Step(r.now, event)
}

// tickSeconds lets time pass the way a running process sees it.
func (r *router) tickSeconds(t *testing.T, seconds int) {
	t.Helper()
	for range seconds {
		require.Empty(t, r.stepAfter(time.Second, Tick{}))
	}
}

func (r *router) firstOrder(actions []Action) SendOrder { return actions[0].(SendOrder) }

func leaseOf(name state.Router, number uint64) Lease {
	return Lease{Holder: name, Incarnation: 1, Number: number, DurationMs: 15_000}
}

func reportsModels(models ...state.Model) ReportReceived {
	return ReportReceived{Report: state.LoadReport{Boot: "b1", Models: models}}
}

func wantsModels(models ...state.Model) DesiredChanged {
	return DesiredChanged{Desired: &DesiredState{Models: models}}
}

// waitingForLease returns a router that has asked for the lease to load m.
func waitingForLease(name state.Router, checks bool) *router {
	r := newRouter(name, checks)
	r.stepAfter(0, wantsModels("m"))
	r.stepAfter(0, reportsModels())
	return r
}

// readyToOrder brings a router to the point of its first order, load m.
func readyToOrder(t *testing.T, checks bool) (*router, SendOrder) {
	t.Helper()
	r := waitingForLease("r1", checks)
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 8), Expected: 40}}, r.stepAfter(0, LeaseRead{Lease: Lease{Number: 7}, Version: 40}))
	return r, r.firstOrder(r.stepAfter(0, LeaseWritten{Version: 41}))
}

func TestOrdersUntilTheReportShowsTheDesiredState(t *testing.T) {
	r, order := readyToOrder(t, false)
	require.Equal(t, Order{Kind: LoadModel, Model: "m", Number: 8}, order.Order)
	require.Equal(t, 10*time.Second, order.Within)
	require.Empty(t, r.stepAfter(time.Second, OrderDone{}))
	require.Empty(t, r.stepAfter(time.Second, reportsModels()), "a report from before the order's effect must not repeat it")
	require.Empty(t, r.stepAfter(time.Second, Tick{}))
	require.Equal(t, []Action{WriteLease{Lease: Lease{Number: 8}, Expected: 41}}, r.stepAfter(time.Second, reportsModels("m")))
	require.Empty(t, r.stepAfter(0, LeaseWritten{Version: 42}))
	require.Zero(t, r.Number())
}

// An answer of the store takes eight seconds. The lease counts from when the
// write was sent, so that most of it is gone.
func TestLeaseCountsFromWhenTheWriteWasSent(t *testing.T) {
	r := waitingForLease("r1", false)
	r.stepAfter(0, LeaseRead{})
	sent := r.now
	r.tickSeconds(t, 8)
	order := r.firstOrder(r.stepAfter(0, LeaseWritten{Version: 1}))
	require.Equal(t, sent, order.Since)
	require.False(t, order.Late(r.now))
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 1), Expected: 1}}, r.stepAfter(2*time.Second, Tick{}))
	require.True(t, order.Late(r.now))
}

// An engine is silent for twelve seconds after an order. The lease is too old
// for the next order then and is renewed first.
func TestOldLeaseIsRenewedBeforeAnOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		r, _ := readyToOrder(t, checks)
		require.Empty(t, r.stepAfter(0, OrderDone{}))
		r.tickSeconds(t, 12)
		actions := r.stepAfter(0, reportsModels())
		if checks {
			require.IsType(t, SendOrder{}, actions[0])
			continue
		}
		require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 8), Expected: 41}}, actions)
		require.IsType(t, SendOrder{}, r.stepAfter(0, LeaseWritten{Version: 42})[0])
	}
}

// A load takes long and the answer to a renewal is lost. The renewal is tried
// again, or another router would find the lease lapsed and order beside it.
func TestLostRenewalIsRepeatedWhileAnOrderRuns(t *testing.T) {
	r, _ := readyToOrder(t, false)
	r.tickSeconds(t, 3)
	renewal := []Action{WriteLease{Lease: leaseOf("r1", 8), Expected: 41}}
	require.Equal(t, renewal, r.stepAfter(time.Second, Tick{}))
	require.Empty(t, r.stepAfter(0, LeaseFailed{}))
	require.Empty(t, r.stepAfter(time.Second, Tick{}))
	require.Equal(t, []Action{ReadLease{}}, r.stepAfter(time.Second, Tick{}))
	require.Equal(t, renewal, r.stepAfter(0, LeaseRead{Lease: leaseOf("r1", 8), Version: 41}))
	require.Empty(t, r.stepAfter(0, LeaseWritten{Version: 42}))
	require.Equal(t, uint64(8), r.Number())
}

// A model never loads, for example because its weights are broken. It is tried
// again less and less often, and the model behind it loads meanwhile.
func TestFailingLoadBacksOffWithoutDelayingOthers(t *testing.T) {
	r, order := readyToOrder(t, true)
	require.Empty(t, r.stepAfter(0, wantsModels("m", "n")))
	require.Empty(t, r.stepAfter(0, OrderFailed{}))
	r.tickSeconds(t, 3)
	order = r.firstOrder(r.stepAfter(0, reportsModels()))
	require.Equal(t, state.Model("n"), order.Order.Model)
	require.Empty(t, r.stepAfter(0, OrderDone{}))
	r.tickSeconds(t, 3)
	require.Equal(t, state.Model("m"), r.firstOrder(r.stepAfter(0, reportsModels("n"))).Order.Model)
	require.Empty(t, r.stepAfter(0, OrderFailed{}))
	r.tickSeconds(t, 3)
	require.IsType(t, WriteLease{}, r.stepAfter(0, reportsModels("n"))[0], "a lease that is not needed for seconds is released")
}

func TestRoleIsSetOncePerBoot(t *testing.T) {
	r := newRouter("r1", true)
	r.stepAfter(0, DesiredChanged{Desired: &DesiredState{Role: "prefill"}})
	r.stepAfter(0, reportsModels())
	r.stepAfter(0, LeaseRead{})
	require.Equal(t, Order{Kind: SetRole, Role: "prefill", Number: 1}, r.firstOrder(r.stepAfter(0, LeaseWritten{Version: 1})).Order)
	require.Empty(t, r.stepAfter(0, OrderDone{}))
	r.tickSeconds(t, 3)
	require.Equal(t, []Action{WriteLease{Lease: Lease{Number: 1}, Expected: 1}}, r.stepAfter(0, reportsModels()))
	require.Empty(t, r.stepAfter(0, LeaseWritten{Version: 2}))
	restarted := ReportReceived{Report: state.LoadReport{Boot: "b2"}}
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 2), Expected: 2}}, r.stepAfter(time.Second, restarted))
}

func TestForeignLeaseIsTakenOnceUnchangedForItsDuration(t *testing.T) {
	r := waitingForLease("r2", false)
	foreign := LeaseRead{Lease: leaseOf("r1", 3), Version: 9}
	require.Empty(t, r.stepAfter(0, foreign))
	for range 2 {
		r.stepAfter(time.Second, Tick{})
		r.stepAfter(time.Second, Tick{})
		require.Equal(t, []Action{ReadLease{}}, r.stepAfter(time.Second, Tick{}))
		require.Empty(t, r.stepAfter(0, LeaseRead{Version: 8}), "an old replica")
		require.Equal(t, []Action{ReadLease{}}, r.stepAfter(3*time.Second, Tick{}))
		require.Empty(t, r.stepAfter(0, foreign))
	}
	r.stepAfter(time.Second, Tick{})
	r.stepAfter(time.Second, Tick{})
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r2", 4), Expected: 9}}, r.stepAfter(time.Second, Tick{}))
}

// The wall clock of a contender is set forward by an hour, and then runs at
// three times its speed. The lease it waits for must not look over, for its
// holder still counts on it.
func TestChangedWallClockDoesNotEndALease(t *testing.T) {
	r := waitingForLease("r2", false)
	r.stepAfter(0, LeaseRead{Lease: leaseOf("r1", 3), Version: 9})
	r.now.Wall = r.now.Wall.Add(time.Hour)
	require.Empty(t, r.stepAfter(3*time.Second, Tick{}))
	require.Equal(t, []Action{ReadLease{}}, r.stepAfter(0, reportsModels()))
	require.Empty(t, r.stepAfter(0, LeaseRead{Lease: leaseOf("r1", 3), Version: 9}))
	for range 14 {
		r.now.Wall = r.now.Wall.Add(2 * time.Second)
		for _, action := range r.stepAfter(time.Second, reportsModels()) {
			require.Equal(t, ReadLease{}, action)
			require.Empty(t, r.stepAfter(0, LeaseRead{Lease: leaseOf("r1", 3), Version: 9}))
		}
	}
}

// The holder is paused after it decided on an order and before the order is
// sent. Its monotonic clock stood still meanwhile, only the wall clock shows
// the pause. The order must be found late, and the lease be read again and
// won again by a write before the next one.
func TestPausedHolderMustAcquireItsLeaseAgain(t *testing.T) {
	r, order := readyToOrder(t, false)
	r.now.Wall = r.now.Wall.Add(time.Minute)
	require.True(t, order.Late(r.now))
	require.Empty(t, r.stepAfter(0, OrderLate{}))
	require.Empty(t, r.stepAfter(3*time.Second, Tick{}))
	require.Equal(t, []Action{ReadLease{}}, r.stepAfter(0, reportsModels()))
	require.Zero(t, r.Number())
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 8), Expected: 41}}, r.stepAfter(0, LeaseRead{Lease: leaseOf("r1", 8), Version: 41}))
	require.Empty(t, r.stepAfter(0, LeaseConflict{}))
	require.Zero(t, r.Number())
}

// The holder is paused while its write of the lease is under way. The answer
// says that it won, but that was before the pause, so it proves nothing.
func TestLeaseWrittenBeforeAPauseDoesNotCount(t *testing.T) {
	r := waitingForLease("r1", false)
	require.IsType(t, WriteLease{}, r.stepAfter(0, LeaseRead{})[0])
	require.Empty(t, r.stepAfter(5*time.Second, LeaseWritten{Version: 1}))
	require.Zero(t, r.Number())
}

// A write of the lease takes effect but its answer is lost. The router reads
// its own name back and still has to win a write before it gives an order.
func TestLostAnswerIsResolvedByAnotherWrite(t *testing.T) {
	r := waitingForLease("r1", false)
	r.stepAfter(0, LeaseRead{})
	require.Empty(t, r.stepAfter(0, LeaseFailed{}))
	r.stepAfter(time.Second, Tick{})
	require.Equal(t, []Action{ReadLease{}}, r.stepAfter(time.Second, Tick{}))
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 1), Expected: 5}}, r.stepAfter(0, LeaseRead{Lease: leaseOf("r1", 1), Version: 5}))
	require.Equal(t, uint64(1), r.firstOrder(r.stepAfter(0, LeaseWritten{Version: 6})).Order.Number)
}

// pendingAction is an action under way, and its answer once it was performed.
type pendingAction struct {
	action Action
	answer Event
}

// leaseSimulation is a lease object, an engine that ignores fencing numbers, and routers
// that are paused, lose answers and read from old replicas at random.
type leaseSimulation struct {
	t       *testing.T
	random  *rand.Rand
	routers []*router
	// pausedRouter is the router that does not run; none if out of range.
	pausedRouter int
	suspended    bool
	pending      [][]pendingAction
	// versions holds every lease written, by version.
	versions    []Lease
	sentNumbers []uint64
}

// perform does one pending action of a router and returns its answer.
func (f *leaseSimulation) perform(i int, action Action) Event {
	switch a := action.(type) {
	case ReadLease:
		version := len(f.versions) - 1
		if f.random.IntN(3) == 0 {
			version = f.random.IntN(version + 1)
		}
		return LeaseRead{Lease: f.versions[version], Version: uint64(version)}
	case WriteLease:
		if f.random.IntN(10) == 0 {
			return LeaseFailed{}
		}
		if a.Expected != uint64(len(f.versions)-1) {
			return LeaseConflict{}
		}
		f.versions = append(f.versions, a.Lease)
		if f.random.IntN(10) == 0 {
			return LeaseFailed{}
		}
		return LeaseWritten{Version: uint64(len(f.versions) - 1)}
	default:
		return f.receiveOrder(i, a.(SendOrder))
	}
}

// receiveOrder fails the test if another router has taken the lease.
func (f *leaseSimulation) receiveOrder(i int, a SendOrder) Event {
	if a.Late(f.routers[i].now) {
		return OrderLate{}
	}
	lease := f.versions[len(f.versions)-1]
	if lease.Number != a.Order.Number || lease.Holder != f.routers[i].config.Self {
		f.t.Fatalf("router %d sent an order under number %d while the lease was %+v", i, a.Order.Number, lease)
	}
	f.sentNumbers = append(f.sentNumbers, a.Order.Number)
	return OrderDone{}
}

// advanceClocks moves the clocks of all routers. A suspended one keeps its monotonic
// clock where it was.
func (f *leaseSimulation) advanceClocks(d time.Duration) {
	for i, r := range f.routers {
		r.now.Wall = r.now.Wall.Add(d)
		if i != f.pausedRouter || !f.suspended {
			r.now.Monotonic += d
		}
	}
}

// Three routers all believe that they own an engine that ignores fencing
// numbers. They are paused or suspended for about a minute at any point, also
// between a decision and its send, and the store loses answers and reads old
// replicas. No order may be sent once another router has the lease.
func TestNoOrderOutsideTheLease(t *testing.T) {
	const runs, steps = 300, 3000
	sent, numbers := 0, uint64(0)
	for seed := range uint64(runs) {
		f := newLeaseSimulation(t, seed)
		for range steps {
			f.step()
		}
		sent += len(f.sentNumbers)
		numbers += f.versions[len(f.versions)-1].Number
	}
	t.Logf("%d runs: %d orders under %d fencing numbers", runs, sent, numbers)
	require.Greater(t, sent, 10*runs, "too few orders to prove anything")
	require.Greater(t, numbers, uint64(10*runs), "too few holders to prove anything")
}

func newLeaseSimulation(t *testing.T, seed uint64) *leaseSimulation {
	f := &leaseSimulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), versions: make([]Lease, 1), pausedRouter: -1, pending: make([][]pendingAction, 3)}
	for _, name := range []state.Router{"r1", "r2", "r3"} {
		r := newRouter(name, false)
		r.Step(r.now, wantsModels("m"))
		f.routers = append(f.routers, r)
	}
	return f
}

// step lets a moment pass and one router move, unless it is paused. A paused
// router resumes with whatever it was about to do.
func (f *leaseSimulation) step() {
	if f.random.IntN(200) == 0 {
		f.pausedRouter = f.random.IntN(len(f.routers) + 1)
		f.suspended = f.random.IntN(2) == 0
	}
	f.advanceClocks(time.Duration(f.random.IntN(500)) * time.Millisecond)
	if i := f.random.IntN(len(f.routers)); i != f.pausedRouter {
		f.stepRouter(i)
	}
}

// stepRouter performs an action of a router, or lets it hear an answer or a report of
// the engine, which never comes to hold what is wanted.
func (f *leaseSimulation) stepRouter(i int) {
	r := f.routers[i]
	event := Event(reportsModels())
	if len(f.pending[i]) > 0 && f.random.IntN(4) > 0 {
		next := &f.pending[i][0]
		if next.answer == nil {
			next.answer = f.perform(i, next.action)
			return
		}
		event = next.answer
		f.pending[i] = f.pending[i][1:]
	}
	for _, action := range r.Step(r.now, event) {
		f.pending[i] = append(f.pending[i], pendingAction{action: action})
	}
}
