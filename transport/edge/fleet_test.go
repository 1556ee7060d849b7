package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

func (f *fixture) fleet(name state.Router) *fleet {
	fleet := newFleet(scheduler.Peer{Router: name}, f.dispatcher, f.catalogue, zerolog.Nop(), f.clock.now)
	fleet.mesh = discardSender{}
	return fleet
}

// discardSender takes messages that no test looks at.
type discardSender struct{}

func (discardSender) Send(state.Router, *peerpb.Envelope) bool  { return false }
func (discardSender) SendEach([]state.Router, *peerpb.Envelope) {}
func (discardSender) Select(membership.SelectionChanged)        {}
func (discardSender) Drop(state.Router)                         {}

func peersNamed(n int) []scheduler.Peer {
	var peers []scheduler.Peer
	for i := range n {
		peers = append(peers, scheduler.Peer{Router: state.Router(fmt.Sprintf("r%02d", i))})
	}
	return peers
}

// Of many routers a few read the store for all, without any agreement beyond
// what each says of itself.
func TestFewRoutersReadTheStore(t *testing.T) {
	const routers = 20
	clock := newClock()
	var fleets []*fleet
	for i := range routers {
		f := newFixture()
		f.clock = clock
		one := f.fleet(state.Router(fmt.Sprintf("r%02d", i)))
		one.now = clock.now
		one.onPeers(peersNamed(routers))
		fleets = append(fleets, one)
	}
	for range 10 {
		clock.advance(tickInterval)
		for i, from := range fleets {
			if from.shouldReadStore() {
				from.onStoreAnswer()
			}
			claim := from.mayClaimReading()
			for j, to := range fleets {
				if i != j {
					to.onReading(from.self.Router, &peerpb.Reading{Store: claim})
				}
			}
		}
	}
	reading := 0
	for _, f := range fleets {
		if f.shouldReadStore() {
			reading++
		}
	}
	require.Equal(t, targetReaders, reading)
}

// The routers that read the store lose power: no reset, no word. The others
// must notice by their silence and read for themselves.
func TestSilentReadersAreReplaced(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r09")
	fleet.onPeers(peersNamed(10))
	for i := range targetReaders {
		fleet.onReading(state.Router(fmt.Sprintf("r%02d", i)), &peerpb.Reading{Store: true})
	}
	require.False(t, fleet.shouldReadStore())
	f.clock.advance(claimExpiry + time.Millisecond)
	fleet.shouldReadStore()
	f.clock.advance(noReaderTimeout)
	require.True(t, fleet.shouldReadStore())
}

// The store is away from all. A few routers look for its return eagerly, the
// others now and then: each call is paid for.
func TestFewRoutersCallAnUnavailableStore(t *testing.T) {
	firstFixture, lastFixture := newFixture(), newFixture()
	first, last := firstFixture.fleet("r00"), lastFixture.fleet("r09")
	for _, f := range []*fixture{firstFixture, lastFixture} {
		f.catalogue.applyObject(KindConfig, configObject(1, 1), sourceStore)
	}
	first.onPeers(peersNamed(10))
	last.onPeers(peersNamed(10))
	require.Equal(t, minRetryDelay, first.retryDelay(minRetryDelay))
	require.GreaterOrEqual(t, last.retryDelay(minRetryDelay), nonReaderRetryDelay/2)
	require.True(t, first.shouldReadStore())
	require.False(t, last.shouldReadStore())
	lastFixture.clock.advance(noReaderTimeout)
	require.True(t, last.shouldReadStore(), "nobody says that it reads")
	empty := newFixture().fleet("r09")
	empty.onPeers(peersNamed(10))
	require.True(t, empty.shouldReadStore(), "who holds nothing does not wait")
}

