package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/protocol/peerpb"
)

// maxTransferMessages is far below the length of a session's send queue.
const maxTransferMessages = 100

// manyUpstreams returns the entries of n upstreams, read at revision 6.
func manyUpstreams(n int) []Object {
	var objects []Object
	for i := range n {
		objects = append(objects, upstreamObject(fmt.Sprintf("u%04d", i), 6, false))
	}
	return objects
}

// Guards against sessions that are closed because the list of upstreams fills
// their send queues: each router of a starting fleet fetches it.
func TestLargeCatalogueFitsTheSendQueue(t *testing.T) {
	const upstreams = 3000
	n := newNetwork(40, 4)
	objects := manyUpstreams(upstreams)
	restarted := n.nodes["r039"]
	n.kill(restarted)
	for _, one := range n.nodes {
		if !one.stopped {
			one.fixture.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
			one.fixture.catalogue.replaceUpstreams(objects, 6, sourceStore)
		}
	}
	n.advance(2 * time.Second)
	restarted.restart()
	n.objects = 0
	n.advance(time.Second)
	require.NotNil(t, restarted.fixture.dispatcher.Table())
	require.Equal(t, upstreams+4, restarted.fixture.usableUpstreams())
	require.Less(t, n.objects, maxTransferMessages)
}

// Guards against the same when a router lists all upstreams from the store and
// tells its peers, which pass them on.
func TestLargeListReachesAllRoutersInFewMessages(t *testing.T) {
	const upstreams = 3000
	n := newNetwork(40, 4)
	reader := n.nodes["r000"]
	for _, one := range n.nodes {
		one.fleet.caughtUp = true
	}
	n.objects = 0
	changed := reader.fixture.catalogue.replaceUpstreams(manyUpstreams(upstreams), 6, sourceStore)
	reader.fleet.publishObjects(KindUpstream, changed)
	n.advance(time.Second)
	for router, one := range n.nodes {
		require.Equal(t, upstreams+4, one.fixture.usableUpstreams(), router)
	}
	require.Less(t, n.objects, 40*maxTransferMessages)
}

// A malformed pack must not change anything.
func TestMalformedPackIsRefused(t *testing.T) {
	n := newNetwork(8, 4)
	one := n.nodes["r000"]
	before := one.fixture.catalogue.contentSummary()
	one.fleet.onObject("r001", &peerpb.ConfigObject{Key: packedKey, Value: []byte("no pack")})
	require.Equal(t, before, one.fixture.catalogue.contentSummary())
}

// Guards against a starting router that takes the catalogue of a peer for
// complete which has the configuration but no list of upstreams yet, and then
// refuses everything.
func TestCatalogueWithoutAListOfUpstreamsIsNotComplete(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
	require.True(t, f.catalogue.isIncomplete())
	f.catalogue.replaceUpstreams(nil, 6, sourceStore)
	require.False(t, f.catalogue.isIncomplete())
}

// Guards against one large entry of any content that makes its whole pack
// unreadable, so that a starting router lacks the upstreams beside it.
func TestLargeEntryDoesNotHideTheUpstreamsBesideIt(t *testing.T) {
	n := newNetwork(40, 4)
	objects := manyUpstreams(100)
	large := make([]byte, 1<<20-1)
	for i := range large {
		large[i] = byte(i*i>>7 ^ i)
	}
	objects = append(objects, Object{Name: "u0050a", Revision: 6, Spec: large})
	restarted := n.nodes["r039"]
	n.kill(restarted)
	for _, one := range n.nodes {
		if !one.stopped {
			one.fixture.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
			one.fixture.catalogue.replaceUpstreams(objects, 6, sourceStore)
		}
	}
	n.advance(2 * time.Second)
	restarted.restart()
	n.advance(time.Second)
	require.Equal(t, 104, restarted.fixture.usableUpstreams())
}
