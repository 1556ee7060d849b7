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

// network delivers messages between the routers of one process and counts them.
type network struct {
	clock             *fakeClock
	nodes             map[state.Router]*node
	order             []state.Router
	pendingDeliveries []delivery
	// partitioned is a data centre without connections to the others, or empty
	// if there is none.
	partitioned state.DataCentre
	// messages and bytes count the messages of all routers, remoteBytes those
	// sent to other data centres, and configBytes the bytes of configurations.
	messages, bytes, remoteBytes, configBytes int
	// objects counts the store's objects that routers sent to each other.
	objects int
}

// delivery is something that happens at a router. It waits while the router is
// frozen.
type delivery struct {
	to  *node
	run func()
}

// node is one router without sockets.
type node struct {
	network   *network
	fixture   *fixture
	fleet     *fleet
	published publishTimes
	stopped   bool
	// frozen suspends the process. Its sessions stay open, and messages wait.
	frozen bool
	// incarnation counts the starts of the process.
	incarnation state.Incarnation
	// sessions are the peers that this router has a session with. selected are
	// those it is asked to connect to.
	sessions map[state.Router]bool
	selected membership.SelectionChanged
}

var _ sender = (*node)(nil)

// seedCount is the number of routers that all others know from their start.
const seedCount = 3

func newNetwork(routers, dataCentres int) *network {
	n := &network{clock: newClock(), nodes: make(map[state.Router]*node)}
	for i := range routers {
		router, dc := state.Router(fmt.Sprintf("r%03d", i)), state.DataCentre(fmt.Sprint(i%dataCentres))
		f := &fixture{clock: n.clock, platform: &fakePlatform{}}
		f.dispatcher = newDispatcher(Settings{Router: router, DataCentre: dc}, n.clock.now)
		f.catalogue = newCatalogue(f.platform, f.dispatcher, zerolog.Nop(), n.clock.now)
		// The routers have listed the upstreams, of which there is no entry.
		f.catalogue.replaceUpstreams(nil, 0, sourceStore)
		for e := range 4 {
			f.dispatcher.setUpstream(engineName(e), directory.Upstream{ID: engineName(e), Service: "s", Slots: 64}, true)
		}
		one := &node{network: n, fixture: f}
		n.nodes[router] = one
		n.order = append(n.order, router)
		one.start(dc)
	}
	n.advance(2 * time.Second)
	return n
}

func engineName(i int) state.Upstream { return state.Upstream(fmt.Sprintf("e%d", i)) }

// start starts a new incarnation of the process with the content of its
// fixture.
func (o *node) start(dc state.DataCentre) {
	router := o.fixture.dispatcher.settings.Router
	o.incarnation++
	o.stopped = false
	o.sessions, o.selected, o.published = make(map[state.Router]bool), membership.SelectionChanged{DialSeeds: true}, publishTimes{}
	o.fleet = newFleet(scheduler.Peer{Router: router, DataCentre: dc}, o.fixture.dispatcher, o.fixture.catalogue, zerolog.Nop(), o.network.clock.now)
	o.fleet.mesh = o
	o.fleet.watchPeriods = testWatchPeriods
	o.fleet.join(membership.Member{Router: router, DataCentre: dc, Incarnation: o.incarnation, Address: string(router) + ":1"})
}

func (o *node) restart() { o.start(o.fleet.self.DataCentre) }

// canReach reports whether no partition separates two running routers.
func (o *node) canReach(other *node) bool {
	from, to, partitioned := o.fleet.self.DataCentre, other.fleet.self.DataCentre, o.network.partitioned
	return !o.stopped && !other.stopped && (from == to || from != partitioned && to != partitioned)
}

// kill stops processes. Their peers detect it at once.
func (n *network) kill(nodes ...*node) {
	for _, one := range nodes {
		one.stopped = true
		for _, router := range n.order {
			if one.sessions[router] {
				n.nodes[router].close(one)
			}
		}
		clear(one.sessions)
	}
}

// closePartitioned closes the sessions across a partition, as missing
// heartbeats do.
func (n *network) closePartitioned() {
	for _, one := range n.nodes {
		for router := range one.sessions {
			if other := n.nodes[router]; !one.canReach(other) || !other.sessions[one.fleet.self.Router] {
				one.close(other)
			}
		}
	}
}

