package edge

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// evacuationFixture returns a router that serves callers only once it knows
// which data centres are evacuated, with one upstream in data centre dc.
func evacuationFixture() *fixture {
	f := &fixture{clock: newClock(), platform: &fakePlatform{}}
	settings := Settings{DataCentre: "dc", EvacuationLimit: 5 * time.Second, Regions: map[state.DataCentre]state.Region{"dc": "north"}}
	f.dispatcher = newDispatcher(settings, f.clock.now)
	f.catalogue = newCatalogue(f.platform, f.dispatcher, zerolog.Nop(), f.clock.now)
	f.catalogue.applyObject(KindConfig, configObject(1, 1), sourceStore)
	f.catalogue.applyObject(KindUpstream, upstreamObject("u", 2, false), sourceStore)
	return f
}

func evacuationObject(dc string, revision uint64) Object {
	return Object{Name: dc, Revision: revision, Spec: []byte("[1")}
}

// A router starts during an evacuation and has the configuration first. It must
// not send anything before it knows of the evacuation.
func TestRouterServesOnceItKnowsTheEvacuations(t *testing.T) {
	f := evacuationFixture()
	require.Nil(t, f.dispatcher.Table())
	require.False(t, f.dispatcher.ready())
	require.True(t, f.catalogue.lacksOperatorObjects())
	changed := f.catalogue.replaceEvacuations([]Object{evacuationObject("dc", 5)}, 6, sourceStore)
	require.Len(t, changed, 1)
	require.NotNil(t, f.dispatcher.Table())
	require.False(t, f.catalogue.lacksOperatorObjects())
	require.Zero(t, f.usableUpstreams())
}

func TestEvacuationsBeginEndAndBeginAgain(t *testing.T) {
	f := evacuationFixture()
	f.catalogue.replaceEvacuations(nil, 3, sourceStore)
	require.Equal(t, 1, f.usableUpstreams())
	require.True(t, f.catalogue.applyObject(KindEvacuation, evacuationObject("dc", 5), sourceStore))
	require.Zero(t, f.usableUpstreams())
	require.True(t, f.catalogue.applyObject(KindEvacuation, removal("dc", 7), "peer"))
	require.Equal(t, 1, f.usableUpstreams())
	require.False(t, f.catalogue.applyObject(KindEvacuation, evacuationObject("dc", 5), "peer"), "the peer missed the end")
	require.True(t, f.catalogue.applyObject(KindEvacuation, evacuationObject("dc", 9), "peer"))
	require.Zero(t, f.usableUpstreams())
	require.True(t, f.catalogue.applyObject(KindEvacuation, evacuationObject("no such data centre", 10), sourceStore))
	require.Zero(t, f.usableUpstreams())
}

// The store drops its history while an evacuation ends, and then it fails. The
// list shows the end, and the failure changes nothing.
func TestFollowerListsEvacuationsAfterLostHistory(t *testing.T) {
	f := evacuationFixture()
	listed := []Object{evacuationObject("dc", 5)}
	f.platform.list = func(Kind) ([]Object, uint64, error) { return listed, 8, nil }
	f.platform.watch = func(Kind, uint64) ([]Object, uint64, error) { return nil, 0, ErrUnavailable }
	follower, changed := newFollower(f, KindEvacuation)
	require.NoError(t, follower.step(context.Background()))
	require.Error(t, follower.step(context.Background()))
	require.Zero(t, f.usableUpstreams())
	listed, follower.listed = nil, false
	require.NoError(t, follower.step(context.Background()))
	require.Equal(t, 1, f.usableUpstreams())
	require.Equal(t, []Object{evacuationObject("dc", 5), removal("dc", 8)}, *changed)
}

// A change of an evacuation is lost on its way. The difference shows in the
// summaries that routers exchange.
func TestEvacuationsArePartOfTheSummary(t *testing.T) {
	f := evacuationFixture()
	before := f.catalogue.contentSummary()
	f.catalogue.applyObject(KindEvacuation, evacuationObject("dc", 5), sourceStore)
	require.NotEqual(t, before, f.catalogue.contentSummary())
	f.catalogue.applyObject(KindEvacuation, removal("dc", 6), sourceStore)
	require.Equal(t, before, f.catalogue.contentSummary())
}

