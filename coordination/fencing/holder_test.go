package fencing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// router is a Holder under test with its clocks.
type router struct {
	*Holder
	now Instant
}

func newRouter(name state.Router, checksFencing bool) *router {
	now := Instant{Monotonic: time.Hour, Wall: time.Unix(1_000_000, 0)}
	config := Config{Self: name, Incarnation: 1, ChecksFencing: checksFencing, Timing: DefaultTiming()}
	return &router{Holder: NewHolder(config, now), now: now}
}

// stepAfter advances both clocks and processes one event.
func (r *router) stepAfter(d time.Duration, event Event) []Action {
	r.now.Monotonic += d
	r.now.Wall = r.now.Wall.Add(d)
	return r.Step(r.now, event)
}

// tickSeconds sends one Tick a second, as the host of a running process does,
// and expects no action.
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

// waitingForLease returns a router that has asked for the lease in order to
// load model m.
func waitingForLease(name state.Router, checksFencing bool) *router {
	r := newRouter(name, checksFencing)
	r.stepAfter(0, wantsModels("m"))
	r.stepAfter(0, reportsModels())
	return r
}

// readyToOrder returns a router that holds the lease, and its first order,
// which loads model m.
func readyToOrder(t *testing.T, checksFencing bool) (*router, SendOrder) {
	t.Helper()
	r := waitingForLease("r1", checksFencing)
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 8), Expected: 40}}, r.stepAfter(0, LeaseRead{Lease: Lease{Number: 7}, Version: 40}))
	return r, r.firstOrder(r.stepAfter(0, LeaseWritten{Version: 41}))
}

func TestOrdersUntilTheReportShowsTheDesiredState(t *testing.T) {
	r, order := readyToOrder(t, false)
	require.Equal(t, Order{Kind: LoadModel, Model: "m", Number: 8}, order.Order)
	require.Equal(t, 10*time.Second, order.Within)
	require.Empty(t, r.stepAfter(time.Second, OrderDone{}))
	require.Empty(t, r.stepAfter(time.Second, reportsModels()), "a report from before the order took effect must not lead to a second order")
	require.Empty(t, r.stepAfter(time.Second, Tick{}))
	require.Equal(t, []Action{WriteLease{Lease: Lease{Number: 8}, Expected: 41}}, r.stepAfter(time.Second, reportsModels("m")))
	require.Empty(t, r.stepAfter(0, LeaseWritten{Version: 42}))
	require.Zero(t, r.Number())
}

// The store takes eight seconds to answer a write. The lease must count from
// when the write was sent, so most of its duration has passed.
func TestLeaseCountsFromWhenTheWriteWasSent(t *testing.T) {
	r := waitingForLease("r1", false)
	r.stepAfter(0, LeaseRead{})
	sentAt := r.now
	r.tickSeconds(t, 8)
	order := r.firstOrder(r.stepAfter(0, LeaseWritten{Version: 1}))
	require.Equal(t, sentAt, order.Since)
	require.False(t, order.Late(r.now))
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 1), Expected: 1}}, r.stepAfter(2*time.Second, Tick{}))
	require.True(t, order.Late(r.now))
}

// No report arrives for twelve seconds after an order. The lease is then too
// old for the next order and must be renewed first.
func TestOldLeaseIsRenewedBeforeAnOrder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		r, _ := readyToOrder(t, checksFencing)
		require.Empty(t, r.stepAfter(0, OrderDone{}))
		r.tickSeconds(t, 12)
		actions := r.stepAfter(0, reportsModels())
		if checksFencing {
			require.IsType(t, SendOrder{}, actions[0])
			continue
		}
		require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 8), Expected: 41}}, actions)
		require.IsType(t, SendOrder{}, r.stepAfter(0, LeaseWritten{Version: 42})[0])
	}
}

// A load takes long and the answer to a renewal is lost. The renewal must be
// repeated; otherwise another router would find the lease expired and send
// orders too.
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

