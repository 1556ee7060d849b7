package overlay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

const (
	step = 20 * time.Millisecond
	// maxSessions is what a router may hold at rest.
	maxSessions = 16
	// convergeLimit is how long a change of the fleet may take to reach everybody.
	convergeLimit = 5 * time.Second
)

// simFleet is a fleet in memory: sessions open after a step, messages take one.
type simFleet struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	nodes  map[state.Router]*node
	order  []state.Router
	seeds  []state.Router
	// cutCentre is a data centre that reaches no other.
	cutCentre       state.DataCentre
	queued          []func()
	maxSessionsSeen int
}

type node struct {
	*Overlay
	fleet    *simFleet
	alive    bool
	silent   bool
	selected SelectPeers
	sessions map[state.Router]bool
	// dialled are the sessions that this node opened.
	dialled map[state.Router]bool
	links   map[state.Router]bool
}

func newSimFleet(t *testing.T, routers, centres int, seed uint64) *simFleet {
	w := &simFleet{t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), nodes: make(map[state.Router]*node)}
	for i := range routers {
		name := state.Router(fmt.Sprintf("r%03d", i))
		w.order = append(w.order, name)
		w.start(name, state.DataCentre(fmt.Sprintf("dc%d", i%centres)))
	}
	w.seeds = w.order[:min(3, len(w.order))]
	return w
}

func (w *simFleet) start(name state.Router, dc state.DataCentre) {
	incarnation := state.Incarnation(1)
	if previous := w.nodes[name]; previous != nil {
		incarnation = previous.self.Incarnation + 1
	}
	self := membership.Member{Router: name, DataCentre: dc, Incarnation: incarnation, Address: string(name) + ":1"}
	w.nodes[name] = &node{
		Overlay: New(self), fleet: w, alive: true, selected: SelectPeers{DialSeeds: true},
		sessions: make(map[state.Router]bool), dialled: make(map[state.Router]bool), links: make(map[state.Router]bool),
	}
}

func (w *simFleet) canReach(a, b *node) bool {
	crosses := a.self.DataCentre != b.self.DataCentre && (a.self.DataCentre == w.cutCentre || b.self.DataCentre == w.cutCentre)
	return a.alive && b.alive && !a.silent && !b.silent && !crosses
}

func (w *simFleet) run(d time.Duration) {
	for range d / step {
		w.now = w.now.Add(step)
		queued := w.queued
		w.queued = nil
		for _, deliver := range queued {
			deliver()
		}
		for _, name := range w.order {
			if n := w.nodes[name]; n.alive && !n.silent {
				n.closeBroken()
				n.dial()
				n.keepAlive()
				n.reportNeighbours()
				n.Tick(w.now)
				n.perform()
			}
		}
	}
}

// closeBroken ends the sessions with dead peers at once, those behind a cut
// stay open and silent.
func (n *node) closeBroken() {
	for _, name := range n.fleet.order {
		if peer := n.fleet.nodes[name]; n.sessions[name] && (!peer.alive || !peer.sessions[n.self.Router]) {
			n.close(name)
		}
	}
}

func (n *node) close(name state.Router) {
	delete(n.sessions, name)
	delete(n.dialled, name)
	n.SessionClosed(n.fleet.now, name)
	n.perform()
}

func (n *node) dial() {
	fleet := make(map[state.Router]bool)
	for _, name := range n.selected.LiveRouters {
		fleet[name] = true
	}
	var wanted []state.Router
	for _, m := range n.selected.Members {
		wanted = append(wanted, m.Router)
	}
	if n.selected.DialSeeds {
		for _, seed := range n.fleet.seeds {
			if !fleet[seed] {
				wanted = append(wanted, seed)
			}
		}
	}
	for _, name := range wanted {
		peer := n.fleet.nodes[name]
		if name == n.self.Router || n.sessions[name] || !n.fleet.canReach(n, peer) {
			continue
		}
		if peer.sessions[n.self.Router] {
			peer.close(n.self.Router)
		}
		n.sessions[name], peer.sessions[n.self.Router] = true, true
		n.dialled[name] = true
		peer.SessionOpened(n.fleet.now, n.self, false)
		peer.perform()
		n.SessionOpened(n.fleet.now, peer.self, true)
		n.perform()
	}
	n.fleet.maxSessionsSeen = max(n.fleet.maxSessionsSeen, len(n.sessions))
}

