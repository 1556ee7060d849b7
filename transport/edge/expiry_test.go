package edge

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

var errStoreSilent = errors.New("silent")

// newConfiguredNetwork returns a network in which all routers hold a
// configuration.
func newConfiguredNetwork(routers, dataCentres int) *network {
	n := newNetwork(routers, dataCentres)
	for _, one := range n.nodes {
		one.fixture.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
	}
	return n
}

// deliverFromStore delivers an object from the store to routers that follow it.
// They forward it to their peers.
func (n *network) deliverFromStore(o Object, routers ...state.Router) {
	for _, router := range routers {
		one := n.nodes[router]
		one.fleet.readingStore = true
		one.fleet.storeAnswers()
		if one.fixture.catalogue.applyObject(KindUpstream, o, sourceStore) {
			one.fleet.publishObjects(KindUpstream, []Object{o})
		}
	}
}

// disconnectStore makes the store unavailable to routers.
func (n *network) disconnectStore(routers ...state.Router) {
	for _, router := range routers {
		n.nodes[router].fleet.storeFails()
		n.nodes[router].fixture.catalogue.markStoreUnavailable(errStoreSilent)
	}
}

// reconnectStore makes the store available to a router again, which reads a new
// list from it.
func (n *network) reconnectStore(router state.Router, at uint64, listed ...Object) {
	one := n.nodes[router]
	one.fixture.catalogue.markStoreAvailable()
	one.fleet.readingStore = true
	one.fleet.storeAnswers()
	if changed := one.fixture.catalogue.replaceUpstreams(listed, at, sourceStore); len(changed) > 0 {
		one.fleet.publishObjects(KindUpstream, changed)
	}
}

// advanceReading advances the time while routers continue to read the store.
func (n *network) advanceReading(d time.Duration, routers ...state.Router) {
	for range d / tickInterval {
		for _, router := range routers {
			n.nodes[router].fleet.storeAnswers()
		}
		n.advance(tickInterval)
	}
}

// usableUpstreams counts the upstreams that a router uses, without the four
// engines that each router of the network starts with.
func (n *network) usableUpstreams(router state.Router) int {
	return n.nodes[router].fixture.usableUpstreams() - 4
}

// A request reached an engine 2.9 s after the engine had announced that it
// leaves. Its entry had expired during a partition, and the routers outside had
// removed it. After the partition a router inside found no entry in the store
// and kept the engine for 2.2 s, as if the store had been unavailable.
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
	require.Equal(t, 1, n.usableUpstreams("r000"), "a partitioned data centre continues to serve")
	require.Zero(t, n.usableUpstreams("r005"))

	n.partitioned = ""
	n.updateSessions()
	n.reconnectStore("r000", 56)
	n.advanceReading(500*time.Millisecond, append(outside, "r000")...)
	require.Zero(t, n.usableUpstreams("r000"))
	require.Zero(t, n.usableUpstreams("r004"), "its neighbour, which cannot reach the store yet")
}

// Routers that were partitioned asked their neighbours for missed changes,
// which had missed the same, and used a removed engine for 1.9 s. They ask a
// reader if its content differs from theirs in the same way for some time, and
// each engine that registered again meanwhile restarted that time.
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

// The store is unavailable to all routers, and an entry expires. The router
// that reached the store first reported the entry as removed, and the others
// dropped the upstream at once. All must keep it for two seconds, also routers
// that have not noticed the outage or its end.
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

// The store rejects the calls of one router and serves the others. When it
// accepts that router again, an entry has just been removed that the readers do
// not know of yet. As soon as one of them does, all routers must drop the
// upstream.
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

// A data centre is partitioned, and with it the only routers that read the
// store. The routers outside know nothing of an entry that expired meanwhile,
// so it may have expired because the store was unavailable.
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

// Peers may report different states of an upstream whose entry may have expired
// here. Only some of them confirm its removal.
func TestPeerReportsOnAPossiblyExpiredEntry(t *testing.T) {
	for name, c := range map[string]struct {
		report Object
		want   int
	}{
		"removed after the held revision":      {removal("u", 47), 0},
		"removed at the held revision":         {removal("u", 23), 0},
		"removed after the list":               {removal("u", 60), 0},
		"removed before the held revision":     {removal("u", 22), 1},
		"leaving before its entry was missing": {upstreamObject("u", 44, true), 0},
		"leaving after it registered again":    {upstreamObject("u", 60, true), 0},
		"present before its entry was missing": {upstreamObject("u", 44, false), 1},
		"present at the held revision":         {upstreamObject("u", 23, false), 1},
		"registered again after the list":      {upstreamObject("u", 60, false), 1},
		"another upstream is removed":          {removal("v", 60), 1},
		"another upstream is leaving":          {upstreamObject("v", 22, true), 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.catalogue.applyObject(KindUpstream, upstreamObject("u", 23, false), sourceStore)
			f.catalogue.markStoreUnavailable(errStoreSilent)
			f.catalogue.markStoreAvailable()
			require.Empty(t, f.catalogue.replaceUpstreams(nil, 56, sourceStore), "nothing to send to peers yet")
			f.catalogue.applyObject(KindUpstream, c.report, "peer")
			require.Equal(t, c.want, f.usableUpstreams())
		})
	}
}

// An upstream that peers have removed registers again with a newer revision.
// Older reports of its removal must not remove it again.
func TestUpstreamThatRegisteredAgainIsUsed(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindUpstream, upstreamObject("u", 23, false), sourceStore)
	f.catalogue.markStoreUnavailable(errStoreSilent)
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