// updateSessions closes the sessions across a partition and opens the selected
// ones.
func (n *network) updateSessions() {
	n.closePartitioned()
	for _, router := range n.order {
		if one := n.nodes[router]; !one.stopped {
			one.dial()
		}
	}
}

func (o *node) close(other *node) {
	delete(o.sessions, other.fleet.self.Router)
	if o.stopped {
		return
	}
	o.publishNeighbours()
	o.fleet.onSessionEnd(peer.Peer{Router: other.fleet.self.Router, DataCentre: other.fleet.self.DataCentre, Incarnation: other.incarnation})
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

// dial opens the sessions that the overlay has selected.
func (o *node) dial() {
	fleet := make(map[state.Router]bool)
	for _, router := range o.selected.LiveRouters {
		fleet[router] = true
	}
	var wanted []state.Router
	for _, m := range o.selected.Members {
		wanted = append(wanted, m.Router)
	}
	for _, seed := range o.network.order[:min(seedCount, len(o.network.order))] {
		if o.selected.DialSeeds && !fleet[seed] {
			wanted = append(wanted, seed)
		}
	}
	for _, router := range wanted {
		other := o.network.nodes[router]
		if other == o || o.sessions[router] || other.sessions[o.fleet.self.Router] || !o.canReach(other) || other.frozen {
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
		Peer:    peer.Peer{Router: router, DataCentre: other.fleet.self.DataCentre, Incarnation: other.incarnation},
		Address: string(router) + ":1", Dialled: dialled,
	})
}

// SelectPeers implements sender.
func (o *node) SelectPeers(selected membership.SelectionChanged) { o.selected = selected }

// DropSession implements sender.
func (o *node) DropSession(router state.Router) {
	other := o.network.nodes[router]
	closeAt := func(one, peer *node) {
		o.network.pendingDeliveries = append(o.network.pendingDeliveries, delivery{one, func() {
			if one.sessions[peer.fleet.self.Router] {
				one.close(peer)
			}
		}})
	}
	closeAt(o, other)
	closeAt(other, o)
}

// messageDelay is the time from sending a message to its delivery.
const messageDelay = 20 * time.Millisecond

// advance advances the clock, delivers messages and runs the periodic tasks.
func (n *network) advance(d time.Duration) {
	for range d / messageDelay {
		n.clock.advance(messageDelay)
		n.deliver()
		due := n.clock.now().UnixNano()%int64(tickInterval) == 0
		for _, router := range n.order {
			one := n.nodes[router]
			if one.stopped || one.frozen {
				continue
			}
			one.dial()
			if due {
				one.fleet.publishConfirmedRemovals()
				one.fleet.tickOverlay()
				one.fleet.fetchCatalogue()
				one.fleet.fetchAnnouncedConfig()
				one.fleet.publishDue(&one.published)
			}
		}
	}
}

// deliver delivers what was sent before, except to frozen routers.
func (n *network) deliver() {
	queued := n.pendingDeliveries
	n.pendingDeliveries = nil
	for _, d := range queued {
		if d.to.frozen {
			n.pendingDeliveries = append(n.pendingDeliveries, d)
			continue
		}
		d.run()
	}
}

// Send implements sender.
func (o *node) Send(to state.Router, env *peerpb.Envelope) bool { return o.send(to, env, time.Time{}) }

// SendTimed implements sender.
func (o *node) SendTimed(to state.Router, env *peerpb.Envelope) bool {
	return o.send(to, env, o.network.clock.now())
}

func (o *node) send(to state.Router, env *peerpb.Envelope, sentAfter time.Time) bool {
	if !o.sessions[to] {
		return false
	}
	other, run := o.network.nodes[to], o.incarnation
	o.network.messages++
	o.network.bytes += proto.Size(env)
	if env.GetConfigObject() != nil {
		o.network.objects++
	}
	if env.GetConfigObject() != nil && strings.HasPrefix(env.GetConfigObject().GetKey(), KindConfig.String()) {
		o.network.configBytes += proto.Size(env)
	}
	if other.fleet.self.DataCentre != o.fleet.self.DataCentre {
		o.network.remoteBytes += proto.Size(env)
	}
	from := peer.Peer{Router: o.fleet.self.Router, DataCentre: o.fleet.self.DataCentre, Incarnation: o.incarnation}
	o.network.pendingDeliveries = append(o.network.pendingDeliveries, delivery{other, func() {
		if o.canReach(other) && other.sessions[from.Router] && o.incarnation == run {
			other.fleet.onMessage(from, env, sentAfter)
		}
	}})
	return true
}

// SendEach implements sender.
func (o *node) SendEach(to []state.Router, env *peerpb.Envelope) {
	for _, router := range to {
		o.Send(router, env)
	}
}

// place places requests at an engine.
func (o *node) place(engine, requests int) {
	o.fixture.dispatcher.mu.Lock()
	defer o.fixture.dispatcher.mu.Unlock()
	for range requests {
		o.fixture.dispatcher.loadView.Place(o.network.clock.now(), placement.Work{Service: "s"}, placement.Estimate{Upstream: engineName(engine)})
	}
}

// runningSeen returns the number of running requests that a router counts at an
// engine.
func (o *node) runningSeen(engine int) int {
	o.fixture.dispatcher.mu.Lock()
	defer o.fixture.dispatcher.mu.Unlock()
	return o.fixture.dispatcher.loadView.RunningAt(engineName(engine))
}

func (n *network) requireAllSee(t *testing.T, engine, want int) {
	t.Helper()
	for router, one := range n.nodes {
		if !one.stopped {
			require.Equal(t, want, one.runningSeen(engine), "running requests seen by %s at engine %d", router, engine)
		}
	}
}

func TestLoadsReachAllRouters(t *testing.T) {
	for _, size := range []struct{ routers, dataCentres int }{{1, 1}, {8, 4}, {16, 4}, {17, 4}, {40, 1}, {85, 5}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(size.routers, size.dataCentres)
			for _, one := range n.nodes {
				one.place(0, 2)
			}
			n.nodes["r000"].place(1, 5)
			n.advance(time.Second)
			n.requireAllSee(t, 0, 2*size.routers)
			n.requireAllSee(t, 1, 5)
		})
	}
}

