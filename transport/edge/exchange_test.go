package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/figstile/figstile/coordination/exchange"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/transport/peer"
)

// network carries messages between fleets of one process and counts them.
type network struct {
	clock  *fakeClock
	nodes  map[state.Router]*node
	queued []func()
	// cutOff is a data centre that reaches no other, empty if there is none.
	cutOff state.DataCentre
	// messages and bytes are of all routers, far those between data centres.
	messages, bytes, far int
}

// node is one router without sockets.
type node struct {
	network *network
	fixture *fixture
	fleet   *fleet
	told    timesTold
	dead    bool
	// run numbers the process's starts.
	run state.Incarnation
	// sessions are the peers that this one is connected with.
	sessions map[state.Router]bool
}

var _ sender = (*node)(nil)

func newNetwork(routers, dataCentres int) *network {
	n := &network{clock: newClock(), nodes: make(map[state.Router]*node)}
	for i := range routers {
		self := scheduler.Peer{Router: state.Router(fmt.Sprintf("r%03d", i)), DataCentre: state.DataCentre(fmt.Sprint(i % dataCentres))}
		f := &fixture{clock: n.clock, platform: &fakePlatform{}}
		f.desk = newDesk(Settings{Router: self.Router, DataCentre: self.DataCentre}, n.clock.now)
		f.catalogue = newCatalogue(f.platform, f.desk, zerolog.Nop(), n.clock.now)
		for e := range 4 {
			f.desk.setUpstream(engineName(e), directory.Upstream{ID: engineName(e), Service: "s", Slots: 64}, true)
		}
		one := &node{network: n, run: 1, sessions: make(map[state.Router]bool), fixture: f, fleet: newFleet(self, f.desk, f.catalogue, zerolog.Nop(), n.clock.now)}
		one.fleet.mesh = one
		n.nodes[self.Router] = one
	}
	n.publish()
	return n
}

func engineName(i int) state.Upstream { return state.Upstream(fmt.Sprintf("e%d", i)) }

// publish opens and closes sessions and tells all routers who lives.
func (n *network) publish() {
	for _, one := range n.nodes {
		if one.dead {
			clear(one.sessions)
			continue
		}
		live := n.liveFor(one)
		one.connect(live)
		one.fleet.onPeers(live)
	}
}

// liveFor returns the routers that one can reach, itself included.
func (n *network) liveFor(one *node) []scheduler.Peer {
	var live []scheduler.Peer
	for i := range len(n.nodes) {
		other := n.nodes[state.Router(fmt.Sprintf("r%03d", i))]
		if !other.dead && one.reaches(other) {
			live = append(live, other.fleet.self)
		}
	}
	return live
}

// reaches says whether no cut lies between two routers.
func (o *node) reaches(other *node) bool {
	from, to, cutOff := o.fleet.self.DataCentre, other.fleet.self.DataCentre, o.network.cutOff
	return from == to || from != cutOff && to != cutOff
}

// connect opens sessions with the live routers, before those are published.
func (o *node) connect(live []scheduler.Peer) {
	for router := range o.sessions {
		if other := o.network.nodes[router]; other.dead || !o.reaches(other) {
			delete(o.sessions, router)
		}
	}
	for _, p := range live {
		if p.Router != o.fleet.self.Router && !o.sessions[p.Router] {
			o.sessions[p.Router] = true
			o.fleet.onSession(peer.Peer{Router: p.Router, DataCentre: p.DataCentre, Incarnation: o.network.nodes[p.Router].run})
		}
	}
}

// run lets time pass; messages arrive at the next round.
func (n *network) run(d time.Duration) {
	for range d / scanEvery {
		n.clock.advance(scanEvery)
		queued := n.queued
		n.queued = nil
		for _, deliver := range queued {
			deliver()
		}
		for _, one := range n.nodes {
			if !one.dead {
				one.fleet.tellSettled()
				one.fleet.askForCatalogue()
				one.fleet.tellInTurn(&one.told)
			}
		}
	}
}

func (o *node) Send(to state.Router, env *peerpb.Envelope) bool {
	other := o.network.nodes[to]
	if !o.reaches(other) {
		return false
	}
	o.network.messages++
	o.network.bytes += proto.Size(env)
	if other.fleet.self.DataCentre != o.fleet.self.DataCentre {
		o.network.far += proto.Size(env)
	}
	from := peer.Peer{Router: o.fleet.self.Router, DataCentre: o.fleet.self.DataCentre}
	o.network.queued = append(o.network.queued, func() {
		if !other.dead {
			other.fleet.onEnvelope(from, env)
		}
	})
	return true
}

func (o *node) SendEach(to []state.Router, env *peerpb.Envelope) {
	for _, router := range to {
		o.Send(router, env)
	}
}

func (o *node) Broadcast(env *peerpb.Envelope) {
	for router := range o.network.nodes {
		if router != o.fleet.self.Router {
			o.Send(router, env)
		}
	}
}

// place sends requests to an engine.
func (o *node) place(engine, requests int) {
	o.fixture.desk.mu.Lock()
	defer o.fixture.desk.mu.Unlock()
	for range requests {
		o.fixture.desk.picture.Place(o.network.clock.now(), placement.Work{Service: "s"}, placement.Estimate{Upstream: engineName(engine)})
	}
}

