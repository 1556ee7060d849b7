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
	fleet.mesh = nobody{}
	return fleet
}

// nobody takes messages that no test looks at.
type nobody struct{}

func (nobody) Send(state.Router, *peerpb.Envelope) bool  { return false }
func (nobody) SendEach([]state.Router, *peerpb.Envelope) {}
func (nobody) Select(membership.SelectionChanged)        {}
func (nobody) Drop(state.Router)                         {}

func live(n int) []scheduler.Peer {
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
		one.onPeers(live(routers))
		fleets = append(fleets, one)
	}
	for range 10 {
		clock.advance(scanEvery)
		for i, from := range fleets {
			if from.reads() {
				from.onAnswer()
			}
			claim := from.claim()
			for j, to := range fleets {
				if i != j {
					to.onReading(from.self.Router, &peerpb.Reading{Store: claim})
				}
			}
		}
	}
	reading := 0
	for _, f := range fleets {
		if f.reads() {
			reading++
		}
	}
	require.Equal(t, readers, reading)
}

// The routers that read the store lose power: no reset, no word. The others
// must notice by their silence and read for themselves.
func TestSilentReadersAreReplaced(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r09")
	fleet.onPeers(live(10))
	for i := range readers {
		fleet.onReading(state.Router(fmt.Sprintf("r%02d", i)), &peerpb.Reading{Store: true})
	}
	require.False(t, fleet.reads())
	f.clock.advance(claimExpiry + time.Millisecond)
	fleet.reads()
	f.clock.advance(aloneFor)
	require.True(t, fleet.reads())
}

// The store is away from all. A few routers look for its return eagerly, the
// others now and then: each call is paid for.
func TestFewRoutersCallAStoreThatIsAway(t *testing.T) {
	early, late := newFixture(), newFixture()
	first, last := early.fleet("r00"), late.fleet("r09")
	for _, f := range []*fixture{early, late} {
		f.catalogue.take(KindConfig, configObject(1, 1), sourceStore)
	}
	first.onPeers(live(10))
	last.onPeers(live(10))
	require.Equal(t, firstRetry, first.retryPause(firstRetry))
	require.GreaterOrEqual(t, last.retryPause(firstRetry), lateRetry/2)
	require.True(t, first.reads())
	require.False(t, last.reads())
	late.clock.advance(aloneFor)
	require.True(t, last.reads(), "nobody says that it reads")
	empty := newFixture().fleet("r09")
	empty.onPeers(live(10))
	require.True(t, empty.reads(), "who holds nothing does not wait")
}

// A router starts in a running fleet. It gives its peers a moment to tell it all
// before it calls the store itself, and longer while the fleet starts for the
// first time; only seeds read at once.
func TestStartingRouterWaitsForItsPeers(t *testing.T) {
	settings := Settings{Addresses: Addresses{Peers: "10.0.0.9:1"}, Seeds: []string{"10.0.0.1:1"}}
	require.Equal(t, startReadDelay, readDelay(settings))
	f := newFixture()
	fleet := f.fleet("r00")
	fleet.readDelay = readDelay(settings)
	require.False(t, fleet.reads())
	f.clock.advance(startReadDelay)
	require.True(t, fleet.reads(), "nobody told it")
	settings.FirstStart = true
	require.Equal(t, firstReadDelay, readDelay(settings))
	settings.Seeds = []string{"10.0.0.9:1"}
	require.Zero(t, readDelay(settings))
	require.Zero(t, readDelay(Settings{}))
}

// The store turns this router away. It must not tell peers that it follows the
// store, or they would rely on it.
func TestRouterThatIsTurnedAwayDoesNotClaim(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	require.True(t, fleet.reads())
	require.False(t, fleet.claim(), "no answer yet")
	f.clock.advance(time.Second)
	fleet.onAnswer()
	require.True(t, fleet.claim())
	f.clock.advance(time.Millisecond)
	fleet.onFailure()
	require.False(t, fleet.claim())
}

// A configuration and a leaving upstream reach a router that the store turns
// away through a peer; so does the word that the peer's view is the newest.
func TestPeersTellWhatTheStoreDoesNot(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	from := peer.Peer{Router: "r01"}
	fleet.onEnvelope(from, objectEnvelope(KindConfig, configObject(5, 2)))
	fleet.onEnvelope(from, objectEnvelope(KindUpstream, upstreamObject("u", 6, false)))
	require.EqualValues(t, 2, f.dispatcher.Table().Version())
	require.Equal(t, 1, f.usable())
	require.True(t, f.dispatcher.Current(), "it has just read the store")
	f.clock.advance(currentWithin + time.Second)
	require.False(t, f.dispatcher.Current())
	fleet.onEnvelope(from, fleet.readingEnvelope(true))
	require.True(t, f.dispatcher.Current())
	fleet.onEnvelope(from, objectEnvelope(KindUpstream, removal("u", 7)))
	require.Zero(t, f.usable())
	f.clock.advance(currentWithin + time.Second)
	require.False(t, f.dispatcher.Current())
}

// A router starts and learns the configuration from a peer. A caller with an
// unknown key must not be put off, if that peer follows the store; if it does
// not, the key may be one that was added meanwhile.
func TestAnswerOfAReaderIsTheNewest(t *testing.T) {
	for _, reads := range []bool{true, false} {
		f := newFixture()
		fleet := f.fleet("r00")
		answer := objectEnvelope(KindConfig, configObject(5, 2))
		answer.GetConfigObject().Answer = true
		from := peer.Peer{Router: "r01"}
		fleet.onEnvelope(from, answer)
		require.False(t, f.dispatcher.Current())
		fleet.onEnvelope(from, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueEnd{
			CatalogueEnd: &peerpb.CatalogueEnd{Holds: true, ReadsStore: reads},
		}})
		require.Equal(t, reads, f.dispatcher.Current())
	}
}

// This process stood still for two seconds. All upstreams look silent then,
// and the requests on them must not be given up for that.
func TestNothingIsGivenUpAfterAPause(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	fleet.giveUpStalled()
	f.clock.advance(scanEvery)
	fleet.giveUpStalled()
	require.Zero(t, fleet.resumed)
	f.clock.advance(2 * time.Second)
	fleet.giveUpStalled()
	require.Equal(t, f.clock.now(), fleet.resumed)
}