// innerRouter returns a router of a data centre that has more than two links,
// so that other routers receive loads through it.
func (n *network) innerRouter(dc state.DataCentre) *node {
	for _, router := range n.order {
		one := n.nodes[router]
		if !one.stopped && one.fleet.self.DataCentre == dc && len(one.fleet.overlay.Links()) > 2 {
			return one
		}
	}
	return nil
}

// An inner router of the tree is killed while requests continue.
func TestLoadsReachAllRoutersAfterAnInnerRouterStops(t *testing.T) {
	n := newNetwork(40, 4)
	for _, one := range n.nodes {
		one.place(0, 1)
	}
	n.advance(time.Second)
	n.kill(n.innerRouter("2"))
	n.advance(500 * time.Millisecond)
	for _, one := range n.nodes {
		if !one.stopped {
			one.place(1, 1)
		}
	}
	n.advance(3 * time.Second)
	n.requireAllSee(t, 0, 39)
	n.requireAllSee(t, 1, 39)
}

// The fleet grows beyond the size up to which every router reports to every
// other. No load may count twice.
func TestNoLoadCountsTwiceWhenTheFleetGrows(t *testing.T) {
	n := newNetwork(20, 4)
	n.kill(n.nodes["r014"], n.nodes["r015"], n.nodes["r016"], n.nodes["r017"], n.nodes["r018"], n.nodes["r019"])
	for _, one := range n.nodes {
		one.restart()
		one.stopped = one.fleet.self.Router >= "r014"
	}
	n.advance(time.Second)
	for _, one := range n.nodes {
		if !one.stopped {
			require.False(t, one.fleet.overlay.TreeMode())
			one.place(0, 1)
		}
	}
	n.advance(time.Second)
	n.requireAllSee(t, 0, 14)
	for _, one := range n.nodes {
		if one.stopped {
			one.restart()
		}
	}
	n.advance(3 * time.Second)
	n.requireAllSee(t, 0, 14)
}

