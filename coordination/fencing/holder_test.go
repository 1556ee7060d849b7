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
	config := Config{Self: name, Incarnation: 1, ChecksNumber: checks, Timing: DefaultTiming()}
	return &router{Holder: NewHolder(config, now), now: now}
}

// after moves both clocks and takes one event.
func (r *router) after(d time.Duration, event Event) []Action {
	r.now.Monotonic += d
	r.now.Wall = r.now.Wall.Add(d)
	return r.Step(r.now, event)
}

// ticks lets time pass the way a running process sees it.
func (r *router) ticks(t *testing.T, seconds int) {
	t.Helper()
	for range seconds {
		require.Empty(t, r.after(time.Second, Tick{}))
	}
}

func (r *router) order(actions []Action) SendOrder { return actions[0].(SendOrder) }

func own(name state.Router, number uint64) Lease {
	return Lease{Holder: name, Incarnation: 1, Number: number, DurationMs: 15_000}
}

func holds(models ...state.Model) Reported {
	return Reported{Report: state.LoadReport{Boot: "b1", Models: models}}
}

func wants(models ...state.Model) Wanted { return Wanted{Wish: &Wish{Models: models}} }

// wanting returns a router that has asked for the lease to load m.
func wanting(name state.Router, checks bool) *router {
	r := newRouter(name, checks)
	r.after(0, wants("m"))
	r.after(0, holds())
	return r
}

// ready brings a router to the point of its first order, load m.
func ready(t *testing.T, checks bool) (*router, SendOrder) {
	t.Helper()
	r := wanting("r1", checks)
	require.Equal(t, []Action{WriteLease{Lease: own("r1", 8), Expected: 40}}, r.after(0, LeaseRead{Lease: Lease{Number: 7}, Version: 40}))
	return r, r.order(r.after(0, LeaseWritten{Version: 41}))
}

func TestOrdersUntilTheReportShowsTheWish(t *testing.T) {
	r, order := ready(t, false)
	require.Equal(t, Order{Kind: LoadModel, Model: "m", Number: 8}, order.Order)
	require.Equal(t, 10*time.Second, order.Within)
	require.Empty(t, r.after(time.Second, OrderDone{}))
	require.Empty(t, r.after(time.Second, holds()), "a report from before the order's effect must not repeat it")
	require.Empty(t, r.after(time.Second, Tick{}))
	require.Equal(t, []Action{WriteLease{Lease: Lease{Number: 8}, Expected: 41}}, r.after(time.Second, holds("m")))
	require.Empty(t, r.after(0, LeaseWritten{Version: 42}))
	require.Zero(t, r.Number())
}

// An answer of the store takes eight seconds. The lease counts from when the
// write was sent, so that most of it is gone.
func TestLeaseCountsFromTheSend(t *testing.T) {
	r := wanting("r1", false)
	r.after(0, LeaseRead{})
	sent := r.now
	r.ticks(t, 8)
	order := r.order(r.after(0, LeaseWritten{Version: 1}))
	require.Equal(t, sent, order.Since)
	require.False(t, order.Late(r.now))
	require.Equal(t, []Action{WriteLease{Lease: own("r1", 1), Expected: 1}}, r.after(2*time.Second, Tick{}))
	require.True(t, order.Late(r.now))
}

// An engine is silent for twelve seconds after an order. The lease is too old
// for the next order then and is renewed first.
func TestOldLeaseIsRenewedBeforeAnOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		r, _ := ready(t, checks)
		require.Empty(t, r.after(0, OrderDone{}))
		r.ticks(t, 12)
		actions := r.after(0, holds())
		if checks {
			require.IsType(t, SendOrder{}, actions[0])
			continue
		}
		require.Equal(t, []Action{WriteLease{Lease: own("r1", 8), Expected: 41}}, actions)
		require.IsType(t, SendOrder{}, r.after(0, LeaseWritten{Version: 42})[0])
	}
}

// A load takes long and the answer to a renewal is lost. The renewal is tried
// again, or another router would find the lease lapsed and order beside it.
func TestLostRenewalIsRepeatedWhileAnOrderRuns(t *testing.T) {
	r, _ := ready(t, false)
	r.ticks(t, 3)
	renewal := []Action{WriteLease{Lease: own("r1", 8), Expected: 41}}
	require.Equal(t, renewal, r.after(time.Second, Tick{}))
	require.Empty(t, r.after(0, LeaseFailed{}))
	require.Empty(t, r.after(time.Second, Tick{}))
	require.Equal(t, []Action{ReadLease{}}, r.after(time.Second, Tick{}))
	require.Equal(t, renewal, r.after(0, LeaseRead{Lease: own("r1", 8), Version: 41}))
	require.Empty(t, r.after(0, LeaseWritten{Version: 42}))
	require.Equal(t, uint64(8), r.Number())
}