// The operator evacuates a data centre while one router cannot reach the store
// and has just started. It learns of the evacuation from its peer.
func TestStartingRouterLearnsEvacuationsFromAPeer(t *testing.T) {
	holder, starting := evacuationFixture(), evacuationFixture()
	holder.catalogue.replaceEvacuations([]Object{evacuationObject("dc", 5)}, 6, sourceStore)
	for _, o := range holder.catalogue.evacuationObjects() {
		kind, name, ok := parseKey(objectKey(KindEvacuation, o.Name))
		require.True(t, ok)
		require.True(t, starting.catalogue.applyObject(kind, Object{Name: name, Revision: o.Revision, Removed: o.Removed}, "holder"))
	}
	starting.catalogue.markEvacuationsKnown()
	require.Zero(t, starting.usableUpstreams())
	require.Equal(t, holder.catalogue.contentSummary(), starting.catalogue.contentSummary())
}

func TestKeysOfUnknownKindsAreRefused(t *testing.T) {
	_, _, ok := parseKey("something/else")
	require.False(t, ok)
}

// A router without the evacuations reads the store itself even if peers do.
func TestRouterWithoutEvacuationsIsAnEagerReader(t *testing.T) {
	f := evacuationFixture()
	fleet := newFleet(scheduler.Peer{Router: "z", DataCentre: "dc"}, f.dispatcher, f.catalogue, zerolog.Nop(), f.clock.now)
	live := []scheduler.Peer{fleet.self}
	for _, name := range []state.Router{"a", "b", "c", "d", "e", "f", "g"} {
		live = append(live, scheduler.Peer{Router: name, DataCentre: "dc"})
	}
	fleet.setLivePeers(live)
	require.True(t, fleet.isEagerReader(f.catalogue.lacksOperatorObjects()))
	f.catalogue.replaceEvacuations(nil, 3, sourceStore)
	require.False(t, fleet.isEagerReader(f.catalogue.lacksOperatorObjects()))
}

// A request may only be sent to the region of its workspace, which has no
// upstream. It is refused and must not run, not even as a retry.
func TestRequestWithoutAnAllowedRegionIsRefused(t *testing.T) {
	f := evacuationFixture()
	f.catalogue.replaceEvacuations(nil, 3, sourceStore)
	request := admission.Request{Work: placement.Work{Service: "s", Regions: [][]state.Region{{"south"}}}, Timeout: time.Second}
	for _, retry := range []bool{false, true} {
		verdict, ticket := f.dispatcher.Admit(request, retry)
		require.Equal(t, admission.NoUpstream, verdict.Reason)
		require.Positive(t, verdict.RetryAfter)
		require.Nil(t, ticket)
	}
	request.Regions = [][]state.Region{{"north", "south"}}
	verdict, _ := f.dispatcher.Admit(request, false)
	require.True(t, verdict.IsAdmitted())
}

// Operators begin and end evacuations while a data centre is cut off. Its routers
// must know of both once they are back, within the time that an evacuation has.
func TestRoutersThatWereCutOffLearnOfEvacuations(t *testing.T) {
	const limit = 5 * time.Second
	for _, routers := range []int{8, 40} {
		n := newNetwork(routers, 4)
		for _, one := range n.nodes {
			settings := &one.fixture.dispatcher.settings
			settings.EvacuationLimit, settings.Regions = limit, map[state.DataCentre]state.Region{"0": "r", "1": "r", "2": "r", "3": "r"}
			one.fixture.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
			one.fixture.catalogue.replaceEvacuations([]Object{evacuationObject("1", 6)}, 6, sourceStore)
		}
		n.advanceWithReaders(time.Second)
		n.partitioned = "3"
		n.closePartitioned()
		n.advanceWithReaders(limit)
		for _, reader := range storeReaders {
			one := n.nodes[reader]
			one.fleet.publishObjects(KindEvacuation, one.fixture.catalogue.replaceEvacuations([]Object{evacuationObject("2", 8)}, 8, sourceStore))
		}
		n.advanceWithReaders(limit)
		require.Equal(t, map[state.DataCentre]bool{"1": true}, n.evacuated("r007"), "cut off")
		n.partitioned = ""
		for range limit / (500 * time.Millisecond) {
			n.closePartitioned()
			n.advanceWithReaders(500 * time.Millisecond)
		}
		for _, router := range n.order {
			require.Equal(t, map[state.DataCentre]bool{"2": true}, n.evacuated(router), "%s of %d", router, routers)
		}
	}
}

// evacuated returns the data centres that a router knows to be evacuated.
func (n *network) evacuated(router state.Router) map[state.DataCentre]bool {
	evacuated := make(map[state.DataCentre]bool)
	for dc := range n.nodes[router].fixture.dispatcher.evacuations.Since() {
		evacuated[dc] = true
	}
	return evacuated
}
