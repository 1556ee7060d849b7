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

// fleet returns peers that are assigned to data centres in turn.
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

// runningFleet returns peers with incarnation 1.
func runningFleet(routers, dataCentres int) []scheduler.Peer {
	live := fleet(routers, dataCentres)
	for i := range live {
		live[i].Incarnation = 1
	}
	return live
}

// A router starts in a running fleet. It must ask one peer of its data centre,
// and no other peer after the answer, however many sessions open meanwhile.
func TestNewRouterAsksOnePeer(t *testing.T) {
	live := runningFleet(20, 4)
	var c CatchUp
	asked := make(map[state.Router]int)
	for i, p := range live[1:] {
		now := after(time.Duration(i) * time.Millisecond)
		c.SessionOpened(now, p)
		if router, ok := c.NextPeer(now, live[0], live); ok {
			asked[router]++
			require.Equal(t, live[0].DataCentre, findPeer(live, router).DataCentre)
			c.Answered(now, router, true)
		}
	}
	require.Len(t, asked, 1)
}

func findPeer(live []scheduler.Peer, router state.Router) scheduler.Peer {
	for _, p := range live {
		if p.Router == router {
			return p
		}
	}
	return scheduler.Peer{}
}

// The first asked peer does not answer and the second has no objects. The
// router must go on to a third peer.
func TestSilentAndEmptyPeersAreSkipped(t *testing.T) {
	live := runningFleet(4, 2)
	var c CatchUp
	silent, ok := c.NextPeer(start, live[0], live)
	require.True(t, ok)
	_, ok = c.NextPeer(after(answerTimeout-1), live[0], live)
	require.False(t, ok)
	empty, ok := c.NextPeer(after(answerTimeout), live[0], live)
	require.True(t, ok)
	require.NotEqual(t, silent, empty)
	c.Answered(after(answerTimeout), empty, false)
	last, ok := c.NextPeer(after(answerTimeout+emptyRetryDelay), live[0], live)
	require.True(t, ok)
	require.NotContains(t, []state.Router{silent, empty}, last)
	c.Answered(after(answerTimeout+emptyRetryDelay), silent, true)
	_, ok = c.NextPeer(after(3*answerTimeout), live[0], live)
	require.False(t, ok, "all peers were tried, and a late answer from another peer must not count")
	_, ok = c.NextPeer(after(3*answerTimeout+emptyRetryDelay), live[0], live)
	require.True(t, ok)
}

// A partition ends and sessions open again with peers whose incarnations were
// known. Changes that they sent meanwhile were missed, so one of them is asked.
// A peer with a new incarnation has nothing that this router lacks.
func TestReconnectToAKnownRunTriggersCatchUp(t *testing.T) {
	live := runningFleet(3, 1)
	var c CatchUp
	for _, p := range live[1:] {
		c.SessionOpened(start, p)
	}
	router, _ := c.NextPeer(start, live[0], live)
	c.Answered(start, router, true)

	restarted := live[1]
	restarted.Incarnation = 2
	c.SessionOpened(after(time.Second), restarted)
	_, ok := c.NextPeer(after(time.Second), live[0], live)
	require.False(t, ok)

	c.SessionOpened(after(2*time.Second), live[2])
	router, ok = c.NextPeer(after(2*time.Second), live[0], live)
	require.True(t, ok)
	c.SessionOpened(after(2*time.Second+1), restarted)
	c.Answered(after(2*time.Second+2), router, true)
	_, ok = c.NextPeer(after(2*time.Second+2), live[0], live)
	require.True(t, ok, "a second partition ended after the request was sent")
}

// newCaughtUp returns a CatchUp that lacks no object.
func newCaughtUp(t *testing.T, live []scheduler.Peer) *CatchUp {
	t.Helper()
	var c CatchUp
	router, ok := c.NextPeer(start, live[0], live)
	require.True(t, ok)
	c.Answered(start, router, true)
	return &c
}

// A change is lost between two routers, so a reader's state keeps differing
// from the local state. The router must ask that reader.
func TestLastingDifferenceAsksTheReader(t *testing.T) {
	live := runningFleet(9, 3)
	for name, remote := range map[string]StateSummary{"configuration": {ConfigRevision: 4, UpstreamsDigest: 7}, "upstreams": {ConfigRevision: 3, UpstreamsDigest: 8}} {
		t.Run(name, func(t *testing.T) {
			c, local := newCaughtUp(t, live), StateSummary{ConfigRevision: 3, UpstreamsDigest: 7}
			c.CompareWithReader(after(0), "r005", remote, local)
			_, ok := c.NextPeer(after(0), live[0], live)
			require.False(t, ok)
			c.CompareWithReader(after(steadyDifferenceDelay), "r005", remote, local)
			router, ok := c.NextPeer(after(steadyDifferenceDelay), live[0], live)
			require.True(t, ok)
			require.EqualValues(t, "r005", router)
		})
	}
}