// A data centre is partitioned. Its loads must not stay in the view of the
// other routers.
func TestLoadsOfAPartitionedDataCentreAreRemoved(t *testing.T) {
	n := newNetwork(40, 4)
	for _, one := range n.nodes {
		one.place(0, 1)
	}
	n.advance(time.Second)
	n.partitioned = "3"
	n.advance(6 * time.Second)
	for router, one := range n.nodes {
		want := 30
		if one.fleet.self.DataCentre == "3" {
			want = 10
		}
		require.Equal(t, want, one.runningSeen(0), router)
	}
	n.partitioned = ""
	n.advance(6 * time.Second)
	n.requireAllSee(t, 0, 40)
}

// Loads from a peer without a link would count twice, as they also arrive over
// a link.
func TestLoadsFromPeersWithoutALinkAreIgnored(t *testing.T) {
	n := newNetwork(40, 4)
	one := n.nodes["r000"]
	loads := loadsEnvelope(map[state.Upstream]placement.Load{engineName(0): {Running: 9}}, true)
	links := one.fleet.overlay.Links()
	for router := range n.nodes {
		if !slices.Contains(links, router) {
			one.fleet.onMessage(peer.Peer{Router: router}, loads, time.Time{})
		}
	}
	require.Zero(t, one.runningSeen(0))
	one.fleet.onMessage(peer.Peer{Router: links[0]}, loads, time.Time{})
	require.Equal(t, 9, one.runningSeen(0))
}

// largeConfigObject returns a configuration that is large enough to be
// announced and fetched.
func largeConfigObject(revision, version uint64) Object {
	config := routing.Config{Version: version, Services: []routing.Service{{Name: "s"}}}
	for i := range 1400 {
		config.Routes = append(config.Routes, routing.Route{Name: fmt.Sprintf("route-%d-%x", i, i*7919), Host: "h.example", Prefix: fmt.Sprintf("/%x/", i*104729)})
	}
	config.Routes = append(config.Routes, routing.Route{Name: fmt.Sprintf("last-%d", version), Host: "h", Prefix: "/"})
	spec, _ := json.Marshal(config)
	return Object{Name: "main", Revision: revision, Spec: spec}
}

// readFromStore simulates that a router reads an object from the store.
func (o *node) readFromStore(object Object) {
	o.fixture.catalogue.applyObject(KindConfig, object, sourceStore)
	o.fleet.publishObjects(KindConfig, []Object{object})
	o.fleet.storeAnswers()
}

func (n *network) requireVersion(t *testing.T, version uint64) {
	t.Helper()
	for router, one := range n.nodes {
		if !one.stopped {
			require.EqualValues(t, version, one.fixture.dispatcher.Table().Version(), router)
		}
	}
}

// A configuration changes while a router through which others receive changes
// has stopped.
func TestChangedObjectsReachAllRouters(t *testing.T) {
	n := newNetwork(40, 4)
	reader := n.nodes["r000"]
	reader.fleet.readingStore = true
	reader.readFromStore(configObject(5, 2))
	n.advance(500 * time.Millisecond)
	n.requireVersion(t, 2)
	lost := n.innerRouter("2")
	lost.stopped = true
	reader.readFromStore(configObject(6, 3))
	for range 4 {
		reader.fleet.storeAnswers()
		n.advance(500 * time.Millisecond)
	}
	n.requireVersion(t, 3)
}

// A large configuration filled the links of all routers for seconds. Each router
// must receive it about once, and after a change only the difference.
func TestLargeConfigurationIsReceivedOnce(t *testing.T) {
	for _, size := range []struct{ routers, dataCentres int }{{8, 4}, {19, 6}, {66, 3}} {
		n := newNetwork(size.routers, size.dataCentres)
		n.configBytes = 0
		firstConfig := largeConfigObject(5, 2)
		for _, reader := range []state.Router{"r000", "r001", "r002"} {
			n.nodes[reader].readFromStore(firstConfig)
		}
		n.advance(2 * time.Second)
		n.requireVersion(t, 2)
		configSize := len(wire.Compress(firstConfig.Spec, nil))
		t.Logf("%v: %.2f copies of %d bytes to each router", size, float64(n.configBytes)/float64(configSize*size.routers), configSize)
		require.Less(t, n.configBytes, configSize*size.routers*3/2)
		n.configBytes = 0
		for i := range uint64(5) {
			for _, reader := range []state.Router{"r000", "r001", "r002"} {
				n.nodes[reader].readFromStore(largeConfigObject(6+i, 3+i))
			}
			n.advance(200 * time.Millisecond)
		}
		n.advance(2 * time.Second)
		n.requireVersion(t, 7)
		t.Logf("%v: %.0f bytes to each router for five changes of one route", size, float64(n.configBytes)/float64(size.routers))
		require.Less(t, n.configBytes, configSize*size.routers/4)
	}
}

