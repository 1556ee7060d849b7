package edge

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/peer"
)

// network carries messages between fleets of one process and counts them.
type network struct {
	clock  *fakeClock
	nodes  map[state.Router]*node
	order  []state.Router
	queued []func()
	// cutOff is a data centre that reaches no other, empty if there is none.
	cutOff state.DataCentre
	// messages and bytes are of all routers, far those between data centres,
	// configs the bytes of configurations.
	messages, bytes, far, configs int
	// objects counts those of the store that were sent.
	objects int
}

// node is one router without sockets.
type node struct {
	network *network
	fixture *fixture
	fleet   *fleet
	told    publishTimes
	dead    bool
	// run numbers the process's starts.
	run state.Incarnation
	// sessions are the peers that this one is connected with, selected those
	// that it wants to be.
	sessions map[state.Router]bool
	selected membership.SelectionChanged
}

var _ sender = (*node)(nil)

// seeds is how many routers all others know from the start.
const seeds = 3

func newNetwork(routers, dataCentres int) *network {
	n := &network{clock: newClock(), nodes: make(map[state.Router]*node)}
	for i := range routers {
		router, dc := state.Router(fmt.Sprintf("r%03d", i)), state.DataCentre(fmt.Sprint(i%dataCentres))
		f := &fixture{clock: n.clock, platform: &fakePlatform{}}
		f.dispatcher = newDispatcher(Settings{Router: router, DataCentre: dc}, n.clock.now)
		f.catalogue = newCatalogue(f.platform, f.dispatcher, zerolog.Nop(), n.clock.now)
		for e := range 4 {
			f.dispatcher.setUpstream(engineName(e), directory.Upstream{ID: engineName(e), Service: "s", Slots: 64}, true)
		}
		one := &node{network: n, fixture: f}
		n.nodes[router] = one
		n.order = append(n.order, router)
		one.start(dc)
	}
	n.run(2 * time.Second)
	return n
}

func engineName(i int) state.Upstream { return state.Upstream(fmt.Sprintf("e%d", i)) }

// start begins a run of the process, which knows what its fixture holds.
func (o *node) start(dc state.DataCentre) {
	router := o.fixture.dispatcher.settings.Router
	o.run++
	o.dead = false
	o.sessions, o.selected, o.told = make(map[state.Router]bool), membership.SelectionChanged{DialSeeds: true}, publishTimes{}
	o.fleet = newFleet(scheduler.Peer{Router: router, DataCentre: dc}, o.fixture.dispatcher, o.fixture.catalogue, zerolog.Nop(), o.network.clock.now)
	o.fleet.mesh = o
	o.fleet.join(membership.Member{Router: router, DataCentre: dc, Incarnation: o.run, Address: string(router) + ":1"})
}

func (o *node) restart() { o.start(o.fleet.self.DataCentre) }

// reaches says whether no cut lies between two routers.
func (o *node) reaches(other *node) bool {
	from, to, cutOff := o.fleet.self.DataCentre, other.fleet.self.DataCentre, o.network.cutOff
	return !o.dead && !other.dead && (from == to || from != cutOff && to != cutOff)
}

// kill ends processes: their peers see it at once.
func (n *network) kill(nodes ...*node) {
	for _, one := range nodes {
		one.dead = true
		for _, router := range n.order {
			if one.sessions[router] {
				n.nodes[router].close(one)
			}
		}
		clear(one.sessions)
	}
}

// closeSilent ends the sessions across a cut that has lasted, as heartbeats do.
func (n *network) closeSilent() {
	for _, one := range n.nodes {
		for router := range one.sessions {
			if other := n.nodes[router]; !one.reaches(other) || !other.sessions[one.fleet.self.Router] {
				one.close(other)
			}
		}
	}
}

// publish closes the sessions across a cut and opens those that are wanted.
func (n *network) publish() {
	n.closeSilent()
	for _, router := range n.order {
		if one := n.nodes[router]; !one.dead {
			one.dial()
		}
	}
}

func (o *node) close(other *node) {
	delete(o.sessions, other.fleet.self.Router)
	if o.dead {
		return
	}
	o.publishNeighbours()
	o.fleet.onSessionEnd(peer.Peer{Router: other.fleet.self.Router, DataCentre: other.fleet.self.DataCentre, Incarnation: other.run})
}

