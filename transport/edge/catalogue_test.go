package edge

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A peer that was partitioned reconnects and sends its old configuration. The
// newer configuration stays in force.
func TestConfigurationNeverReverts(t *testing.T) {
	f := newFixture()
	require.True(t, f.catalogue.applyObject(KindConfig, configObject(10, 3), sourceStore))
	require.False(t, f.catalogue.applyObject(KindConfig, configObject(8, 2), "peer"))
	require.False(t, f.catalogue.applyObject(KindConfig, configObject(10, 3), "peer"))
	require.EqualValues(t, 3, f.dispatcher.Table().Version())
	require.False(t, f.catalogue.applyObject(KindConfig, Object{Name: "main", Revision: 11, Spec: []byte("{")}, sourceStore))
	require.False(t, f.catalogue.applyObject(KindConfig, removal("main", 12), sourceStore))
	require.EqualValues(t, 3, f.dispatcher.Table().Version())
	require.True(t, f.catalogue.applyObject(KindConfig, configObject(13, 4), sourceStore))
}

func TestUpstreamsAreAddedDrainedAndRemoved(t *testing.T) {
	f := newFixture()
	require.True(t, f.catalogue.applyObject(KindUpstream, upstreamObject("u", 1, false), sourceStore))
	require.Equal(t, 1, f.usableUpstreams())
	require.True(t, f.catalogue.applyObject(KindUpstream, upstreamObject("u", 2, true), "peer"))
	require.Zero(t, f.usableUpstreams())
	require.False(t, f.catalogue.applyObject(KindUpstream, upstreamObject("u", 1, false), sourceStore), "the store's entry is older than the peer's")
	require.True(t, f.catalogue.applyObject(KindUpstream, removal("u", 2), sourceStore))
	require.Empty(t, f.dispatcher.loadView.UnreachableUpstreams())
}

// Another program writes an entry that does not describe an upstream. The other
// entries stay in use.
func TestInvalidEntriesNameNoUpstream(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindUpstream, upstreamObject("u", 1, false), sourceStore)
	f.catalogue.applyObject(KindUpstream, Object{Name: "odd", Revision: 2, Spec: []byte(`{"Slots":"many"}`)}, sourceStore)
	f.catalogue.applyObject(KindUpstream, Object{Name: "raw", Revision: 3, Spec: []byte{0xff, 0x00}}, sourceStore)
	require.Equal(t, 1, f.usableUpstreams())
	f.catalogue.applyObject(KindUpstream, Object{Name: "u", Revision: 4, Spec: []byte(`[]`)}, sourceStore)
	require.Zero(t, f.usableUpstreams(), "the overwritten entry does not name an upstream any more")
}

func TestListRemovesMissingUpstreams(t *testing.T) {
	f := newFixture()
	f.catalogue.replaceUpstreams([]Object{upstreamObject("a", 1, false), upstreamObject("b", 2, false)}, 5, sourceStore)
	require.Equal(t, 2, f.usableUpstreams())
	f.catalogue.applyObject(KindUpstream, upstreamObject("late", 9, false), "peer")
	changed := f.catalogue.replaceUpstreams([]Object{upstreamObject("b", 2, false)}, 7, sourceStore)
	require.Equal(t, []Object{removal("a", 7)}, changed)
	require.Equal(t, 2, f.usableUpstreams(), "an upstream of a later revision than the list stays")
}

// The store is unavailable for some seconds and entries expire meanwhile.
// Running upstreams register again within two seconds of its return and stay in
// use until then. An upstream that does not register is removed.
func TestExpiredUpstreamsAreUsedUntilTheGracePeriodEnds(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindUpstream, upstreamObject("lives", 1, false), sourceStore)
	f.catalogue.applyObject(KindUpstream, upstreamObject("dead", 2, false), sourceStore)
	f.catalogue.markStoreUnavailable(errors.New("silent"))
	f.clock.advance(8 * time.Second)
	f.catalogue.markStoreAvailable()
	f.catalogue.applyObject(KindUpstream, removal("lives", 5), sourceStore)
	f.catalogue.applyObject(KindUpstream, removal("dead", 6), sourceStore)
	require.Equal(t, 2, f.usableUpstreams())
	f.clock.advance(time.Second)
	f.catalogue.applyObject(KindUpstream, upstreamObject("lives", 7, false), sourceStore)
	f.catalogue.confirmDueRemovals()
	require.Equal(t, 2, f.usableUpstreams())
	f.clock.advance(storeReturnGrace)
	f.catalogue.confirmDueRemovals()
	require.Equal(t, 1, f.usableUpstreams())
}