// reportNeighbours tells the overlay which peers the node has sessions with.
func (n *node) reportNeighbours() {
	live := []scheduler.Peer{{Router: n.self.Router, DataCentre: n.self.DataCentre, Incarnation: n.self.Incarnation}}
	for _, name := range n.fleet.order {
		if n.sessions[name] {
			peer := n.fleet.nodes[name].self
			live = append(live, scheduler.Peer{Router: name, DataCentre: peer.DataCentre, Incarnation: peer.Incarnation})
		}
	}
	n.SetNeighbours(live)
}

// keepAlive stands for the loads that are told over links all the time.
func (n *node) keepAlive() {
	for _, peer := range n.Links() {
		n.deliver(peer, func(to *node) { to.MarkAlive(n.fleet.now, n.self.Router) })
	}
}

func (n *node) deliver(to state.Router, f func(to *node)) {
	if !n.sessions[to] {
		return
	}
	peer, sender := n.fleet.nodes[to], n
	n.fleet.queued = append(n.fleet.queued, func() {
		if n.fleet.canReach(sender, peer) && peer.sessions[sender.self.Router] && n.fleet.nodes[sender.self.Router] == sender {
			f(peer)
		}
	})
}

func (n *node) perform() {
	for _, a := range n.Actions() {
		switch a := a.(type) {
		case Send:
			n.deliver(a.To, func(to *node) {
				to.Receive(n.fleet.now, n.self.Router, a.Message)
				to.perform()
			})
		case SelectPeers:
			n.selected = a
		case DropSession:
			if n.sessions[a.Router] {
				peer := n.fleet.nodes[a.Router]
				n.close(a.Router)
				if peer.sessions[n.self.Router] {
					peer.close(n.self.Router)
				}
			}
		case LinkEstablished:
			require.False(n.fleet.t, n.links[a.Router], "%s linked twice to %s", n.self.Router, a.Router)
			n.links[a.Router] = true
		case LinkEnded:
			delete(n.links, a.Router)
		}
	}
}

// checkSettled says whether every reachable router knows exactly the others, over
// links that reach each once.
func (w *simFleet) checkSettled() error {
	for _, name := range w.order {
		n := w.nodes[name]
		if !n.alive || n.silent {
			continue
		}
		want := make(map[state.Router]bool)
		for _, other := range w.order {
			if w.canReach(n, w.nodes[other]) || other == name {
				want[other] = true
			}
		}
		for _, p := range n.LiveRouters() {
			if !want[p.Router] || p.Incarnation != w.nodes[p.Router].self.Incarnation {
				return fmt.Errorf("%s counts %s as live", name, p.Router)
			}
			delete(want, p.Router)
		}
		if len(want) > 0 {
			return fmt.Errorf("%s misses %d: %v", name, len(want), want)
		}
		if n.TreeMode() && len(n.sessions) > maxSessions {
			return fmt.Errorf("%s holds %d sessions", name, len(n.sessions))
		}
		for peer := range n.links {
			if !w.nodes[peer].links[name] {
				return fmt.Errorf("%s is linked to %s alone", name, peer)
			}
		}
	}
	return w.checkReachedOnce()
}

// checkReachedOnce walks the links from each router.
func (w *simFleet) checkReachedOnce() error {
	for _, name := range w.order {
		n := w.nodes[name]
		if !n.alive || n.silent || !n.TreeMode() {
			continue
		}
		seen := make(map[state.Router]int)
		var walk func(at, from state.Router)
		walk = func(at, from state.Router) {
			seen[at]++
			if seen[at] > 1 {
				return
			}
			for _, next := range w.nodes[at].Links() {
				if next != from {
					walk(next, at)
				}
			}
		}
		walk(name, "")
		for router, times := range seen {
			if times > 1 {
				return fmt.Errorf("%s reaches %s %d times", name, router, times)
			}
		}
	}
	return nil
}

func (w *simFleet) requireSettles(description string) time.Duration {
	w.t.Helper()
	begin := w.now
	var err error
	for w.now.Sub(begin) < convergeLimit {
		if err = w.checkSettled(); err == nil {
			return w.now.Sub(begin)
		}
		w.run(step)
	}
	for _, name := range w.order {
		n := w.nodes[name]
		if n.alive && n.parent == "" {
			w.t.Logf("root %s %s target %q visited %q contacts %d view %d excluded %v sessions %v links %v", name, n.self.DataCentre, n.requestedParent, n.introducedTo, len(n.contacts), len(n.view), n.excludedParents, n.sessions, n.Links())
		}
	}
	require.NoError(w.t, err, description)
	return 0
}

func (w *simFleet) kill(names ...state.Router) {
	for _, name := range names {
		w.nodes[name].alive = false
		clear(w.nodes[name].sessions)
	}
}