// A router starts in a running fleet. It gives its peers a moment to tell it all
// before it calls the store itself, and longer while the fleet starts for the
// first time; only seeds read at once.
func TestStartingRouterWaitsForItsPeers(t *testing.T) {
	settings := Settings{Addresses: Addresses{Peers: "10.0.0.9:1"}, Seeds: []string{"10.0.0.1:1"}}
	require.Equal(t, startReadDelay, storeReadDelay(settings))
	f := newFixture()
	fleet := f.fleet("r00")
	fleet.storeReadDelay = storeReadDelay(settings)
	require.False(t, fleet.shouldReadStore())
	f.clock.advance(startReadDelay)
	require.True(t, fleet.shouldReadStore(), "nobody told it")
	settings.FirstStart = true
	require.Equal(t, firstStartReadDelay, storeReadDelay(settings))
	settings.Seeds = []string{"10.0.0.9:1"}
	require.Zero(t, storeReadDelay(settings))
	require.Zero(t, storeReadDelay(Settings{}))
}

// The store turns this router away. It must not tell peers that it follows the
// store, or they would rely on it.
func TestRouterRejectedByTheStoreDoesNotClaimToRead(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	require.True(t, fleet.shouldReadStore())
	require.False(t, fleet.mayClaimReading(), "no answer yet")
	f.clock.advance(time.Second)
	fleet.onStoreAnswer()
	require.True(t, fleet.mayClaimReading())
	f.clock.advance(time.Millisecond)
	fleet.onStoreFailure()
	require.False(t, fleet.mayClaimReading())
}

// A configuration and a leaving upstream reach a router that the store turns
// away through a peer; so does the word that the peer's view is the newest.
func TestPeersProvideWhatTheStoreDoesNot(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	from := peer.Peer{Router: "r01"}
	fleet.onEnvelope(from, objectEnvelope(KindConfig, configObject(5, 2)))
	fleet.onEnvelope(from, objectEnvelope(KindUpstream, upstreamObject("u", 6, false)))
	require.EqualValues(t, 2, f.dispatcher.Table().Version())
	require.Equal(t, 1, f.usableUpstreams())
	require.True(t, f.dispatcher.ConfigCurrent(), "it has just read the store")
	f.clock.advance(configCurrentFor + time.Second)
	require.False(t, f.dispatcher.ConfigCurrent())
	fleet.onEnvelope(from, fleet.readingEnvelope(true))
	require.True(t, f.dispatcher.ConfigCurrent())
	fleet.onEnvelope(from, objectEnvelope(KindUpstream, removal("u", 7)))
	require.Zero(t, f.usableUpstreams())
	f.clock.advance(configCurrentFor + time.Second)
	require.False(t, f.dispatcher.ConfigCurrent())
}

// A router starts and learns the configuration from a peer. A caller with an
// unknown key must not be put off, if that peer follows the store; if it does
// not, the key may be one that was added meanwhile.
func TestCatalogueFromAReaderIsCurrent(t *testing.T) {
	for _, reads := range []bool{true, false} {
		f := newFixture()
		fleet := f.fleet("r00")
		answer := objectEnvelope(KindConfig, configObject(5, 2))
		answer.GetConfigObject().Answer = true
		from := peer.Peer{Router: "r01"}
		fleet.onEnvelope(from, answer)
		require.False(t, f.dispatcher.ConfigCurrent())
		fleet.onEnvelope(from, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueEnd{
			CatalogueEnd: &peerpb.CatalogueEnd{Holds: true, ReadsStore: reads},
		}})
		require.Equal(t, reads, f.dispatcher.ConfigCurrent())
	}
}

// This process stood still for two seconds. All upstreams look silent then,
// and the requests on them must not be given up for that.
func TestNothingIsCancelledAfterAPause(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	fleet.checkStalled()
	f.clock.advance(tickInterval)
	fleet.checkStalled()
	require.Zero(t, fleet.resumedAt)
	f.clock.advance(2 * time.Second)
	fleet.checkStalled()
	require.Equal(t, f.clock.now(), fleet.resumedAt)
}