// The entry of an upstream that was leaving before its removal did not expire.
func TestLeavingUpstreamIsNotKept(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindUpstream, upstreamObject("u", 1, true), sourceStore)
	f.catalogue.markStoreUnavailable(errors.New("silent"))
	f.catalogue.markStoreAvailable()
	f.catalogue.applyObject(KindUpstream, removal("u", 5), sourceStore)
	require.Empty(t, f.catalogue.pendingRemovals)
}

func TestPeerStartsFromTheWholeCatalogue(t *testing.T) {
	f, g := newFixture(), newFixture()
	f.catalogue.applyObject(KindConfig, configObject(10, 3), sourceStore)
	f.catalogue.applyObject(KindUpstream, upstreamObject("a", 1, false), sourceStore)
	f.catalogue.applyObject(KindUpstream, removal("b", 4), sourceStore)
	g.catalogue.applyObject(KindUpstream, upstreamObject("b", 2, false), sourceStore)
	config, ok := f.catalogue.encodedConfig(0)
	require.True(t, ok)
	g.catalogue.applyObject(KindConfig, Object{Name: "main", Revision: config.GetVersion(), Spec: config.GetValue()}, "peer")
	for _, o := range f.catalogue.upstreamObjects() {
		g.catalogue.applyObject(KindUpstream, o, "peer")
	}
	require.Equal(t, 1, g.usableUpstreams())
	require.EqualValues(t, 3, g.dispatcher.Table().Version())
}

// Upstreams renew their entries every second. Only changes are sent to peers:
// if each renewal were sent, the entries of 65 upstreams would be most of the
// traffic between data centres.
func TestRenewedEntriesAreNotSentToPeers(t *testing.T) {
	f := newFixture()
	require.True(t, f.catalogue.applyObject(KindUpstream, upstreamObject("u", 1, false), sourceStore))
	for revision := range uint64(30) {
		require.False(t, f.catalogue.applyObject(KindUpstream, upstreamObject("u", 2+revision, false), sourceStore))
	}
	require.True(t, f.catalogue.applyObject(KindUpstream, upstreamObject("u", 40, true), sourceStore), "the upstream leaves")
	require.True(t, f.catalogue.applyObject(KindUpstream, removal("u", 41), sourceStore))
}

// Two routers with the same content must have equal summaries, whatever they
// received in between. A router that lacks something must have a different one.
func TestContentSummaryIdentifiesTheContent(t *testing.T) {
	a, b := newFixture(), newFixture()
	a.catalogue.applyObject(KindConfig, configObject(3, 1), sourceStore)
	b.catalogue.applyObject(KindConfig, configObject(3, 1), "peer")
	a.catalogue.applyObject(KindUpstream, upstreamObject("u", 4, false), sourceStore)
	require.NotEqual(t, a.catalogue.contentSummary(), b.catalogue.contentSummary())
	b.catalogue.applyObject(KindUpstream, upstreamObject("v", 5, false), "peer")
	b.catalogue.applyObject(KindUpstream, upstreamObject("u", 6, false), "peer")
	b.catalogue.applyObject(KindUpstream, removal("v", 7), "peer")
	require.Equal(t, a.catalogue.contentSummary(), b.catalogue.contentSummary())
	a.catalogue.applyObject(KindUpstream, upstreamObject("u", 8, true), sourceStore)
	require.NotEqual(t, a.catalogue.contentSummary(), b.catalogue.contentSummary())
	b.catalogue.applyObject(KindUpstream, upstreamObject("u", 8, true), "peer")
	a.catalogue.applyObject(KindConfig, configObject(9, 2), sourceStore)
	require.NotEqual(t, a.catalogue.contentSummary(), b.catalogue.contentSummary())
}

// Each entry of a cold upstream states a shorter time. An entry with an invalid
// one must neither remove the upstream nor make it warm.
func TestInvalidColdTimeKeepsTheFormerOne(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindUpstream, coldUpstream("u", 1, `3000000000`), sourceStore)
	entry, _ := f.catalogue.directory.Entry("u")
	require.Equal(t, 3*time.Second, entry.Upstream.ColdFor)
	f.catalogue.applyObject(KindUpstream, coldUpstream("u", 2, `"soon"`), sourceStore)
	require.Equal(t, 1, f.usableUpstreams())
	entry, _ = f.catalogue.directory.Entry("u")
	require.Equal(t, 3*time.Second, entry.Upstream.ColdFor)
}

// Entries of a cold upstream must not look like a difference between two
// routers, one of which has received a later entry.
func TestColdTimeIsNotPartOfTheSummary(t *testing.T) {
	f := newFixture()
	f.catalogue.applyObject(KindUpstream, coldUpstream("u", 1, `3000000000`), sourceStore)
	before := f.catalogue.contentSummary()
	require.True(t, f.catalogue.applyObject(KindUpstream, coldUpstream("u", 2, `0`), sourceStore), "peers are told")
	require.Equal(t, before, f.catalogue.contentSummary())
}
