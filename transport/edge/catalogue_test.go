package edge

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A peer that was cut off comes back and tells what it last knew. What is
// newer stays in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture()
	require.True(t, f.catalogue.take(KindConfig, configObject(10, 3), sourceStore))
	require.False(t, f.catalogue.take(KindConfig, configObject(8, 2), "peer"))
	require.False(t, f.catalogue.take(KindConfig, configObject(10, 3), "peer"))
	require.EqualValues(t, 3, f.dispatcher.Table().Version())
	require.False(t, f.catalogue.take(KindConfig, Object{Name: "main", Revision: 11, Spec: []byte("{")}, sourceStore))
	require.False(t, f.catalogue.take(KindConfig, removal("main", 12), sourceStore))
	require.EqualValues(t, 3, f.dispatcher.Table().Version())
	require.True(t, f.catalogue.take(KindConfig, configObject(13, 4), sourceStore))
}

func TestUpstreamsComeLeaveAndGo(t *testing.T) {
	f := newFixture()
	require.True(t, f.catalogue.take(KindUpstream, upstreamObject("u", 1, false), sourceStore))
	require.Equal(t, 1, f.usable())
	require.True(t, f.catalogue.take(KindUpstream, upstreamObject("u", 2, true), "peer"))
	require.Zero(t, f.usable())
	require.False(t, f.catalogue.take(KindUpstream, upstreamObject("u", 1, false), sourceStore), "the store's answer was older than the peer's word")
	require.True(t, f.catalogue.take(KindUpstream, removal("u", 2), sourceStore))
	require.Empty(t, f.dispatcher.picture.UnreachableUpstreams())
}

// Another program writes an entry that names no upstream. The others hold.
func TestForeignEntriesNameNoUpstream(t *testing.T) {
	f := newFixture()
	f.catalogue.take(KindUpstream, upstreamObject("u", 1, false), sourceStore)
	f.catalogue.take(KindUpstream, Object{Name: "odd", Revision: 2, Spec: []byte(`{"Slots":"many"}`)}, sourceStore)
	f.catalogue.take(KindUpstream, Object{Name: "raw", Revision: 3, Spec: []byte{0xff, 0x00}}, sourceStore)
	require.Equal(t, 1, f.usable())
	f.catalogue.take(KindUpstream, Object{Name: "u", Revision: 4, Spec: []byte(`[]`)}, sourceStore)
	require.Zero(t, f.usable(), "an entry that was overwritten names none any more")
}

func TestListReplacesWhatItLacks(t *testing.T) {
	f := newFixture()
	f.catalogue.replace([]Object{upstreamObject("a", 1, false), upstreamObject("b", 2, false)}, 5, sourceStore)
	require.Equal(t, 2, f.usable())
	f.catalogue.take(KindUpstream, upstreamObject("late", 9, false), "peer")
	news := f.catalogue.replace([]Object{upstreamObject("b", 2, false)}, 7, sourceStore)
	require.Equal(t, []Object{removal("a", 7)}, news)
	require.Equal(t, 2, f.usable(), "what a peer told of a later revision is not in the list yet")
}

// The store is away for some seconds and entries lapse meanwhile. Upstreams
// that live register again within two seconds of its return; until then they
// go on serving. One that does not is gone.
func TestLapsedUpstreamsAreUsedUntilTheyHadTimeToReturn(t *testing.T) {
	f := newFixture()
	f.catalogue.take(KindUpstream, upstreamObject("lives", 1, false), sourceStore)
	f.catalogue.take(KindUpstream, upstreamObject("dead", 2, false), sourceStore)
	f.catalogue.unreached(errors.New("silent"))
	f.clock.advance(8 * time.Second)
	f.catalogue.reached()
	f.catalogue.take(KindUpstream, removal("lives", 5), sourceStore)
	f.catalogue.take(KindUpstream, removal("dead", 6), sourceStore)
	require.Equal(t, 2, f.usable())
	f.clock.advance(time.Second)
	f.catalogue.take(KindUpstream, upstreamObject("lives", 7, false), sourceStore)
	f.catalogue.settleLapsed()
	require.Equal(t, 2, f.usable())
	f.clock.advance(returnGrace)
	f.catalogue.settleLapsed()
	require.Equal(t, 1, f.usable())
}

// An upstream that said it leaves before its entry went has not lapsed.
func TestLeavingUpstreamDoesNotLapse(t *testing.T) {
	f := newFixture()
	f.catalogue.take(KindUpstream, upstreamObject("u", 1, true), sourceStore)
	f.catalogue.unreached(errors.New("silent"))
	f.catalogue.reached()
	f.catalogue.take(KindUpstream, removal("u", 5), sourceStore)
	require.Empty(t, f.catalogue.lapsed)
}

func TestPeerStartsFromAllThatIsHeld(t *testing.T) {
	f, g := newFixture(), newFixture()
	f.catalogue.take(KindConfig, configObject(10, 3), sourceStore)
	f.catalogue.take(KindUpstream, upstreamObject("a", 1, false), sourceStore)
	f.catalogue.take(KindUpstream, removal("b", 4), sourceStore)
	g.catalogue.take(KindUpstream, upstreamObject("b", 2, false), sourceStore)
	config, ok := f.catalogue.encodedConfig(0)
	require.True(t, ok)
	g.catalogue.take(KindConfig, Object{Name: "main", Revision: config.GetVersion(), Spec: config.GetValue()}, "peer")
	for _, o := range f.catalogue.upstreams() {
		g.catalogue.take(KindUpstream, o, "peer")
	}
	require.Equal(t, 1, g.usable())
	require.EqualValues(t, 3, g.dispatcher.Table().Version())
}

// Upstreams renew their entries every second. Peers hear of what changes only:
// told each time, the entries of 65 upstreams would be most of what routers
// send between data centres.
func TestRenewedEntriesAreNotTold(t *testing.T) {
	f := newFixture()
	require.True(t, f.catalogue.take(KindUpstream, upstreamObject("u", 1, false), sourceStore))
	for revision := range uint64(30) {
		require.False(t, f.catalogue.take(KindUpstream, upstreamObject("u", 2+revision, false), sourceStore))
	}
	require.True(t, f.catalogue.take(KindUpstream, upstreamObject("u", 40, true), sourceStore), "it leaves")
	require.True(t, f.catalogue.take(KindUpstream, removal("u", 41), sourceStore))
}

// Two routers that hold the same must agree on it, whatever came
// between; one that misses something must not.
func TestHoldingTellsWhatIsHeld(t *testing.T) {
	a, b := newFixture(), newFixture()
	a.catalogue.take(KindConfig, configObject(3, 1), sourceStore)
	b.catalogue.take(KindConfig, configObject(3, 1), "peer")
	a.catalogue.take(KindUpstream, upstreamObject("u", 4, false), sourceStore)
	require.NotEqual(t, a.catalogue.holding(), b.catalogue.holding())
	b.catalogue.take(KindUpstream, upstreamObject("v", 5, false), "peer")
	b.catalogue.take(KindUpstream, upstreamObject("u", 6, false), "peer")
	b.catalogue.take(KindUpstream, removal("v", 7), "peer")
	require.Equal(t, a.catalogue.holding(), b.catalogue.holding())
	a.catalogue.take(KindUpstream, upstreamObject("u", 8, true), sourceStore)
	require.NotEqual(t, a.catalogue.holding(), b.catalogue.holding())
	b.catalogue.take(KindUpstream, upstreamObject("u", 8, true), "peer")
	a.catalogue.take(KindConfig, configObject(9, 2), sourceStore)
	require.NotEqual(t, a.catalogue.holding(), b.catalogue.holding())
}