// A model never loads, for example because its weights are broken. It is tried
// again less and less often, and the model behind it loads meanwhile.
func TestFailingLoadBacksOffAndHoldsUpNothing(t *testing.T) {
	r, order := ready(t, true)
	require.Empty(t, r.after(0, wants("m", "n")))
	require.Empty(t, r.after(0, OrderFailed{}))
	r.ticks(t, 3)
	order = r.order(r.after(0, holds()))
	require.Equal(t, state.Model("n"), order.Order.Model)
	require.Empty(t, r.after(0, OrderDone{}))
	r.ticks(t, 3)
	require.Equal(t, state.Model("m"), r.order(r.after(0, holds("n"))).Order.Model)
	require.Empty(t, r.after(0, OrderFailed{}))
	r.ticks(t, 3)
	require.IsType(t, WriteLease{}, r.after(0, holds("n"))[0], "a lease that is not needed for seconds is released")
}

func TestRoleIsSetOncePerBoot(t *testing.T) {
	r := newRouter("r1", true)
	r.after(0, Wanted{Wish: &Wish{Role: "prefill"}})
	r.after(0, holds())
	r.after(0, LeaseRead{})
	require.Equal(t, Order{Kind: SetRole, Role: "prefill", Number: 1}, r.order(r.after(0, LeaseWritten{Version: 1})).Order)
	require.Empty(t, r.after(0, OrderDone{}))
	r.ticks(t, 3)
	require.Equal(t, []Action{WriteLease{Lease: Lease{Number: 1}, Expected: 1}}, r.after(0, holds()))
	require.Empty(t, r.after(0, LeaseWritten{Version: 2}))
	restarted := Reported{Report: state.LoadReport{Boot: "b2"}}
	require.Equal(t, []Action{WriteLease{Lease: own("r1", 2), Expected: 2}}, r.after(time.Second, restarted))
}

func TestLeaseOfAnotherIsTakenOnceItStoodStillForItsLength(t *testing.T) {
	r := wanting("r2", false)
	foreign := LeaseRead{Lease: own("r1", 3), Version: 9}
	require.Empty(t, r.after(0, foreign))
	for range 2 {
		r.after(time.Second, Tick{})
		r.after(time.Second, Tick{})
		require.Equal(t, []Action{ReadLease{}}, r.after(time.Second, Tick{}))
		require.Empty(t, r.after(0, LeaseRead{Version: 8}), "an old replica")
		require.Equal(t, []Action{ReadLease{}}, r.after(3*time.Second, Tick{}))
		require.Empty(t, r.after(0, foreign))
	}
	r.after(time.Second, Tick{})
	r.after(time.Second, Tick{})
	require.Equal(t, []Action{WriteLease{Lease: own("r2", 4), Expected: 9}}, r.after(time.Second, Tick{}))
}

// The wall clock of a contender is set forward by an hour, and then runs at
// three times its speed. The lease it waits for must not look over, for its
// holder still counts on it.
func TestSetClockDoesNotEndALease(t *testing.T) {
	r := wanting("r2", false)
	r.after(0, LeaseRead{Lease: own("r1", 3), Version: 9})
	r.now.Wall = r.now.Wall.Add(time.Hour)
	require.Empty(t, r.after(3*time.Second, Tick{}))
	require.Equal(t, []Action{ReadLease{}}, r.after(0, holds()))
	require.Empty(t, r.after(0, LeaseRead{Lease: own("r1", 3), Version: 9}))
	for range 14 {
		r.now.Wall = r.now.Wall.Add(2 * time.Second)
		for _, action := range r.after(time.Second, holds()) {
			require.Equal(t, ReadLease{}, action)
			require.Empty(t, r.after(0, LeaseRead{Lease: own("r1", 3), Version: 9}))
		}
	}
}

// The holder is paused after it decided on an order and before the order is
// sent. Its monotonic clock stood still meanwhile, only the wall clock shows
// the pause. The order must be found late, and the lease be read again and
// won again by a write before the next one.
func TestPausedHolderMustWinItsLeaseAgain(t *testing.T) {
	r, order := ready(t, false)
	r.now.Wall = r.now.Wall.Add(time.Minute)
	require.True(t, order.Late(r.now))
	require.Empty(t, r.after(0, OrderLate{}))
	require.Empty(t, r.after(3*time.Second, Tick{}))
	require.Equal(t, []Action{ReadLease{}}, r.after(0, holds()))
	require.Zero(t, r.Number())
	require.Equal(t, []Action{WriteLease{Lease: own("r1", 8), Expected: 41}}, r.after(0, LeaseRead{Lease: own("r1", 8), Version: 41}))
	require.Empty(t, r.after(0, LeaseConflict{}))
	require.Zero(t, r.Number())
}