var sizes = []struct{ routers, centres int }{{1, 1}, {8, 4}, {16, 4}, {17, 4}, {19, 6}, {40, 1}, {66, 3}, {100, 1}, {295, 6}}

// A whole fleet starts at once, knowing only its seeds.
func TestFleetForms(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newSimFleet(t, size.routers, size.centres, 1)
			took := w.requireSettles("start")
			w.run(3 * time.Second)
			maxAtRest := 0
			for _, n := range w.nodes {
				maxAtRest = max(maxAtRest, len(n.sessions))
			}
			t.Logf("settled after %s, sessions at rest %d at most", took, maxAtRest)
			require.NoError(t, w.checkSettled())
		})
	}
}

// Routers stop or are killed, one after another and together, and come back.
func TestFleetHealsAfterKills(t *testing.T) {
	for seed := range uint64(3) {
		w := newSimFleet(t, 60, 4, seed)
		w.requireSettles("start")
		w.run(3 * time.Second)
		for round := range 6 {
			var killed []state.Router
			for range 1 + w.random.IntN(8) {
				killed = append(killed, w.order[w.random.IntN(len(w.order))])
			}
			w.kill(killed...)
			w.requireSettles(fmt.Sprintf("seed %d round %d: killed %v", seed, round, killed))
			for _, name := range killed {
				w.start(name, w.nodes[name].self.DataCentre)
			}
			w.requireSettles(fmt.Sprintf("seed %d round %d: restarted %v", seed, round, killed))
		}
	}
}

// The router that all others hang below is lost, without a word or with one.
func TestRootIsReplaced(t *testing.T) {
	for _, silent := range []bool{false, true} {
		w := newSimFleet(t, 60, 4, 7)
		w.requireSettles("start")
		w.run(3 * time.Second)
		root := w.root()
		if silent {
			w.nodes[root].silent = true
		} else {
			w.kill(root)
		}
		took := w.requireSettles("root lost")
		t.Logf("silent %v: settled after %s", silent, took)
	}
}

func (w *simFleet) root() state.Router {
	for _, name := range w.order {
		if w.nodes[name].alive && w.nodes[name].parent == "" {
			return name
		}
	}
	return ""
}

// Each data centre in turn is cut off. Both sides go on with what they reach,
// and join again afterwards.
func TestCutDataCentreKeepsItsOwnView(t *testing.T) {
	w := newSimFleet(t, 60, 4, 3)
	w.requireSettles("start")
	for i := range 4 {
		w.cutCentre = state.DataCentre(fmt.Sprintf("dc%d", i))
		w.requireSettles("cut " + string(w.cutCentre))
		w.run(7 * time.Second)
		require.NoError(t, w.checkSettled())
		w.cutCentre = ""
		took := w.requireSettles(fmt.Sprintf("healed dc%d", i))
		t.Logf("dc%d joined after %s", i, took)
	}
}

// All processes of a large fleet are killed and start again.
func TestWholeFleetRestarts(t *testing.T) {
	w := newSimFleet(t, 100, 6, 5)
	w.requireSettles("start")
	w.kill(w.order...)
	w.run(time.Second)
	for _, name := range w.order {
		w.start(name, w.nodes[name].self.DataCentre)
	}
	t.Logf("settled after %s", w.requireSettles("restart"))
}

// A fleet grows past the size at which all hold sessions with all.
func TestFleetGrowsIntoATree(t *testing.T) {
	w := newSimFleet(t, 24, 3, 9)
	w.kill(w.order[14:]...)
	w.requireSettles("small")
	for _, n := range w.nodes {
		require.False(t, n.alive && n.TreeMode())
	}
	for _, name := range w.order[14:] {
		w.start(name, w.nodes[name].self.DataCentre)
		w.run(100 * time.Millisecond)
	}
	w.requireSettles("grown")
}

// Guards against messages that are lost for seconds because their router was found
// behind the silent link that it had moved from.
func TestNextHopFollowsARouterThatMoved(t *testing.T) {
	moved := membership.Member{Router: "moved", DataCentre: "dc"}
	o := New(membership.Member{Router: "self", DataCentre: "dc"})
	now := time.Unix(1000, 0)
	for _, peer := range []state.Router{"b", "c", "a"} {
		o.links[peer] = &link{reachable: map[state.Router]membership.Member{moved.Router: moved}, lastReceived: now}
		for range 20 {
			next, ok := o.NextHop(moved.Router)
			require.True(t, ok)
			require.Equal(t, peer, next)
		}
		now = now.Add(time.Second)
	}
	_, ok := o.NextHop("unknown")
	require.False(t, ok)
}
