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
	fleet.watchPeriods = testWatchPeriods
	return fleet
}

// discardSender discards all messages.
type discardSender struct{}

func (discardSender) Send(state.Router, *peerpb.Envelope) bool      { return false }
func (discardSender) SendTimed(state.Router, *peerpb.Envelope) bool { return false }
func (discardSender) SendEach([]state.Router, *peerpb.Envelope)     {}
func (discardSender) SelectPeers(membership.SelectionChanged)       {}
func (discardSender) DropSession(state.Router)                      {}

func peersNamed(n int) []scheduler.Peer {
	var peers []scheduler.Peer
	for i := range n {
		peers = append(peers, scheduler.Peer{Router: state.Router(fmt.Sprintf("r%02d", i))})
	}
	return peers
}

// Only a few routers of a large fleet read the store for all others. They agree
// on it only through what each announces about itself.
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
				from.storeAnswers()
			}
			claim := from.mayClaimReading()
			for j, to := range fleets {
				if i != j {
					to.onReading(from.self.Router, &peerpb.Reading{Store: claim}, time.Time{})
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

// The routers that read the store lose power, without a reset or a last
// message. The others must notice the missing claims and read the store
// themselves.
func TestSilentReadersAreReplaced(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r09")
	fleet.onPeers(peersNamed(10))
	for i := range targetReaders {
		fleet.onReading(state.Router(fmt.Sprintf("r%02d", i)), &peerpb.Reading{Store: true}, time.Time{})
	}
	require.False(t, fleet.shouldReadStore())
	f.clock.advance(claimExpiry + time.Millisecond)
	fleet.shouldReadStore()
	f.clock.advance(noReaderTimeout)
	require.True(t, fleet.shouldReadStore())
}

// The store is unavailable to all routers. A few of them retry often to detect
// its return, the others rarely, because each call is billed.
func TestFewRoutersCallAnUnavailableStore(t *testing.T) {
	firstFixture, lastFixture := newFixture(), newFixture()
	first, last := firstFixture.fleet("r00"), lastFixture.fleet("r09")
	for _, f := range []*fixture{firstFixture, lastFixture} {
		f.catalogue.applyObject(KindConfig, configObject(1, 1), sourceStore)
	}
	first.onPeers(peersNamed(10))
	last.onPeers(peersNamed(10))
	require.Equal(t, minRetryDelay, first.retryDelay(minRetryDelay))
	require.GreaterOrEqual(t, last.retryDelay(minRetryDelay), nonEagerRetryDelay/2)
	require.True(t, first.shouldReadStore())
	require.False(t, last.shouldReadStore())
	lastFixture.clock.advance(noReaderTimeout)
	require.True(t, last.shouldReadStore(), "no router claims to read the store")
	empty := newFixture().fleet("r09")
	empty.onPeers(peersNamed(10))
	require.True(t, empty.shouldReadStore(), "a router without a configuration does not wait")
}

// A router joins a running fleet. It gives its peers a short time to send their
// objects before it calls the store itself, and a longer time if the whole
// fleet starts for the first time. Only seeds read the store at once.
func TestStartingRouterWaitsForItsPeers(t *testing.T) {
	settings := Settings{Addresses: Addresses{Peers: "10.0.0.9:1"}, Seeds: []string{"10.0.0.1:1"}}
	require.Equal(t, startStoreReadDelay, storeReadDelay(settings))
	f := newFixture()
	fleet := f.fleet("r00")
	fleet.storeReadDelay = storeReadDelay(settings)
	require.False(t, fleet.shouldReadStore())
	f.clock.advance(startStoreReadDelay)
	require.True(t, fleet.shouldReadStore(), "no peer has sent its objects")
	settings.FirstStart = true
	require.Equal(t, firstStartStoreReadDelay, storeReadDelay(settings))
	settings.Seeds = []string{"10.0.0.9:1"}
	require.Zero(t, storeReadDelay(settings))
	require.Zero(t, storeReadDelay(Settings{}))
}

// The store rejects this router's calls. It must not claim to follow the store,
// or its peers would rely on it.
func TestRouterRejectedByTheStoreDoesNotClaimToRead(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	require.True(t, fleet.shouldReadStore())
	require.False(t, fleet.mayClaimReading(), "the store has not answered yet")
	f.clock.advance(time.Second)
	fleet.storeAnswers()
	require.True(t, fleet.mayClaimReading())
	f.clock.advance(time.Millisecond)
	fleet.storeFails()
	require.False(t, fleet.mayClaimReading())
}

// A router is cut off from the store while its calls wait for changes. It must
// stop claiming to read the store well before a change has to be in force, so
// that others read it in time.
func TestOverdueCallEndsTheClaimToRead(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	require.True(t, fleet.shouldReadStore())
	fleet.storeAnswers()
	period := testWatchPeriods[KindUpstream]
	fleet.onStoreCall(KindUpstream, f.clock.now().Add(period+answerSlack))
	f.clock.advance(period + answerSlack)
	require.True(t, fleet.mayClaimReading(), "a slow store still answers within this time")
	f.clock.advance(1)
	require.False(t, fleet.mayClaimReading())
	require.Less(t, period+answerSlack+noReaderTimeout+tickInterval+readerCheckInterval, applyLimit)
	fleet.storeAnswers()
	require.True(t, fleet.mayClaimReading())
}

// A router stops to read the store, loses its path to it and is to read it again.
// It must not claim to do so by the answers to its earlier calls.
func TestRouterThatReadsAgainClaimsAfterAnAnswer(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r05")
	fleet.onPeers(peersNamed(6))
	require.True(t, fleet.shouldReadStore())
	fleet.storeAnswers()
	require.True(t, fleet.mayClaimReading())
	for _, router := range []state.Router{"r00", "r01", "r02"} {
		fleet.onReading(router, &peerpb.Reading{Store: true}, f.clock.now())
	}
	require.False(t, fleet.shouldReadStore())
	f.clock.advance(tickInterval)
	fleet.onReading("r00", &peerpb.Reading{Store: false}, f.clock.now())
	require.True(t, fleet.shouldReadStore())
	require.False(t, fleet.mayClaimReading())
	fleet.storeAnswers()
	require.True(t, fleet.mayClaimReading())
}

// The calls for the configuration hang, while those for upstreams are answered.
// The router must not claim to follow the store, or its peers would take its
// configuration for the newest.
func TestCallsOfOneKindDoNotHideTheSilenceOfAnother(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	require.True(t, fleet.shouldReadStore())
	fleet.storeAnswers()
	for range 30 {
		require.True(t, fleet.mayClaimReading())
		f.clock.advance(tickInterval)
		fleet.onStoreAnswer(KindUpstream, f.clock.now())
		if f.clock.now().Sub(fleet.ownConfirmation()) > testWatchPeriods[KindConfig]+callTimeout {
			break
		}
	}
	require.False(t, fleet.mayClaimReading())
	require.False(t, f.dispatcher.ConfigStatus().Current)
}

// A configuration and an upstream that leaves reach a router through a peer
// while the store rejects its calls. So does the confirmation that the peer's
// configuration is the newest.
func TestPeersProvideWhatTheStoreDoesNot(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	from := peer.Peer{Router: "r01"}
	receive := func(env *peerpb.Envelope) { fleet.onMessage(from, env, f.clock.now()) }
	receive(objectEnvelope(KindConfig, configObject(5, 2)))
	receive(objectEnvelope(KindUpstream, upstreamObject("u", 6, false)))
	require.EqualValues(t, 2, f.dispatcher.Table().Version())
	require.Equal(t, 1, f.usableUpstreams())
	require.False(t, f.dispatcher.ConfigStatus().Current, "a configuration that is sent on may be an old one")
	receive(claim(5, 0))
	require.True(t, f.dispatcher.ConfigStatus().Current)
	f.clock.advance(defaultConfigLimit + 1)
	require.False(t, f.dispatcher.ConfigStatus().Current)
	receive(claim(5, 0))
	require.True(t, f.dispatcher.ConfigStatus().Current)
	receive(objectEnvelope(KindUpstream, removal("u", 7)))
	require.Zero(t, f.usableUpstreams())
	f.clock.advance(defaultConfigLimit + 1)
	require.False(t, f.dispatcher.ConfigStatus().Current)
}

// claim is the message of a reader that holds a revision, which the store
// confirmed some milliseconds ago.
func claim(revision uint64, confirmedMs uint32) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Reading{Reading: &peerpb.Reading{
		Store: true, Router: "r02", ConfigRevision: revision, ConfirmedMs: &confirmedMs,
	}}}
}