// believes returns how many requests a router thinks an engine has.
func (o *node) believes(engine int) int {
	o.fixture.desk.mu.Lock()
	defer o.fixture.desk.mu.Unlock()
	return o.fixture.desk.picture.Running(engineName(engine))
}

func (n *network) requireAllBelieve(t *testing.T, engine, want int) {
	t.Helper()
	for router, one := range n.nodes {
		if !one.dead {
			require.Equal(t, want, one.believes(engine), "%s of engine %d", router, engine)
		}
	}
}

func TestAllRoutersHearOfAllLoads(t *testing.T) {
	for _, size := range []struct{ routers, dataCentres int }{{1, 1}, {8, 4}, {16, 4}, {17, 4}, {40, 1}, {85, 5}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(size.routers, size.dataCentres)
			for _, one := range n.nodes {
				one.place(0, 2)
			}
			n.nodes["r000"].place(1, 5)
			n.run(time.Second)
			n.requireAllBelieve(t, 0, 2*size.routers)
			n.requireAllBelieve(t, 1, 5)
		})
	}
}

// The speaker of a data centre loses power while requests go on. The others
// must hear of that data centre's work from its successor, once, and of the
// lost router's no more.
func TestLoadsAreHeardThroughTheNextSpeaker(t *testing.T) {
	n := newNetwork(40, 4)
	for _, one := range n.nodes {
		one.place(0, 1)
	}
	n.run(time.Second)
	var lost *node
	for _, one := range n.nodes {
		if one.fleet.planned().Speaks && one.fleet.self.DataCentre == "2" {
			lost = one
		}
	}
	lost.dead = true
	n.run(500 * time.Millisecond)
	n.publish()
	for _, one := range n.nodes {
		if !one.dead {
			one.place(1, 1)
		}
	}
	n.run(2 * time.Second)
	n.requireAllBelieve(t, 0, 39)
	n.requireAllBelieve(t, 1, 39)
}

// A fleet grows past the size at which all tell all, and shrinks below it
// again. While both kinds of word are about, no work may count twice: an
// engine that looks twice as busy is left idle.
func TestNoLoadCountsTwiceWhenTheFleetGrows(t *testing.T) {
	n := newNetwork(20, 4)
	for i := 14; i < 20; i++ {
		n.nodes[state.Router(fmt.Sprintf("r%03d", i))].dead = true
	}
	n.publish()
	for _, one := range n.nodes {
		if !one.dead {
			one.place(0, 1)
		}
	}
	n.run(time.Second)
	n.requireAllBelieve(t, 0, 14)
	for _, one := range n.nodes {
		one.dead = false
	}
	n.publish()
	n.run(time.Second)
	n.requireAllBelieve(t, 0, 14)
	for i := 14; i < 20; i++ {
		n.nodes[state.Router(fmt.Sprintf("r%03d", i))].dead = true
	}
	n.publish()
	n.run(time.Second)
	n.requireAllBelieve(t, 0, 14)
}

// A data centre is cut off. Its sum must not stay in the others' pictures.
func TestLostDataCentreIsForgotten(t *testing.T) {
	n := newNetwork(40, 4)
	for _, one := range n.nodes {
		one.place(0, 1)
	}
	n.run(time.Second)
	for _, one := range n.nodes {
		one.dead = one.fleet.self.DataCentre == "3"
	}
	n.publish()
	n.run(time.Second)
	n.requireAllBelieve(t, 0, 30)
}

// A sum of one's own data centre, or one told by a router that does not speak
// for it, would count work twice.
func TestSumsFromTheWrongSideAreRefused(t *testing.T) {
	n := newNetwork(40, 4)
	one := n.nodes["r000"]
	sum := func(dc state.DataCentre) *peerpb.Envelope {
		return loadsEnvelope(dc, map[state.Upstream]placement.Load{engineName(0): {Running: 9}}, true)
	}
	one.fleet.onEnvelope(peer.Peer{Router: "r004", DataCentre: "0"}, sum("0"))
	one.fleet.onEnvelope(peer.Peer{Router: "r001", DataCentre: "1"}, sum("0"))
	one.fleet.onEnvelope(peer.Peer{Router: "r001", DataCentre: "1"}, sum("2"))
	require.Zero(t, one.believes(0))
	one.fleet.onEnvelope(peer.Peer{Router: "r001", DataCentre: "1"}, sum("1"))
	one.fleet.onEnvelope(peer.Peer{Router: "r004", DataCentre: "0"}, sum("2"))
	require.Equal(t, 18, one.believes(0))
}