// The bytes that a router receives must not grow with the fleet, only with its
// data centre and the number of data centres. The test changes the loads of two
// engines continuously and counts messages without framing.
func TestTrafficBetweenRouters(t *testing.T) {
	perRouter := func(routers, dataCentres int) (messages, bytes, remoteBytes float64) {
		n := newNetwork(routers, dataCentres)
		n.advance(time.Second)
		n.messages, n.bytes, n.remoteBytes = 0, 0, 0
		const seconds = 5
		for range seconds * 10 {
			for _, one := range n.nodes {
				one.place(0, 1)
				one.place(1, 1)
			}
			n.advance(tickInterval)
		}
		each := float64(routers * seconds)
		return float64(n.messages) / each, float64(n.bytes) / each, float64(n.remoteBytes) / each
	}
	for _, size := range []struct{ routers, dataCentres int }{{8, 4}, {30, 4}, {73, 4}, {85, 5}, {300, 12}} {
		messages, bytes, remoteBytes := perRouter(size.routers, size.dataCentres)
		t.Logf("%3d routers in %2d data centres: each sends %.0f messages/s, %.0f B/s, of which %.0f B/s to other data centres",
			size.routers, size.dataCentres, messages, bytes, remoteBytes)
		require.Less(t, messages, 260.0)
		require.Less(t, remoteBytes, 2500.0)
	}
}

// A starting router received the whole catalogue from each of its peers, where
// one copy is enough.
func TestStartingRouterFetchesTheCatalogueFromOnePeer(t *testing.T) {
	n := newNetwork(40, 4)
	restarted := n.nodes["r007"]
	n.kill(restarted)
	for _, one := range n.nodes {
		if !one.stopped {
			one.fixture.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
			for i := range 50 {
				one.fixture.catalogue.applyObject(KindUpstream, upstreamObject(fmt.Sprintf("u%d", i), 6, false), sourceStore)
			}
		}
	}
	n.advance(2 * time.Second)
	restarted.restart()
	n.objects = 0
	n.advance(500 * time.Millisecond)
	require.EqualValues(t, 2, restarted.fixture.dispatcher.Table().Version())
	require.Equal(t, 54, restarted.fixture.usableUpstreams())
	require.Less(t, n.objects, 2*51)
}

// The routers of a starting fleet waited until each of them was allowed to read
// the store itself. They must fetch the configuration from the first reader.
func TestStartingFleetGetsTheConfigurationFromItsFirstReader(t *testing.T) {
	n := newNetwork(40, 4)
	n.kill(slices.Collect(maps.Values(n.nodes))...)
	n.advance(time.Second)
	for _, one := range n.nodes {
		one.restart()
	}
	n.nodes["r000"].fixture.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
	n.advance(500 * time.Millisecond)
	for router, one := range n.nodes {
		require.NotNil(t, one.fixture.dispatcher.Table(), router)
	}
}

// A data centre missed a change of the configuration while it was partitioned,
// and did not receive it after the partition either.
func TestPartitionedRouterCatchesUp(t *testing.T) {
	for _, routers := range []int{8, 40} {
		n := newNetwork(routers, 4)
		for _, one := range n.nodes {
			one.fixture.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
		}
		n.advance(time.Second)
		n.partitioned = "3"
		n.closePartitioned()
		n.advance(6 * time.Second)
		reader := n.nodes["r000"]
		reader.fleet.readingStore = true
		reader.readFromStore(configObject(9, 3))
		n.advance(time.Second)
		require.EqualValues(t, 2, n.nodes["r007"].fixture.dispatcher.Table().Version())
		n.partitioned = ""
		for range 6 {
			reader.fleet.storeAnswers()
			n.closePartitioned()
			n.advance(500 * time.Millisecond)
		}
		n.requireVersion(t, 3)
	}
}