func (o *node) publishNeighbours() {
	live := []scheduler.Peer{o.fleet.self}
	for _, router := range o.network.order {
		if o.sessions[router] {
			live = append(live, o.network.nodes[router].fleet.self)
		}
	}
	o.fleet.onPeers(live)
}

// dial opens the sessions that are wanted.
func (o *node) dial() {
	fleet := make(map[state.Router]bool)
	for _, router := range o.selected.LiveRouters {
		fleet[router] = true
	}
	var wanted []state.Router
	for _, m := range o.selected.Members {
		wanted = append(wanted, m.Router)
	}
	for _, seed := range o.network.order[:min(seeds, len(o.network.order))] {
		if o.selected.DialSeeds && !fleet[seed] {
			wanted = append(wanted, seed)
		}
	}
	for _, router := range wanted {
		other := o.network.nodes[router]
		if other == o || o.sessions[router] || !o.reaches(other) {
			continue
		}
		other.open(o, false)
		o.open(other, true)
	}
}

func (o *node) open(other *node, dialled bool) {
	router := other.fleet.self.Router
	if o.sessions[router] {
		o.close(other)
	}
	o.sessions[router] = true
	o.publishNeighbours()
	o.fleet.onSession(peer.Session{
		Peer:    peer.Peer{Router: router, DataCentre: other.fleet.self.DataCentre, Incarnation: other.run},
		Address: string(router) + ":1", Dialled: dialled,
	})
}

// Select implements sender.
func (o *node) Select(selected membership.SelectionChanged) { o.selected = selected }

// Drop implements sender.
func (o *node) Drop(router state.Router) {
	other := o.network.nodes[router]
	o.network.queued = append(o.network.queued, func() {
		if o.sessions[router] {
			o.close(other)
		}
		if other.sessions[o.fleet.self.Router] {
			other.close(o)
		}
	})
}

// networkStep is how long a message takes.
const networkStep = 20 * time.Millisecond

// run lets time pass.
func (n *network) run(d time.Duration) {
	for range d / networkStep {
		n.clock.advance(networkStep)
		queued := n.queued
		n.queued = nil
		for _, deliver := range queued {
			deliver()
		}
		due := n.clock.now().UnixNano()%int64(scanEvery) == 0
		for _, router := range n.order {
			one := n.nodes[router]
			if one.dead {
				continue
			}
			one.dial()
			if due {
				one.fleet.publishSettled()
				one.fleet.tickOverlay()
				one.fleet.fetchCatalogue()
				one.fleet.fetchDue()
				one.fleet.publishDue(&one.told)
			}
		}
	}
}

// Send implements sender.
func (o *node) Send(to state.Router, env *peerpb.Envelope) bool {
	if !o.sessions[to] {
		return false
	}
	other, run := o.network.nodes[to], o.run
	o.network.messages++
	o.network.bytes += proto.Size(env)
	if env.GetConfigObject() != nil {
		o.network.objects++
	}
	if env.GetConfigObject() != nil && strings.HasPrefix(env.GetConfigObject().GetKey(), KindConfig.String()) {
		o.network.configs += proto.Size(env)
	}
	if other.fleet.self.DataCentre != o.fleet.self.DataCentre {
		o.network.far += proto.Size(env)
	}
	from := peer.Peer{Router: o.fleet.self.Router, DataCentre: o.fleet.self.DataCentre, Incarnation: o.run}
	o.network.queued = append(o.network.queued, func() {
		if o.reaches(other) && other.sessions[from.Router] && o.run == run {
			other.fleet.onEnvelope(from, env)
		}
	})
	return true
}

// SendEach implements sender.
func (o *node) SendEach(to []state.Router, env *peerpb.Envelope) {
	for _, router := range to {
		o.Send(router, env)
	}
}

// place sends requests to an engine.
func (o *node) place(engine, requests int) {
	o.fixture.dispatcher.mu.Lock()
	defer o.fixture.dispatcher.mu.Unlock()
	for range requests {
		o.fixture.dispatcher.picture.Place(o.network.clock.now(), placement.Work{Service: "s"}, placement.Estimate{Upstream: engineName(engine)})
	}
}