// The holder is paused while its write of the lease is under way. The answer
// says that it won, but that was before the pause, so it proves nothing.
func TestAnswerFromBeforeAPauseMakesNoHolder(t *testing.T) {
	r := wanting("r1", false)
	require.IsType(t, WriteLease{}, r.after(0, LeaseRead{})[0])
	require.Empty(t, r.after(5*time.Second, LeaseWritten{Version: 1}))
	require.Zero(t, r.Number())
}

// A write of the lease takes effect but its answer is lost. The router reads
// its own name back and still has to win a write before it gives an order.
func TestLostAnswerIsSettledByAnotherWrite(t *testing.T) {
	r := wanting("r1", false)
	r.after(0, LeaseRead{})
	require.Empty(t, r.after(0, LeaseFailed{}))
	r.after(time.Second, Tick{})
	require.Equal(t, []Action{ReadLease{}}, r.after(time.Second, Tick{}))
	require.Equal(t, []Action{WriteLease{Lease: own("r1", 1), Expected: 5}}, r.after(0, LeaseRead{Lease: own("r1", 1), Version: 5}))
	require.Equal(t, uint64(1), r.order(r.after(0, LeaseWritten{Version: 6})).Order.Number)
}

// call is an action under way, and its answer once it was performed.
type call struct {
	action Action
	answer Event
}

// fleet is a lease object, an engine that ignores fencing numbers, and routers
// that are paused, lose answers and read from old replicas at random.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	routers []*router
	// paused is the router that does not run; none if out of range.
	paused    int
	suspended bool
	pending   [][]call
	// versions holds every lease written, by version.
	versions []Lease
	sent     []uint64
}

// perform does one pending action of a router and returns its answer.
func (f *fleet) perform(i int, action Action) Event {
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
		return f.order(i, a.(SendOrder))
	}
}

// order fails the test if another router has taken the lease.
func (f *fleet) order(i int, a SendOrder) Event {
	if a.Late(f.routers[i].now) {
		return OrderLate{}
	}
	lease := f.versions[len(f.versions)-1]
	if lease.Number != a.Order.Number || lease.Holder != f.routers[i].config.Self {
		f.t.Fatalf("router %d sent an order under number %d while the lease was %+v", i, a.Order.Number, lease)
	}
	f.sent = append(f.sent, a.Order.Number)
	return OrderDone{}
}

// pass moves the clocks of all routers. A suspended one keeps its monotonic
// clock where it was.
func (f *fleet) pass(d time.Duration) {
	for i, r := range f.routers {
		r.now.Wall = r.now.Wall.Add(d)
		if i != f.paused || !f.suspended {
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
		f := newFleet(t, seed)
		for range steps {
			f.step()
		}
		sent += len(f.sent)
		numbers += f.versions[len(f.versions)-1].Number
	}
	t.Logf("%d runs: %d orders under %d fencing numbers", runs, sent, numbers)
	require.Greater(t, sent, 10*runs, "too few orders to prove anything")
	require.Greater(t, numbers, uint64(10*runs), "too few holders to prove anything")
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 0)), versions: make([]Lease, 1), paused: -1, pending: make([][]call, 3)}
	for _, name := range []state.Router{"r1", "r2", "r3"} {
		r := newRouter(name, false)
		r.Step(r.now, wants("m"))
		f.routers = append(f.routers, r)
	}
	return f
}

// step lets a moment pass and one router move, unless it is paused. A paused
// router resumes with whatever it was about to do.
func (f *fleet) step() {
	if f.random.IntN(200) == 0 {
		f.paused = f.random.IntN(len(f.routers) + 1)
		f.suspended = f.random.IntN(2) == 0
	}
	f.pass(time.Duration(f.random.IntN(500)) * time.Millisecond)
	if i := f.random.IntN(len(f.routers)); i != f.paused {
		f.move(i)
	}
}

// move performs an action of a router, or lets it hear an answer or a report of
// the engine, which never comes to hold what is wanted.
func (f *fleet) move(i int) {
	r := f.routers[i]
	event := Event(holds())
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
		f.pending[i] = append(f.pending[i], call{action: action})
	}
}