// Upstreams come and go continually, so each comparison finds another change in
// flight. This must trigger no request unless the two states are never seen to
// be equal.
func TestChangesInFlightTriggerNoRequest(t *testing.T) {
	live := runningFleet(9, 3)
	c := newCaughtUp(t, live)
	for i := range uint64(21) {
		now := after(time.Duration(i) * steadyDifferenceDelay)
		local := StateSummary{UpstreamsDigest: i}
		c.CompareWithReader(now, "r005", StateSummary{UpstreamsDigest: i + i%4}, local)
		_, ok := c.NextPeer(now, live[0], live)
		require.False(t, ok)
	}
	for i := range uint64(20) {
		now := after(time.Duration(30+i) * steadyDifferenceDelay)
		c.CompareWithReader(now, "r005", StateSummary{UpstreamsDigest: 100 + i}, StateSummary{UpstreamsDigest: i})
		if _, ok := c.NextPeer(now, live[0], live); ok {
			require.GreaterOrEqual(t, time.Duration(i)*steadyDifferenceDelay, changingDifferenceDelay)
			return
		}
	}
	t.Fatal("a lasting difference triggered no request")
}

// A whole fleet starts. The neighbours that were asked first have no objects.
// As soon as any peer reports that it has some, the router must ask that peer,
// and no second one while the first may still answer.
func TestStartingRouterAsksAPeerWithState(t *testing.T) {
	live := runningFleet(9, 3)
	var c CatchUp
	empty, ok := c.NextPeer(start, live[0], live)
	require.True(t, ok)
	c.SummaryReceived(after(1), "r004", StateSummary{}, StateSummary{})
	_, ok = c.NextPeer(after(1), live[0], live)
	require.False(t, ok)
	c.Answered(after(2), empty, false)
	c.SummaryReceived(after(3), "r005", StateSummary{ConfigRevision: 7}, StateSummary{})
	router, ok := c.NextPeer(after(3), live[0], live)
	require.True(t, ok)
	require.EqualValues(t, "r005", router)
	c.SummaryReceived(after(4), "r006", StateSummary{ConfigRevision: 7}, StateSummary{})
	_, ok = c.NextPeer(after(4), live[0], live)
	require.False(t, ok)
	c.Answered(after(5), "r005", true)
	c.SummaryReceived(after(6), "r006", StateSummary{ConfigRevision: 8}, StateSummary{ConfigRevision: 7})
	_, ok = c.NextPeer(after(time.Minute), live[0], live)
	require.False(t, ok)
}

// A peer that has fallen behind has an older configuration. The peer has to
// fetch the newer one; this router must not ask it.
func TestOlderRemoteConfigurationTriggersNoRequest(t *testing.T) {
	live := runningFleet(9, 3)
	c := newCaughtUp(t, live)
	for i := range 20 {
		c.CompareWithReader(after(time.Duration(i)*steadyDifferenceDelay), "r005", StateSummary{ConfigRevision: 2}, StateSummary{ConfigRevision: 3})
	}
	_, ok := c.NextPeer(after(time.Minute), live[0], live)
	require.False(t, ok)
}

// A cut has healed, and an upstream that is still used may have been removed.
// Each reader must be asked once and without delay, other data centres first,
// and the next one only after an answer or a timeout.
func TestSuspectUpstreamsAsksEachReaderOnce(t *testing.T) {
	live := runningFleet(8, 4)
	c, self := newCaughtUp(t, live), live[0]
	readers := []scheduler.Peer{findPeer(live, "r004"), findPeer(live, "r001"), findPeer(live, "r002")}
	ask := func(now time.Time) (state.Router, bool) {
		c.SuspectUpstreams(now, self, readers)
		return c.NextPeer(now, self, live)
	}
	first, ok := ask(after(0))
	require.True(t, ok)
	require.NotEqualValues(t, "r004", first)
	_, ok = ask(after(answerTimeout - 1))
	require.False(t, ok, "the first reader may still answer")
	second, ok := ask(after(answerTimeout))
	require.True(t, ok)
	require.NotContains(t, []state.Router{first, "r004"}, second)
	c.Answered(after(answerTimeout+1), second, true)
	third, ok := ask(after(answerTimeout + 2))
	require.True(t, ok)
	require.EqualValues(t, "r004", third, "the reader in the same data centre comes last")
	c.Answered(after(answerTimeout+3), third, true)
	_, ok = ask(after(3 * answerTimeout))
	require.False(t, ok, "all readers were asked, and they announce later changes themselves")
}

