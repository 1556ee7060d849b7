package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// fleet returns routers in turn over data centres.
func fleet(routers, dataCentres int) []scheduler.Peer {
	var peers []scheduler.Peer
	for i := range routers {
		peers = append(peers, scheduler.Peer{
			Router:     state.Router(fmt.Sprintf("r%03d", i)),
			DataCentre: state.DataCentre(fmt.Sprintf("dc%d", i%dataCentres)),
		})
	}
	return peers
}

// run returns a fleet's peers with their first runs.
func run(routers, dataCentres int) []scheduler.Peer {
	live := fleet(routers, dataCentres)
	for i := range live {
		live[i].Incarnation = 1
	}
	return live
}

// A router starts in a running fleet. It asks one peer of its data centre, and
// no other once that has answered, however many sessions open meanwhile.
func TestNewRouterAsksOnePeer(t *testing.T) {
	live := run(20, 4)
	var c CatchUp
	asked := make(map[state.Router]int)
	for i, p := range live[1:] {
		now := after(time.Duration(i) * time.Millisecond)
		c.Session(now, p)
		if router, ok := c.Ask(now, live[0], live); ok {
			asked[router]++
			require.Equal(t, live[0].DataCentre, find(live, router).DataCentre)
			c.Answered(now, router, true)
		}
	}
	require.Len(t, asked, 1)
}

func find(live []scheduler.Peer, router state.Router) scheduler.Peer {
	for _, p := range live {
		if p.Router == router {
			return p
		}
	}
	return scheduler.Peer{}
}

// The peer that was asked falls silent, the next one holds nothing itself. The
// router must go on to one that can tell.
func TestSilentAndEmptyPeersArePassedOver(t *testing.T) {
	live := run(4, 2)
	var c CatchUp
	silent, ok := c.Ask(start, live[0], live)
	require.True(t, ok)
	_, ok = c.Ask(after(answerWithin-1), live[0], live)
	require.False(t, ok)
	empty, ok := c.Ask(after(answerWithin), live[0], live)
	require.True(t, ok)
	require.NotEqual(t, silent, empty)
	c.Answered(after(answerWithin), empty, false)
	last, ok := c.Ask(after(answerWithin+askAgain), live[0], live)
	require.True(t, ok)
	require.NotContains(t, []state.Router{silent, empty}, last)
	c.Answered(after(answerWithin+askAgain), silent, true)
	_, ok = c.Ask(after(3*answerWithin), live[0], live)
	require.False(t, ok, "all were tried; a late answer of another one does not count")
	_, ok = c.Ask(after(3*answerWithin+askAgain), live[0], live)
	require.True(t, ok)
}

// A partition ends: the sessions with peers whose runs were known open anew.
// What they told meanwhile is missing here, so one of them is asked. A peer
// that comes back as a new run holds nothing that this router lacks.
func TestOnlyKnownRunsMayHaveToldSomethingMeanwhile(t *testing.T) {
	live := run(3, 1)
	var c CatchUp
	for _, p := range live[1:] {
		c.Session(start, p)
	}
	router, _ := c.Ask(start, live[0], live)
	c.Answered(start, router, true)

	restarted := live[1]
	restarted.Incarnation = 2
	c.Session(after(time.Second), restarted)
	_, ok := c.Ask(after(time.Second), live[0], live)
	require.False(t, ok)

	c.Session(after(2*time.Second), live[2])
	router, ok = c.Ask(after(2*time.Second), live[0], live)
	require.True(t, ok)
	c.Session(after(2*time.Second+1), restarted)
	c.Answered(after(2*time.Second+2), router, true)
	_, ok = c.Ask(after(2*time.Second+2), live[0], live)
	require.True(t, ok, "a second partition ended after the question")
}

// caughtUp returns a router that lacks nothing.
func caughtUp(t *testing.T, live []scheduler.Peer) *CatchUp {
	t.Helper()
	var c CatchUp
	router, ok := c.Ask(start, live[0], live)
	require.True(t, ok)
	c.Answered(start, router, true)
	return &c
}

// A change is lost between two routers. What the reader holds goes on to differ
// from what is held here, and the reader is asked.
func TestLastingDifferenceAsksWhoKnows(t *testing.T) {
	live := run(9, 3)
	for name, theirs := range map[string]Holding{"configuration": {Config: 4, Upstreams: 7}, "upstreams": {Config: 3, Upstreams: 8}} {
		t.Run(name, func(t *testing.T) {
			c, own := caughtUp(t, live), Holding{Config: 3, Upstreams: 7}
			c.Compare(after(0), "r005", theirs, own)
			_, ok := c.Ask(after(0), live[0], live)
			require.False(t, ok)
			c.Compare(after(lacksFor), "r005", theirs, own)
			router, ok := c.Ask(after(lacksFor), live[0], live)
			require.True(t, ok)
			require.EqualValues(t, "r005", router)
		})
	}
}

// Upstreams come and go all the time, and each look finds another change on its
// way. That asks nobody unless the two are never seen to hold the same.
func TestChangesOnTheirWayAskNobody(t *testing.T) {
	live := run(9, 3)
	c := caughtUp(t, live)
	for i := range uint64(21) {
		now := after(time.Duration(i) * lacksFor)
		own := Holding{Upstreams: i}
		c.Compare(now, "r005", Holding{Upstreams: i + i%4}, own)
		_, ok := c.Ask(now, live[0], live)
		require.False(t, ok)
	}
	for i := range uint64(20) {
		now := after(time.Duration(30+i) * lacksFor)
		c.Compare(now, "r005", Holding{Upstreams: 100 + i}, Holding{Upstreams: i})
		if _, ok := c.Ask(now, live[0], live); ok {
			require.GreaterOrEqual(t, time.Duration(i)*lacksFor, differsFor)
			return
		}
	}
	t.Fatal("a lasting difference was never asked about")
}