// A model never loads, for example because its weights are damaged. It must be
// retried with growing delays, and the next model must load meanwhile.
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
	require.IsType(t, WriteLease{}, r.stepAfter(0, reportsModels("n"))[0], "a lease that is not needed for some seconds must be released")
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
	restartReport := ReportReceived{Report: state.LoadReport{Boot: "b2"}}
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 2), Expected: 2}}, r.stepAfter(time.Second, restartReport))
}

func TestForeignLeaseIsTakenOnceUnchangedForItsDuration(t *testing.T) {
	r := waitingForLease("r2", false)
	foreignLease := LeaseRead{Lease: leaseOf("r1", 3), Version: 9}
	require.Empty(t, r.stepAfter(0, foreignLease))
	for range 2 {
		r.stepAfter(time.Second, Tick{})
		r.stepAfter(time.Second, Tick{})
		require.Equal(t, []Action{ReadLease{}}, r.stepAfter(time.Second, Tick{}))
		require.Empty(t, r.stepAfter(0, LeaseRead{Version: 8}), "an outdated replica must not end the wait")
		require.Equal(t, []Action{ReadLease{}}, r.stepAfter(3*time.Second, Tick{}))
		require.Empty(t, r.stepAfter(0, foreignLease))
	}
	r.stepAfter(time.Second, Tick{})
	r.stepAfter(time.Second, Tick{})
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r2", 4), Expected: 9}}, r.stepAfter(time.Second, Tick{}))
}

// The wall clock of a waiting router is set forward by an hour and then runs at
// three times its speed. The lease must not appear expired, because its holder
// still relies on it.
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

// The holder is paused between deciding on an order and sending it. Only its
// wall clock shows the pause, as the monotonic clock had stopped. The order
// must be found late, and the lease must be read and written again before the
// next order.
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
// reports success, but the write took place before the pause and must not
// count.
func TestLeaseWrittenBeforeAPauseDoesNotCount(t *testing.T) {
	r := waitingForLease("r1", false)
	require.IsType(t, WriteLease{}, r.stepAfter(0, LeaseRead{})[0])
	require.Empty(t, r.stepAfter(5*time.Second, LeaseWritten{Version: 1}))
	require.Zero(t, r.Number())
}

// A write of the lease takes effect but its answer is lost. The router reads
// back its own name and must write successfully once more before it sends an
// order.
func TestLostAnswerIsResolvedByAnotherWrite(t *testing.T) {
	r := waitingForLease("r1", false)
	r.stepAfter(0, LeaseRead{})
	require.Empty(t, r.stepAfter(0, LeaseFailed{}))
	r.stepAfter(time.Second, Tick{})
	require.Equal(t, []Action{ReadLease{}}, r.stepAfter(time.Second, Tick{}))
	require.Equal(t, []Action{WriteLease{Lease: leaseOf("r1", 1), Expected: 5}}, r.stepAfter(0, LeaseRead{Lease: leaseOf("r1", 1), Version: 5}))
	require.Equal(t, uint64(1), r.firstOrder(r.stepAfter(0, LeaseWritten{Version: 6})).Order.Number)
}

// pendingAction is an action that was returned by Step, and its answer once the
// action has been performed.
type pendingAction struct {
	action Action
	answer Event
}

// leaseSimulation simulates a lease object, an engine that ignores fencing
// numbers, and routers that are paused, lose answers and read from outdated
// replicas at random.
type leaseSimulation struct {
	t       *testing.T
	random  *rand.Rand
	routers []*router
	// pausedRouter is the index of the paused router; an index out of range
	// means that all routers run.
	pausedRouter int
	suspended    bool
	pending      [][]pendingAction
	// versions holds every lease that was written, indexed by version.
	versions    []Lease
	sentNumbers []uint64
}