// A reader that was asked is cut off again, so changes it sent meanwhile are
// missing. It must be asked again, and so must all readers once another
// upstream is suspected.
func TestSuspectUpstreamsAsksAgainAfterASession(t *testing.T) {
	live := runningFleet(8, 4)
	c, self := newCaughtUp(t, live), live[0]
	readers := []scheduler.Peer{findPeer(live, "r001")}
	c.SessionOpened(start, readers[0])
	requireAsked := func(now time.Time) {
		t.Helper()
		c.SuspectUpstreams(now, self, readers)
		router, ok := c.NextPeer(now, self, live)
		require.True(t, ok)
		require.EqualValues(t, "r001", router)
		c.Answered(now, router, true)
	}
	requireAsked(after(0))
	c.SessionOpened(after(1), readers[0])
	requireAsked(after(1))
	c.SuspectUpstreams(after(2), self, readers)
	_, ok := c.NextPeer(after(2), self, live)
	require.False(t, ok)
	c.ClearSuspicion()
	requireAsked(after(3))
}

// A data centre returns after a cut. Its routers, which have all missed the
// same changes, ask each other first, while upstreams that were cut off too
// return one by one. A reader with a lasting difference must be asked before
// these changes end.
func TestReaderIsAskedAfterANeighbourWithTheSameGap(t *testing.T) {
	live := runningFleet(8, 4)
	c, reader := newCaughtUp(t, live), findPeer(live, "r001")
	c.SessionOpened(start, reader)
	c.SessionOpened(after(time.Minute), reader)
	ask := func(at time.Duration, changes uint64) (state.Router, bool) {
		now := after(time.Minute + at)
		c.CompareWithReader(now, reader.Router, StateSummary{UpstreamsDigest: 100 + changes}, StateSummary{UpstreamsDigest: changes})
		return c.NextPeer(now, live[0], live)
	}
	neighbour, ok := ask(0, 1)
	require.True(t, ok)
	require.EqualValues(t, "r004", neighbour)
	c.Answered(after(time.Minute), neighbour, true)
	_, ok = ask(steadyDifferenceDelay-1, 2)
	require.False(t, ok)
	router, ok := ask(steadyDifferenceDelay, 3)
	require.True(t, ok)
	require.Equal(t, reader.Router, router)
}

// A link opens to a peer that received a change earlier, and no change is sent
// twice. The router must fetch what the peer holds, also while it waits for the
// answer of another peer.
func TestNewLinkToAPeerWithOtherObjectsAsksIt(t *testing.T) {
	live := runningFleet(9, 3)
	local := StateSummary{ConfigRevision: 3, UpstreamsDigest: 7}
	for name, remote := range map[string]StateSummary{"configuration": {ConfigRevision: 4, UpstreamsDigest: 7}, "upstreams": {ConfigRevision: 3, UpstreamsDigest: 8}} {
		t.Run(name, func(t *testing.T) {
			c := newCaughtUp(t, live)
			c.LinkOpened(after(1), "r001", remote, local)
			first, ok := c.NextPeer(after(1), live[0], live)
			require.True(t, ok)
			require.EqualValues(t, "r001", first)
			c.LinkOpened(after(2), "r002", remote, local)
			second, ok := c.NextPeer(after(2), live[0], live)
			require.True(t, ok)
			require.EqualValues(t, "r002", second)
		})
	}
	c := newCaughtUp(t, live)
	c.LinkOpened(after(1), "r001", local, local)
	c.LinkOpened(after(1), "r002", StateSummary{ConfigRevision: 2, UpstreamsDigest: 7}, local)
	_, ok := c.NextPeer(after(1), live[0], live)
	require.False(t, ok, "the peers have nothing that this router lacks")
}

// The session with the asked peer ends. The router must ask another one at once
// instead of waiting for an answer that cannot come.
func TestLostPeerIsReplacedAtOnce(t *testing.T) {
	live := runningFleet(4, 2)
	var c CatchUp
	first, ok := c.NextPeer(start, live[0], live)
	require.True(t, ok)
	c.PeerLost(first)
	second, ok := c.NextPeer(after(1), live[0], live)
	require.True(t, ok)
	require.NotEqual(t, first, second)

	var f Fetch
	f.Announced("a", 5, 4)
	f.Announced("b", 5, 4)
	asked, _ := f.NextPeer(start, 4)
	f.PeerLost(asked)
	other, ok := f.NextPeer(after(1), 4)
	require.True(t, ok)
	require.NotEqual(t, asked, other)
}
