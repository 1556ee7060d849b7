package edge

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

var errSilent = errors.New("silent")

// newConfiguredNetwork returns a network in which all routers hold a
// configuration.
func newConfiguredNetwork(routers, dataCentres int) *network {
	n := newNetwork(routers, dataCentres)
	for _, one := range n.nodes {
		one.fixture.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
	}
	return n
}

// deliverFromStore gives routers that follow the store an object, which they pass on.
func (n *network) deliverFromStore(o Object, routers ...state.Router) {
	for _, router := range routers {
		one := n.nodes[router]
		one.fleet.readingStore = true
		one.fleet.onStoreAnswer()
		if one.fixture.catalogue.applyObject(KindUpstream, o, sourceStore) {
			one.fleet.publishObjects(KindUpstream, []Object{o})
		}
	}
}

// disconnectStore takes the store away from routers.
func (n *network) disconnectStore(routers ...state.Router) {
	for _, router := range routers {
		n.nodes[router].fleet.onStoreFailure()
		n.nodes[router].fixture.catalogue.markStoreUnavailable(errSilent)
	}
}

// reconnectStore gives the store back to a router, which lists it anew.
func (n *network) reconnectStore(router state.Router, at uint64, listed ...Object) {
	one := n.nodes[router]
	one.fixture.catalogue.markStoreAvailable()
	one.fleet.readingStore = true
	one.fleet.onStoreAnswer()
	if changed := one.fixture.catalogue.replaceUpstreams(listed, at, sourceStore); len(changed) > 0 {
		one.fleet.publishObjects(KindUpstream, changed)
	}
}

// advanceReading lets time pass while routers go on reading the store.
func (n *network) advanceReading(d time.Duration, routers ...state.Router) {
	for range d / tickInterval {
		for _, router := range routers {
			n.nodes[router].fleet.onStoreAnswer()
		}
		n.advance(tickInterval)
	}
}

// usableUpstreams counts the upstreams that a router uses, without the engines that
// each router of the network begins with.
func (n *network) usableUpstreams(router state.Router) int {
	return n.nodes[router].fixture.usableUpstreams() - 4
}

// A caller's request reached an engine 2.9 s after it had said that it leaves.
// A data centre was cut off, so that the entry of an engine in it lapsed; the
// routers outside, which reached the store all the time, took it as gone. The
// cut healed, the engine said that it leaves, and a router of the data centre
// reached the store again, which held no entry. It logged "upstream may have
// lapsed" and used the engine for another 2.2 s, as if the store had been
// away; but the router was, and its peers knew that the engine was gone.
func TestEngineRemovedDuringAPartitionIsNotKept(t *testing.T) {
	n := newConfiguredNetwork(8, 4)
	outside := []state.Router{"r001", "r002", "r003"}
	n.deliverFromStore(upstreamObject("u", 23, false), outside...)
	n.advanceReading(time.Second, outside...)
	require.Equal(t, 1, n.usableUpstreams("r000"))

	n.partitioned = "0"
	n.updateSessions()
	n.disconnectStore("r000", "r004")
	n.advanceReading(3*time.Second, outside...)
	n.deliverFromStore(removal("u", 47), outside...)
	n.advanceReading(3*time.Second, outside...)
	require.Equal(t, 1, n.usableUpstreams("r000"), "a data centre that is cut off goes on serving")
	require.Zero(t, n.usableUpstreams("r005"))

	n.partitioned = ""
	n.updateSessions()
	n.reconnectStore("r000", 56)
	n.advanceReading(500*time.Millisecond, append(outside, "r000")...)
	require.Zero(t, n.usableUpstreams("r000"))
	require.Zero(t, n.usableUpstreams("r004"), "its neighbour, which has not reached the store yet")
}

// A data centre was cut off, and an engine in it left for good. After the cut
// its routers left it to others to read the store. Each asked its neighbour for
// what it had missed, which had missed the same, and went on sending requests
// to the engine for 1.9 s after the cut. What the readers held differed all the
// time, but the data centre's other engines registered again one by one, and
// each began the wait for a lasting difference anew.
func TestPartitionedRoutersDoNotCatchUpFromEachOther(t *testing.T) {
	n := newConfiguredNetwork(8, 4)
	outside := []state.Router{"r001", "r002", "r003"}
	n.deliverFromStore(upstreamObject("u", 23, false), outside...)
	n.advanceReading(time.Second, outside...)
	n.partitioned = "0"
	n.updateSessions()
	n.disconnectStore("r000", "r004")
	n.advanceReading(3*time.Second, outside...)
	n.deliverFromStore(removal("u", 47), outside...)
	n.advanceReading(3*time.Second, outside...)

	n.partitioned = ""
	n.updateSessions()
	for back := range uint64(5) {
		n.deliverFromStore(upstreamObject(fmt.Sprintf("back%d", back), 50+back, false), outside...)
		n.advanceReading(2*tickInterval, outside...)
	}
	require.Equal(t, 5, n.usableUpstreams("r000"))
	require.Equal(t, 5, n.usableUpstreams("r004"))
}