// believes returns how many requests a router thinks an engine has.
func (o *node) believes(engine int) int {
	o.fixture.dispatcher.mu.Lock()
	defer o.fixture.dispatcher.mu.Unlock()
	return o.fixture.dispatcher.picture.RunningAt(engineName(engine))
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

// between returns a router of a data centre that others hang below.
func (n *network) between(dc state.DataCentre) *node {
	for _, router := range n.order {
		one := n.nodes[router]
		if !one.dead && one.fleet.self.DataCentre == dc && len(one.fleet.overlay.Links()) > 2 {
			return one
		}
	}
	return nil
}

// A router that others hear through is killed while requests go on.
func TestLoadsAreHeardPastALostRouter(t *testing.T) {
	n := newNetwork(40, 4)
	for _, one := range n.nodes {
		one.place(0, 1)
	}
	n.run(time.Second)
	n.kill(n.between("2"))
	n.run(500 * time.Millisecond)
	for _, one := range n.nodes {
		if !one.dead {
			one.place(1, 1)
		}
	}
	n.run(3 * time.Second)
	n.requireAllBelieve(t, 0, 39)
	n.requireAllBelieve(t, 1, 39)
}

// A fleet grows past the size at which all tell all: no work may count twice.
func TestNoLoadCountsTwiceWhenTheFleetGrows(t *testing.T) {
	n := newNetwork(20, 4)
	n.kill(n.nodes["r014"], n.nodes["r015"], n.nodes["r016"], n.nodes["r017"], n.nodes["r018"], n.nodes["r019"])
	for _, one := range n.nodes {
		one.restart()
		one.dead = one.fleet.self.Router >= "r014"
	}
	n.run(time.Second)
	for _, one := range n.nodes {
		if !one.dead {
			require.False(t, one.fleet.overlay.TreeMode())
			one.place(0, 1)
		}
	}
	n.run(time.Second)
	n.requireAllBelieve(t, 0, 14)
	for _, one := range n.nodes {
		if one.dead {
			one.restart()
		}
	}
	n.run(3 * time.Second)
	n.requireAllBelieve(t, 0, 14)
}

// A data centre is lost. Its work must not stay in the others' pictures.
func TestLostDataCentreIsForgotten(t *testing.T) {
	n := newNetwork(40, 4)
	for _, one := range n.nodes {
		one.place(0, 1)
	}
	n.run(time.Second)
	n.cutOff = "3"
	n.run(6 * time.Second)
	for router, one := range n.nodes {
		want := 30
		if one.fleet.self.DataCentre == "3" {
			want = 10
		}
		require.Equal(t, want, one.believes(0), router)
	}
	n.cutOff = ""
	n.run(6 * time.Second)
	n.requireAllBelieve(t, 0, 40)
}

// What a peer tells that no link leads to would count twice.
func TestLoadsBesideLinksDoNotCount(t *testing.T) {
	n := newNetwork(40, 4)
	one := n.nodes["r000"]
	loads := loadsEnvelope(map[state.Upstream]placement.Load{engineName(0): {Running: 9}}, true)
	links := one.fleet.overlay.Links()
	for router := range n.nodes {
		if !slices.Contains(links, router) {
			one.fleet.onEnvelope(peer.Peer{Router: router}, loads)
		}
	}
	require.Zero(t, one.believes(0))
	one.fleet.onEnvelope(peer.Peer{Router: links[0]}, loads)
	require.Equal(t, 9, one.believes(0))
}

// largeConfigObject is a configuration that is announced and fetched.
func largeConfigObject(revision, version uint64) Object {
	config := routing.Config{Version: version, Services: []routing.Service{{Name: "s"}}}
	for i := range 1400 {
		config.Routes = append(config.Routes, routing.Route{Name: fmt.Sprintf("route-%d-%x", i, i*7919), Host: "h.example", Prefix: fmt.Sprintf("/%x/", i*104729)})
	}
	config.Routes = append(config.Routes, routing.Route{Name: fmt.Sprintf("last-%d", version), Host: "h", Prefix: "/"})
	spec, _ := json.Marshal(config)
	return Object{Name: "main", Revision: revision, Spec: spec}
}

// read has a router read an object from the store.
func (o *node) read(object Object) {
	o.fleet.onAnswer()
	o.fixture.catalogue.take(KindConfig, object, sourceStore)
	o.fleet.publishObjects(KindConfig, []Object{object})
}

func (n *network) requireVersion(t *testing.T, version uint64) {
	t.Helper()
	for router, one := range n.nodes {
		if !one.dead {
			require.EqualValues(t, version, one.fixture.dispatcher.Table().Version(), router)
		}
	}
}

// A configuration changes while a router that others hear through is silent.
func TestChangedObjectsReachAllRouters(t *testing.T) {
	n := newNetwork(40, 4)
	reader := n.nodes["r000"]
	reader.fleet.reading = true
	reader.read(configObject(5, 2))
	n.run(500 * time.Millisecond)
	n.requireVersion(t, 2)
	lost := n.between("2")
	lost.dead = true
	reader.read(configObject(6, 3))
	for range 4 {
		reader.fleet.onAnswer()
		n.run(500 * time.Millisecond)
	}
	n.requireVersion(t, 3)
}

// A large configuration took the links of all routers for seconds.
func TestLargeConfigurationIsReceivedOnce(t *testing.T) {
	for _, size := range []struct{ routers, dataCentres int }{{8, 4}, {19, 6}, {66, 3}} {
		n := newNetwork(size.routers, size.dataCentres)
		n.configs = 0
		first := largeConfigObject(5, 2)
		for _, reader := range []state.Router{"r000", "r001", "r002"} {
			n.nodes[reader].read(first)
		}
		n.run(2 * time.Second)
		n.requireVersion(t, 2)
		whole := len(wire.Compress(first.Spec, nil))
		t.Logf("%v: %.2f copies of %d bytes to each router", size, float64(n.configs)/float64(whole*size.routers), whole)
		require.Less(t, n.configs, whole*size.routers*3/2)
		n.configs = 0
		for i := range uint64(5) {
			for _, reader := range []state.Router{"r000", "r001", "r002"} {
				n.nodes[reader].read(largeConfigObject(6+i, 3+i))
			}
			n.run(200 * time.Millisecond)
		}
		n.run(2 * time.Second)
		n.requireVersion(t, 7)
		t.Logf("%v: %.0f bytes to each router for five changes of one route", size, float64(n.configs)/float64(size.routers))
		require.Less(t, n.configs, whole*size.routers/4)
	}
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

// A router that starts was told everything by each of its peers.
func TestStartingRouterLearnsAllFromOnePeer(t *testing.T) {
	n := newNetwork(40, 4)
	late := n.nodes["r007"]
	n.kill(late)
	for _, one := range n.nodes {
		if !one.dead {
			one.fixture.catalogue.take(KindConfig, configObject(5, 2), sourceStore)
			for i := range 50 {
				one.fixture.catalogue.take(KindUpstream, upstreamObject(fmt.Sprintf("u%d", i), 6, false), sourceStore)
			}
		}
	}
	n.run(2 * time.Second)
	late.restart()
	n.objects = 0
	n.run(500 * time.Millisecond)
	require.EqualValues(t, 2, late.fixture.dispatcher.Table().Version())
	require.Equal(t, 54, late.fixture.usable())
	require.Less(t, n.objects, 2*51)
}

// Routers of a fleet that starts waited until each might read the store itself.
func TestFleetThatStartsLearnsFromItsFirstReader(t *testing.T) {
	n := newNetwork(40, 4)
	n.kill(slices.Collect(maps.Values(n.nodes))...)
	n.run(time.Second)
	for _, one := range n.nodes {
		one.restart()
	}
	n.nodes["r000"].fixture.catalogue.take(KindConfig, configObject(5, 2), sourceStore)
	n.run(500 * time.Millisecond)
	for router, one := range n.nodes {
		require.NotNil(t, one.fixture.dispatcher.Table(), router)
	}
}

// A data centre that was cut off missed a change of the configuration for good.
func TestRouterThatWasCutOffLearnsWhatItMissed(t *testing.T) {
	for _, routers := range []int{8, 40} {
		n := newNetwork(routers, 4)
		for _, one := range n.nodes {
			one.fixture.catalogue.take(KindConfig, configObject(5, 2), sourceStore)
		}
		n.run(time.Second)
		n.cutOff = "3"
		n.closeSilent()
		n.run(6 * time.Second)
		reader := n.nodes["r000"]
		reader.fleet.reading = true
		reader.read(configObject(9, 3))
		n.run(time.Second)
		require.EqualValues(t, 2, n.nodes["r007"].fixture.dispatcher.Table().Version())
		n.cutOff = ""
		for range 6 {
			reader.fleet.onAnswer()
			n.closeSilent()
			n.run(500 * time.Millisecond)
		}
		n.requireVersion(t, 3)
	}
}