// perform performs one pending action of a router and returns its answer.
func (s *leaseSimulation) perform(i int, action Action) Event {
	switch a := action.(type) {
	case ReadLease:
		version := len(s.versions) - 1
		if s.random.IntN(3) == 0 {
			version = s.random.IntN(version + 1)
		}
		return LeaseRead{Lease: s.versions[version], Version: uint64(version)}
	case WriteLease:
		if s.random.IntN(10) == 0 {
			return LeaseFailed{}
		}
		if a.Expected != uint64(len(s.versions)-1) {
			return LeaseConflict{}
		}
		s.versions = append(s.versions, a.Lease)
		if s.random.IntN(10) == 0 {
			return LeaseFailed{}
		}
		return LeaseWritten{Version: uint64(len(s.versions) - 1)}
	default:
		return s.receiveOrder(i, a.(SendOrder))
	}
}

// receiveOrder fails the test if the order arrives while another router holds
// the lease.
func (s *leaseSimulation) receiveOrder(i int, a SendOrder) Event {
	if a.Late(s.routers[i].now) {
		return OrderLate{}
	}
	lease := s.versions[len(s.versions)-1]
	if lease.Number != a.Order.Number || lease.Holder != s.routers[i].config.Self {
		s.t.Fatalf("router %d sent an order under number %d while the lease was %+v", i, a.Order.Number, lease)
	}
	s.sentNumbers = append(s.sentNumbers, a.Order.Number)
	return OrderDone{}
}

// advanceClocks advances the clocks of all routers. The monotonic clock of a
// suspended router does not advance.
func (s *leaseSimulation) advanceClocks(d time.Duration) {
	for i, r := range s.routers {
		r.now.Wall = r.now.Wall.Add(d)
		if i != s.pausedRouter || !s.suspended {
			r.now.Monotonic += d
		}
	}
}

// Three routers all assume that they control an engine which ignores fencing
// numbers. They are paused or suspended for about a minute at random points,
// also between a decision and its send. The store loses answers and reads
// outdated replicas. No order may be sent once another router has the lease.
func TestNoOrderOutsideTheLease(t *testing.T) {
	const runs, steps = 300, 3000
	ordersSent, fencingNumbers := 0, uint64(0)
	for seed := range uint64(runs) {
		s := newLeaseSimulation(t, seed)
		for range steps {
			s.step()
		}
		ordersSent += len(s.sentNumbers)
		fencingNumbers += s.versions[len(s.versions)-1].Number
	}
	t.Logf("%d runs: %d orders under %d fencing numbers", runs, ordersSent, fencingNumbers)
	require.Greater(t, ordersSent, 10*runs, "too few orders for a meaningful test")
	require.Greater(t, fencingNumbers, uint64(10*runs), "too few changes of the holder for a meaningful test")
}

func newLeaseSimulation(t *testing.T, seed uint64) *leaseSimulation {
	s := &leaseSimulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), versions: make([]Lease, 1), pausedRouter: -1, pending: make([][]pendingAction, 3)}
	for _, name := range []state.Router{"r1", "r2", "r3"} {
		r := newRouter(name, false)
		r.Step(r.now, wantsModels("m"))
		s.routers = append(s.routers, r)
	}
	return s
}

// step advances the time and lets one router make a move unless it is paused. A
// paused router later continues with its pending actions.
func (s *leaseSimulation) step() {
	if s.random.IntN(200) == 0 {
		s.pausedRouter = s.random.IntN(len(s.routers) + 1)
		s.suspended = s.random.IntN(2) == 0
	}
	s.advanceClocks(time.Duration(s.random.IntN(500)) * time.Millisecond)
	if i := s.random.IntN(len(s.routers)); i != s.pausedRouter {
		s.stepRouter(i)
	}
}

// stepRouter performs a pending action of a router, or delivers an answer or a
// load report to it. The reported engine never reaches the desired state.
func (s *leaseSimulation) stepRouter(i int) {
	r := s.routers[i]
	event := Event(reportsModels())
	if len(s.pending[i]) > 0 && s.random.IntN(4) > 0 {
		next := &s.pending[i][0]
		if next.answer == nil {
			next.answer = s.perform(i, next.action)
			return
		}
		event = next.answer
		s.pending[i] = s.pending[i][1:]
	}
	for _, action := range r.Step(r.now, event) {
		s.pending[i] = append(s.pending[i], pendingAction{action: action})
	}
}
