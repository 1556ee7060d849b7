package fairness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
)

var startTime = time.Unix(1000, 0)

func newTwoWorkspaceLedger(seed uint64) *Ledger {
	l := New(seed)
	for _, w := range []state.Workspace{"a", "b"} {
		l.SetShare(w, 0.5)
		l.SetBacklog(startTime, w, "", true)
	}
	return l
}

func nextWorkspace(t require.TestingT, l *Ledger, models ...state.Model) state.Workspace {
	w, ok := l.Next(models)
	require.True(t, ok)
	return w
}

func TestGrantsAlternateBetweenEqualShares(t *testing.T) {
	l := newTwoWorkspaceLedger(1)
	for range 10 {
		first := nextWorkspace(t, l)
		l.Reserve(first, 100)
		require.NotEqual(t, first, nextWorkspace(t, l))
		l.Reserve(nextWorkspace(t, l), 100)
	}
	l.SetShare("a", 0.75)
	l.SetShare("b", 0.25)
	got := map[state.Workspace]int{}
	for range 100 {
		w := nextWorkspace(t, l)
		got[w]++
		l.Reserve(w, 100)
	}
	require.InDelta(t, 75, got["a"], 1, "a changed share applies to later grants only")
}

// TestOwnGrantsAreExtrapolatedToPeers guards against serving a workspace twice
// over because every owner gives its next slots to the workspace that was
// behind at the last exchange. An owner's own grants must stand in for those of
// its peers until counters of the peers arrive.
func TestOwnGrantsAreExtrapolatedToPeers(t *testing.T) {
	l := newTwoWorkspaceLedger(1)
	peer := Origin{Router: "p", Incarnation: 1}
	l.SetPeers(0.25, []Peer{{Origin: peer, Share: 0.75}})
	l.ReceiveCounters(peer, []Entry{{Workspace: "b", Counter: Counter{Charged: 350}}})
	l.Reindex()
	l.Reserve(nextWorkspace(t, l), 100)
	require.Equal(t, state.Workspace("b"), nextWorkspace(t, l), "a grant of 100 with a quarter of the slots is extrapolated to 400")
	l.ReceiveCounters(peer, nil)
	l.Reindex()
	require.Equal(t, state.Workspace("a"), nextWorkspace(t, l), "the counters show that the peer granted nothing")
}

func TestNextHonoursModels(t *testing.T) {
	l := newTwoWorkspaceLedger(1)
	l.SetBacklog(startTime, "b", "m", true)
	l.Reserve("b", 1000)
	require.Equal(t, state.Workspace("b"), nextWorkspace(t, l, "m"))
	require.Equal(t, state.Workspace("a"), nextWorkspace(t, l, "", "m"))
	l.SetBacklog(startTime, "b", "m", false)
	_, ok := l.Next([]state.Model{"m"})
	require.False(t, ok)
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	for _, c := range []struct {
		idle time.Duration
		lost bool
		kept bool
	}{{idleGrace, false, true}, {time.Minute, false, false}, {time.Minute, true, true}} {
		l := newTwoWorkspaceLedger(1)
		l.SetBacklog(startTime, "b", "", false)
		if c.lost {
			l.DemandLost("b")
		}
		for range 100 {
			l.Reserve("a", 100)
		}
		l.SetBacklog(startTime.Add(c.idle), "b", "", true)
		l.Reserve("b", 200)
		require.Equal(t, c.kept, nextWorkspace(t, l) == "b", "%+v", c)
	}
}

func TestClampBoundsTheWait(t *testing.T) {
	l := newTwoWorkspaceLedger(1)
	peer := Origin{Router: "p", Incarnation: 1}
	l.Charge("b", 1000, 0)
	l.EndPeriod(time.Second)
	l.ReceiveCounters(peer, []Entry{{Workspace: "a", Counter: Counter{Charged: 1e9}}})
	l.Reindex()
	l.EndPeriod(time.Second)
	served := state.Cost(0)
	for nextWorkspace(t, l) == "b" {
		l.Charge("b", 100, 0)
		served += 100
	}
	require.LessOrEqual(t, served, state.Cost(1000*clampWindow.Seconds()/2+100), "workspace b is served ahead of a for at most clampWindow, at its share of one half")
}