// A whole fleet starts. The neighbours that were asked first hold nothing; as
// soon as any peer says that it holds something, that one is asked, and no
// second one while it may still answer.
func TestStartingRouterAsksWhoHoldsSomething(t *testing.T) {
	live := run(9, 3)
	var c CatchUp
	empty, ok := c.Ask(start, live[0], live)
	require.True(t, ok)
	c.Heard(after(1), "r004", Holding{}, Holding{})
	_, ok = c.Ask(after(1), live[0], live)
	require.False(t, ok)
	c.Answered(after(2), empty, false)
	c.Heard(after(3), "r005", Holding{Config: 7}, Holding{})
	router, ok := c.Ask(after(3), live[0], live)
	require.True(t, ok)
	require.EqualValues(t, "r005", router)
	c.Heard(after(4), "r006", Holding{Config: 7}, Holding{})
	_, ok = c.Ask(after(4), live[0], live)
	require.False(t, ok)
	c.Answered(after(5), "r005", true)
	c.Heard(after(6), "r006", Holding{Config: 8}, Holding{Config: 7})
	_, ok = c.Ask(after(time.Minute), live[0], live)
	require.False(t, ok)
}

// A router that reads less than the others holds an older configuration. That
// is its own to mend.
func TestOlderConfigurationElsewhereAsksNobody(t *testing.T) {
	live := run(9, 3)
	c := caughtUp(t, live)
	for i := range 20 {
		c.Compare(after(time.Duration(i)*lacksFor), "r005", Holding{Config: 2}, Holding{Config: 3})
	}
	_, ok := c.Ask(after(time.Minute), live[0], live)
	require.False(t, ok)
}

// A cut has healed, and an upstream may be gone that is still used. Whoever
// follows the store is asked at once and once, other data centres first, and
// the next one only when the first has answered or stays silent.
func TestDoubtAsksEachReaderOnce(t *testing.T) {
	live := run(8, 4)
	c, self := caughtUp(t, live), live[0]
	readers := []scheduler.Peer{find(live, "r004"), find(live, "r001"), find(live, "r002")}
	ask := func(now time.Time) (state.Router, bool) {
		c.Doubt(now, self, readers)
		return c.Ask(now, self, live)
	}
	first, ok := ask(after(0))
	require.True(t, ok)
	require.NotEqualValues(t, "r004", first)
	_, ok = ask(after(answerWithin - 1))
	require.False(t, ok, "it may still answer")
	second, ok := ask(after(answerWithin))
	require.True(t, ok)
	require.NotContains(t, []state.Router{first, "r004"}, second)
	c.Answered(after(answerWithin+1), second, true)
	third, ok := ask(after(answerWithin + 2))
	require.True(t, ok)
	require.EqualValues(t, "r004", third, "its data centre may not have been cut off as a whole")
	c.Answered(after(answerWithin+3), third, true)
	_, ok = ask(after(3 * answerWithin))
	require.False(t, ok, "all have been asked; what they learn later they tell")
}

// A peer that was asked was cut off again, and what it told meanwhile is
// missing. It is asked anew, as are all once another upstream is in doubt.
func TestDoubtAsksAnewAfterASession(t *testing.T) {
	live := run(8, 4)
	c, self := caughtUp(t, live), live[0]
	readers := []scheduler.Peer{find(live, "r001")}
	c.Session(start, readers[0])
	requireAsked := func(now time.Time) {
		t.Helper()
		c.Doubt(now, self, readers)
		router, ok := c.Ask(now, self, live)
		require.True(t, ok)
		require.EqualValues(t, "r001", router)
		c.Answered(now, router, true)
	}
	requireAsked(after(0))
	c.Session(after(1), readers[0])
	requireAsked(after(1))
	c.Doubt(after(2), self, readers)
	_, ok := c.Ask(after(2), self, live)
	require.False(t, ok)
	c.Settled()
	requireAsked(after(3))
}

// A data centre is back after a cut. Its routers ask each other first, who have
// all missed the same, while upstreams that were cut off as well come back one
// by one. A reader that goes on to hold something else is asked without waiting
// for the changes to end.
func TestNeighbourThatMissedTheSameIsNotEnough(t *testing.T) {
	live := run(8, 4)
	c, reader := caughtUp(t, live), find(live, "r001")
	c.Session(start, reader)
	c.Session(after(time.Minute), reader)
	ask := func(at time.Duration, changes uint64) (state.Router, bool) {
		now := after(time.Minute + at)
		c.Compare(now, reader.Router, Holding{Upstreams: 100 + changes}, Holding{Upstreams: changes})
		return c.Ask(now, live[0], live)
	}
	neighbour, ok := ask(0, 1)
	require.True(t, ok)
	require.EqualValues(t, "r004", neighbour)
	c.Answered(after(time.Minute), neighbour, true)
	_, ok = ask(lacksFor-1, 2)
	require.False(t, ok)
	router, ok := ask(lacksFor, 3)
	require.True(t, ok)
	require.Equal(t, reader.Router, router)
}