// A configuration changes while a relay of a data centre has stopped without
// anybody knowing it yet, and later while both have. The data centre has the
// new one at once through the other relay, and within two seconds by the
// reader's digest.
func TestChangedObjectsReachAllRouters(t *testing.T) {
	n := newNetwork(40, 4)
	reader := n.nodes["r000"]
	reader.fleet.reading = true
	var relays []*node
	for _, router := range reader.fleet.planned().Relays {
		if relay := n.nodes[router]; relay.fleet.self.DataCentre == "2" {
			relays = append(relays, relay)
		}
	}
	require.Len(t, relays, 2)
	change := func(revision, version uint64) {
		reader.fleet.onAnswer()
		o := configObject(revision, version)
		reader.fixture.catalogue.take(KindConfig, o, sourceStore)
		reader.fleet.sendNews(KindConfig, []Object{o})
	}
	requireVersion := func(version uint64) {
		t.Helper()
		for router, one := range n.nodes {
			if !one.dead {
				require.EqualValues(t, version, one.fixture.desk.Table().Version(), router)
			}
		}
	}
	change(5, 2)
	n.run(300 * time.Millisecond)
	requireVersion(2)
	relays[0].dead = true
	change(6, 3)
	n.run(300 * time.Millisecond)
	requireVersion(3)
	relays[1].dead = true
	change(7, 4)
	for range 4 {
		reader.fleet.onAnswer()
		n.run(500 * time.Millisecond)
	}
	requireVersion(4)
}

// What a router is told must not grow with the fleet, but with its data centre
// and the number of data centres. Counted for loads that change at four engines
// all the time, without framing.
func TestTrafficBetweenRouters(t *testing.T) {
	perRouter := func(routers, dataCentres int) (messages, bytes, far float64) {
		n := newNetwork(routers, dataCentres)
		n.run(time.Second)
		n.messages, n.bytes, n.far = 0, 0, 0
		const seconds = 5
		for range seconds * 10 {
			for _, one := range n.nodes {
				one.place(0, 1)
				one.place(1, 1)
			}
			n.run(scanEvery)
		}
		each := float64(routers * seconds)
		return float64(n.messages) / each, float64(n.bytes) / each, float64(n.far) / each
	}
	for _, size := range []struct{ routers, dataCentres int }{{8, 4}, {30, 4}, {73, 4}, {85, 5}, {300, 12}} {
		messages, bytes, far := perRouter(size.routers, size.dataCentres)
		t.Logf("%3d routers in %2d data centres: each sends %.0f messages/s, %.0f B/s, of which %.0f B/s to other data centres",
			size.routers, size.dataCentres, messages, bytes, far)
		require.Less(t, messages, 260.0)
		require.Less(t, far, 2500.0)
	}
}

// A router starts while the store is away from it. One of its peers tells it
// the configuration and the upstreams; the others don't tell them again.
func TestStartingRouterLearnsAllFromOnePeer(t *testing.T) {
	n := newNetwork(40, 4)
	late := n.nodes["r007"]
	late.dead = true
	n.publish()
	for _, one := range n.nodes {
		if !one.dead {
			one.fixture.catalogue.take(KindConfig, configObject(5, 2), sourceStore)
			for i := range 50 {
				one.fixture.catalogue.take(KindUpstream, upstreamObject(fmt.Sprintf("u%d", i), 6, false), sourceStore)
			}
		}
	}
	n.run(2 * time.Second)
	late.dead = false
	late.run++
	n.bytes = 0
	n.publish()
	n.run(500 * time.Millisecond)
	require.EqualValues(t, 2, late.fixture.desk.Table().Version())
	require.Equal(t, 54, late.fixture.usable())
	objects := 0
	for _, held := range late.fixture.catalogue.all() {
		for _, o := range held {
			objects += proto.Size(objectEnvelope(KindUpstream, o))
		}
	}
	require.Less(t, n.bytes, 2*objects)
}

// A whole fleet loses power and starts again. One router has read the store
// before it has sessions with the others; all must hold the configuration
// within a few steps, and not wait until they may read the store themselves.
func TestFleetThatStartsLearnsFromItsFirstReader(t *testing.T) {
	n := newNetwork(40, 4)
	for _, one := range n.nodes {
		one.dead = true
	}
	n.publish()
	n.run(time.Second)
	for _, one := range n.nodes {
		one.dead, one.run = false, 2
		one.fleet.catchUp = exchange.CatchUp{}
	}
	n.nodes["r000"].fixture.catalogue.take(KindConfig, configObject(5, 2), sourceStore)
	n.publish()
	n.run(5 * scanEvery)
	for router, one := range n.nodes {
		require.NotNil(t, one.fixture.desk.Table(), router)
	}
}

// A router is cut off while the configuration changes. Sessions with the peers
// that told of it open again, and it learns what it missed.
func TestRouterThatWasCutOffLearnsWhatItMissed(t *testing.T) {
	n := newNetwork(8, 4)
	for _, one := range n.nodes {
		one.fixture.catalogue.take(KindConfig, configObject(5, 2), sourceStore)
	}
	n.run(time.Second)
	cut := n.nodes["r003"]
	cut.dead = true
	n.publish()
	for _, one := range n.nodes {
		if !one.dead {
			one.fixture.catalogue.take(KindConfig, configObject(9, 3), sourceStore)
		}
	}
	n.run(time.Second)
	cut.dead = false
	n.publish()
	n.run(time.Second)
	require.EqualValues(t, 3, cut.fixture.desk.Table().Version())
}