// TestNewLedgerAdoptsVirtualTimes covers a router that has just started. It can
// add up all counters, but does not know under which shares they grew or which
// cost was forgiven.
func TestNewLedgerAdoptsVirtualTimes(t *testing.T) {
	old, restarted := newTwoWorkspaceLedger(1), newTwoWorkspaceLedger(1)
	old.Charge("a", 1000, 0)
	old.Charge("b", 400, 0)
	old.SetShare("a", 0.9)
	restarted.SetShare("a", 0.9)
	from := Origin{Router: "p", Incarnation: 1}
	restarted.ReceiveCounters(from, old.OwnEntries())
	restarted.AdoptVirtualTimes(old.OwnEntries())
	require.InDelta(t, old.AccountStatuses()[0].Virtual, restarted.AccountStatuses()[0].Virtual, 1)
	require.Equal(t, []RemovedOrigin{{Origin: from, Entries: withoutVirtual(old.OwnEntries())}}, restarted.RemovedOrigins())
}

func withoutVirtual(entries []Entry) []Entry {
	for i := range entries {
		entries[i].Virtual = 0
	}
	return entries
}

// TestLedgersAgree checks that counters only grow, that old messages do no
// harm, and that two ledgers that received the same counters agree on the total
// of the fleet.
func TestLedgersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := newTwoWorkspaceLedger(1), newTwoWorkspaceLedger(2)
		ox, oy := Origin{Router: "x", Incarnation: 1}, Origin{Router: "y", Incarnation: 1}
		x.SetPeers(0.5, []Peer{{Origin: oy, Share: 0.5}})
		y.SetPeers(0.5, []Peer{{Origin: ox, Share: 0.5}})
		var sent [][]Entry
		charged := map[state.Workspace]state.Cost{}
		t.Repeat(map[string]func(*rapid.T){
			"grant": func(t *rapid.T) { x.Reserve(nextWorkspace(t, x), state.Cost(rapid.IntRange(1, 100).Draw(t, "cost"))) },
			"serve": func(t *rapid.T) {
				cost := state.Cost(rapid.IntRange(1, 100).Draw(t, "cost"))
				x.Charge(nextWorkspace(t, x), cost, -cost)
			},
			"exchange": func(t *rapid.T) {
				sent = append(sent, x.EndPeriod(time.Second))
				y.ReceiveCounters(ox, sent[len(sent)-1])
			},
			"repeat": func(t *rapid.T) {
				if len(sent) > 1 {
					y.ReceiveCounters(ox, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "old")])
					y.ReceiveCounters(ox, x.OwnEntries())
				}
			},
			"": func(t *rapid.T) {
				for _, status := range x.AccountStatuses() {
					require.GreaterOrEqual(t, status.Charged, charged[status.Workspace])
					require.GreaterOrEqual(t, status.Reserved, state.Cost(0))
					charged[status.Workspace] = status.Charged
				}
			},
		})
		y.ReceiveCounters(ox, x.OwnEntries())
		for i, status := range x.AccountStatuses() {
			require.Equal(t, status.Fleet, y.AccountStatuses()[i].Fleet)
		}
	})
}

func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{16, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := New(1)
			for i := range n {
				w := state.Workspace(fmt.Sprint(i))
				l.SetShare(w, 1/float64(n))
				l.SetBacklog(startTime, w, "", true)
			}
			for b.Loop() {
				w, _ := l.Next(nil)
				l.Reserve(w, 1000)
			}
		})
	}
}

// TestLiftIgnoresExtrapolation covers a workspace that returns from idle at the
// start of a burst. When it was lifted to virtual times that include
// extrapolated grants of other owners, it waited for seconds until all others
// had caught up with the worst extrapolation.
func TestLiftIgnoresExtrapolation(t *testing.T) {
	l := newTwoWorkspaceLedger(1)
	l.SetPeers(0.25, []Peer{{Origin: Origin{Router: "p", Incarnation: 1}, Share: 0.75}})
	l.SetBacklog(startTime, "b", "", false)
	l.Reserve("a", 100)
	l.SetBacklog(startTime.Add(time.Minute), "b", "", true)
	for _, e := range l.OwnEntries() {
		if e.Workspace == "b" {
			require.Equal(t, state.Cost(100/0.5), e.Lift, "the cost granted to a by this owner, divided by its share of one half")
			return
		}
	}
	t.Fatal("workspace b was not lifted")
}