// The store is away from all for some seconds, and an entry lapses. One router
// regains the store before the others and lists it. Nobody knows better than
// that the entry may have lapsed, so that all go on using the upstream for two
// seconds, those too that have not noticed the store's return or its absence.
// While the first told the others that the entry was gone, they dropped the
// upstream at once.
func TestPossiblyExpiredEntryIsNotReportedAsRemoved(t *testing.T) {
	n := newConfiguredNetwork(8, 4)
	readers := []state.Router{"r000", "r001", "r002"}
	n.deliverFromStore(upstreamObject("lives", 22, false), readers...)
	n.deliverFromStore(upstreamObject("dead", 23, false), readers...)
	n.advanceReading(time.Second, readers...)
	n.disconnectStore("r000", "r001", "r002", "r003")
	n.advance(6 * time.Second)

	n.reconnectStore("r001", 56)
	n.advanceReading(500*time.Millisecond, "r001")
	n.reconnectStore("r000", 56)
	n.advanceReading(time.Second, "r000", "r001")
	for router := range n.nodes {
		require.Equal(t, 2, n.usableUpstreams(router), router)
	}
	n.deliverFromStore(upstreamObject("lives", 57, false), "r000", "r001")
	n.advanceReading(time.Second, "r000", "r001")
	for router := range n.nodes {
		require.Equal(t, 1, n.usableUpstreams(router), router)
	}
}

// The store turns one router away and serves the others. When it lets that one
// in again, an entry has just gone that the readers have not heard of yet. As
// soon as one of them does, the upstream is gone for all.
func TestRejectedRouterReceivesTheRemovalFromPeers(t *testing.T) {
	n := newConfiguredNetwork(8, 4)
	readers := []state.Router{"r001", "r002"}
	n.deliverFromStore(upstreamObject("u", 23, false), readers...)
	n.advanceReading(time.Second, readers...)
	n.disconnectStore("r000")
	n.advanceReading(3*time.Second, readers...)
	n.reconnectStore("r000", 56)
	n.advanceReading(3*tickInterval, append(readers, "r000")...)
	require.Equal(t, 1, n.usableUpstreams("r000"))
	n.deliverFromStore(removal("u", 47), "r001")
	n.advanceReading(2*tickInterval, append(readers, "r000")...)
	for router := range n.nodes {
		require.Zero(t, n.usableUpstreams(router), router)
	}
}

// A data centre is cut off, and with it the only routers that read the store.
// Nobody outside has anything to say of an entry that lapsed meanwhile. It may
// have lapsed as well because the store was away.
func TestRoutersPartitionedTogetherKeepTheUpstream(t *testing.T) {
	n := newConfiguredNetwork(8, 4)
	n.deliverFromStore(upstreamObject("u", 23, false), "r000", "r004")
	n.advanceReading(time.Second, "r000", "r004")
	n.partitioned = "0"
	n.updateSessions()
	n.disconnectStore("r000", "r004")
	n.advance(6 * time.Second)
	n.partitioned = ""
	n.updateSessions()
	n.reconnectStore("r000", 56)
	n.reconnectStore("r004", 56)
	n.advanceReading(storeReturnGrace-3*tickInterval, "r000", "r004")
	for router := range n.nodes {
		require.Equal(t, 1, n.usableUpstreams(router), router)
	}
	n.advanceReading(5*tickInterval, "r000", "r004")
	for router := range n.nodes {
		require.Zero(t, n.usableUpstreams(router), router)
	}
}

// What peers say of an upstream that may have lapsed here.
func TestPeerReportsOnAPossiblyExpiredEntry(t *testing.T) {
	for name, c := range map[string]struct {
		word Object
		want int
	}{
		"gone after what was held here":        {removal("u", 47), 0},
		"gone as the revision that was held":   {removal("u", 23), 0},
		"gone after the list":                  {removal("u", 60), 0},
		"gone before what was held here":       {removal("u", 22), 1},
		"leaving before it went":               {upstreamObject("u", 44, true), 0},
		"leaving after it came back":           {upstreamObject("u", 60, true), 0},
		"there before it went":                 {upstreamObject("u", 44, false), 1},
		"there as it was held":                 {upstreamObject("u", 23, false), 1},
		"back after the list":                  {upstreamObject("u", 60, false), 1},
		"another upstream is gone, not this":   {removal("v", 60), 1},
		"another upstream is there, with this": {upstreamObject("v", 22, true), 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.catalogue.applyObject(KindUpstream, upstreamObject("u", 23, false), sourceStore)
			f.catalogue.markStoreUnavailable(errSilent)
			f.catalogue.markStoreAvailable()
			require.Empty(t, f.catalogue.replaceUpstreams(nil, 56, sourceStore), "nothing to tell yet")
			f.catalogue.applyObject(KindUpstream, c.word, "peer")
			require.Equal(t, c.want, f.usableUpstreams())
		})
	}
}

// An upstream that was gone for the peers comes back with a newer revision. No
// older word of its end may take it away again.
func TestUpstreamThatRegisteredAgainIsUsed(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindUpstream, upstreamObject("u", 23, false), sourceStore)
	f.catalogue.markStoreUnavailable(errSilent)
	f.catalogue.markStoreAvailable()
	f.catalogue.replaceUpstreams(nil, 56, sourceStore)
	f.catalogue.applyObject(KindUpstream, removal("u", 47), "peer")
	require.Zero(t, f.usableUpstreams())
	f.catalogue.applyObject(KindUpstream, upstreamObject("u", 50, false), "peer")
	require.Zero(t, f.usableUpstreams(), "the list was newer")
	f.catalogue.applyObject(KindUpstream, upstreamObject("u", 58, false), "peer")
	f.catalogue.applyObject(KindUpstream, removal("u", 56), "peer")
	f.clock.advance(storeReturnGrace)
	f.catalogue.confirmDueRemovals()
	require.Equal(t, 1, f.usableUpstreams())
}