// A reader claims to read the store and names a newer configuration than the one
// held here, which lost the change. This router must not tell callers that a
// route does not exist, however often the claim is repeated.
func TestClaimOfANewerConfigurationDoesNotConfirmTheHeldOne(t *testing.T) {
	f := newFixture()
	fleet := f.fleet("r00")
	from := peer.Peer{Router: "r01"}
	fleet.onMessage(from, objectEnvelope(KindConfig, configObject(5, 2)), time.Time{})
	fleet.onMessage(from, claim(5, 0), f.clock.now())
	for range 10 {
		f.clock.advance(heartbeatInterval)
		fleet.onMessage(from, claim(6, 0), f.clock.now())
		require.False(t, f.dispatcher.ConfigStatus().Current)
	}
	fleet.onMessage(from, objectEnvelope(KindConfig, configObject(6, 3)), time.Time{})
	require.True(t, f.dispatcher.ConfigStatus().Current)
}

// A claim waited in the sockets of a router that stood still, or its reader had
// not heard from the store for a while. What it confirms is as old as that.
func TestOldClaimConfirmsOnlyItsOwnTime(t *testing.T) {
	for name, c := range map[string]struct {
		confirmedMs uint32
		transit     time.Duration
		known       bool
		current     bool
	}{
		"fresh":            {100, 10 * time.Millisecond, true, true},
		"reader cut off":   {2001, 0, true, false},
		"delayed":          {0, 2001 * time.Millisecond, true, false},
		"both":             {1200, 1200 * time.Millisecond, true, false},
		"unknown age":      {0, 0, false, false},
		"just within both": {1000, time.Second, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			fleet := f.fleet("r00")
			from := peer.Peer{Router: "r01"}
			fleet.onMessage(from, objectEnvelope(KindConfig, configObject(5, 2)), time.Time{})
			var sentAfter time.Time
			if c.known {
				sentAfter = f.clock.now().Add(-c.transit)
			}
			fleet.onMessage(from, claim(5, c.confirmedMs), sentAfter)
			require.Equal(t, c.current, f.dispatcher.ConfigStatus().Current)
		})
	}
}

// A router starts and receives the configuration from a peer. If that peer
// states that the store confirmed its configuration, a caller with an unknown
// key is refused without a retry. If it does not, the key may have been added
// meanwhile, and the caller must be able to retry.
func TestCatalogueWithAConfirmationIsCurrent(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		f := newFixture()
		fleet := f.fleet("r00")
		answer := objectEnvelope(KindConfig, configObject(5, 2))
		answer.GetConfigObject().Answer = true
		from := peer.Peer{Router: "r01"}
		fleet.onMessage(from, answer, time.Time{})
		require.False(t, f.dispatcher.ConfigStatus().Current)
		end := &peerpb.CatalogueEnd{Holds: true, ConfigRevision: 5}
		if confirmed {
			end.ConfirmedMs = new(uint32)
		}
		fleet.onMessage(from, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueEnd{CatalogueEnd: end}}, f.clock.now())
		require.Equal(t, confirmed, f.dispatcher.ConfigStatus().Current)
	}
}

// This process was paused for two seconds. All upstreams look silent then, but
// their requests must not be cancelled for that.
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
