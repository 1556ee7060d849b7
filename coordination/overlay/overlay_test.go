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
	// healWithin is how long a change of the fleet may take to reach everybody.
	healWithin = 5 * time.Second
)

// world is a fleet in memory: sessions open after a step, messages take one.
type world struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	nodes  map[state.Router]*node
	order  []state.Router
	seeds  []state.Router
	// cut is a data centre that reaches no other.
	cut    state.DataCentre
	queued []func()
	most   int
}

type node struct {
	*Overlay
	world    *world
	alive    bool
	silent   bool
	selected Select
	sessions map[state.Router]bool
	// dialled are the sessions that this node opened.
	dialled map[state.Router]bool
	links   map[state.Router]bool
}

func newWorld(t *testing.T, routers, centres int, seed uint64) *world {
	w := &world{t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), nodes: make(map[state.Router]*node)}
	for i := range routers {
		name := state.Router(fmt.Sprintf("r%03d", i))
		w.order = append(w.order, name)
		w.start(name, state.DataCentre(fmt.Sprintf("dc%d", i%centres)))
	}
	w.seeds = w.order[:min(3, len(w.order))]
	return w
}

func (w *world) start(name state.Router, dc state.DataCentre) {
	incarnation := state.Incarnation(1)
	if before := w.nodes[name]; before != nil {
		incarnation = before.self.Incarnation + 1
	}
	self := membership.Member{Router: name, DataCentre: dc, Incarnation: incarnation, Address: string(name) + ":1"}
	w.nodes[name] = &node{
		Overlay: New(self), world: w, alive: true, selected: Select{Seeds: true},
		sessions: make(map[state.Router]bool), dialled: make(map[state.Router]bool), links: make(map[state.Router]bool),
	}
}

func (w *world) reach(a, b *node) bool {
	crosses := a.self.DataCentre != b.self.DataCentre && (a.self.DataCentre == w.cut || b.self.DataCentre == w.cut)
	return a.alive && b.alive && !a.silent && !b.silent && !crosses
}

func (w *world) run(d time.Duration) {
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
				n.publish()
				n.Tick(w.now)
				n.perform()
			}
		}
	}
}

// closeBroken ends the sessions with dead peers at once, those behind a cut
// stay open and silent.
func (n *node) closeBroken() {
	for _, name := range n.world.order {
		if peer := n.world.nodes[name]; n.sessions[name] && (!peer.alive || !peer.sessions[n.self.Router]) {
			n.close(name)
		}
	}
}

func (n *node) close(name state.Router) {
	delete(n.sessions, name)
	delete(n.dialled, name)
	n.SessionClosed(n.world.now, name)
	n.perform()
}

func (n *node) dial() {
	fleet := make(map[state.Router]bool)
	for _, name := range n.selected.Fleet {
		fleet[name] = true
	}
	var wanted []state.Router
	for _, m := range n.selected.Members {
		wanted = append(wanted, m.Router)
	}
	if n.selected.Seeds {
		for _, seed := range n.world.seeds {
			if !fleet[seed] {
				wanted = append(wanted, seed)
			}
		}
	}
	for _, name := range wanted {
		peer := n.world.nodes[name]
		if name == n.self.Router || n.sessions[name] || !n.world.reach(n, peer) {
			continue
		}
		if peer.sessions[n.self.Router] {
			peer.close(n.self.Router)
		}
		n.sessions[name], peer.sessions[n.self.Router] = true, true
		n.dialled[name] = true
		peer.SessionOpened(n.world.now, n.self, false)
		peer.perform()
		n.SessionOpened(n.world.now, peer.self, true)
		n.perform()
	}
	n.world.most = max(n.world.most, len(n.sessions))
}

// publish tells the overlay which peers the node has sessions with.
func (n *node) publish() {
	live := []scheduler.Peer{{Router: n.self.Router, DataCentre: n.self.DataCentre, Incarnation: n.self.Incarnation}}
	for _, name := range n.world.order {
		if n.sessions[name] {
			peer := n.world.nodes[name].self
			live = append(live, scheduler.Peer{Router: name, DataCentre: peer.DataCentre, Incarnation: peer.Incarnation})
		}
	}
	n.Neighbours(live)
}

// keepAlive stands for the loads that are told over links all the time.
func (n *node) keepAlive() {
	for _, peer := range n.Links() {
		n.deliver(peer, func(to *node) { to.MarkAlive(n.world.now, n.self.Router) })
	}
}

func (n *node) deliver(to state.Router, f func(to *node)) {
	if !n.sessions[to] {
		return
	}
	peer, own := n.world.nodes[to], n
	n.world.queued = append(n.world.queued, func() {
		if n.world.reach(own, peer) && peer.sessions[own.self.Router] && n.world.nodes[own.self.Router] == own {
			f(peer)
		}
	})
}

func (n *node) perform() {
	for _, a := range n.Actions() {
		switch a := a.(type) {
		case Send:
			n.deliver(a.To, func(to *node) {
				to.Receive(n.world.now, n.self.Router, a.Message)
				to.perform()
			})
		case Select:
			n.selected = a
		case Drop:
			if n.sessions[a.Router] {
				peer := n.world.nodes[a.Router]
				n.close(a.Router)
				if peer.sessions[n.self.Router] {
					peer.close(n.self.Router)
				}
			}
		case Linked:
			require.False(n.world.t, n.links[a.Router], "%s linked twice to %s", n.self.Router, a.Router)
			n.links[a.Router] = true
		case Unlinked:
			delete(n.links, a.Router)
		}
	}
}

// settled says whether every reachable router knows exactly the others, over
// links that reach each once.
func (w *world) settled() error {
	for _, name := range w.order {
		n := w.nodes[name]
		if !n.alive || n.silent {
			continue
		}
		want := make(map[state.Router]bool)
		for _, other := range w.order {
			if w.reach(n, w.nodes[other]) || other == name {
				want[other] = true
			}
		}
		for _, p := range n.Live() {
			if !want[p.Router] || p.Incarnation != w.nodes[p.Router].self.Incarnation {
				return fmt.Errorf("%s counts %s as live", name, p.Router)
			}
			delete(want, p.Router)
		}
		if len(want) > 0 {
			return fmt.Errorf("%s misses %d: %v", name, len(want), want)
		}
		if n.Tree() && len(n.sessions) > maxSessions {
			return fmt.Errorf("%s holds %d sessions", name, len(n.sessions))
		}
		for peer := range n.links {
			if !w.nodes[peer].links[name] {
				return fmt.Errorf("%s is linked to %s alone", name, peer)
			}
		}
	}
	return w.reachedOnce()
}

// reachedOnce walks the links from each router.
func (w *world) reachedOnce() error {
	for _, name := range w.order {
		n := w.nodes[name]
		if !n.alive || n.silent || !n.Tree() {
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

func (w *world) requireSettles(what string) time.Duration {
	w.t.Helper()
	begin := w.now
	var err error
	for w.now.Sub(begin) < healWithin {
		if err = w.settled(); err == nil {
			return w.now.Sub(begin)
		}
		w.run(step)
	}
	for _, name := range w.order {
		n := w.nodes[name]
		if n.alive && n.parent == "" {
			w.t.Logf("root %s %s target %q visited %q contacts %d view %d excluded %v sessions %v links %v", name, n.self.DataCentre, n.target, n.visited, len(n.contacts), len(n.view), n.excluded, n.sessions, n.Links())
		}
	}
	require.NoError(w.t, err, what)
	return 0
}

func (w *world) kill(names ...state.Router) {
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
			w := newWorld(t, size.routers, size.centres, 1)
			took := w.requireSettles("start")
			w.run(3 * time.Second)
			most := 0
			for _, n := range w.nodes {
				most = max(most, len(n.sessions))
			}
			t.Logf("settled after %s, sessions at rest %d at most", took, most)
			require.NoError(t, w.settled())
		})
	}
}

// Routers stop or are killed, one after another and together, and come back.
func TestFleetHealsAfterKills(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(t, 60, 4, seed)
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
		w := newWorld(t, 60, 4, 7)
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

func (w *world) root() state.Router {
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
	w := newWorld(t, 60, 4, 3)
	w.requireSettles("start")
	for i := range 4 {
		w.cut = state.DataCentre(fmt.Sprintf("dc%d", i))
		w.requireSettles("cut " + string(w.cut))
		w.run(7 * time.Second)
		require.NoError(t, w.settled())
		w.cut = ""
		took := w.requireSettles(fmt.Sprintf("healed dc%d", i))
		t.Logf("dc%d joined after %s", i, took)
	}
}

// All processes of a large fleet are killed and start again.
func TestWholeFleetRestarts(t *testing.T) {
	w := newWorld(t, 100, 6, 5)
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
	w := newWorld(t, 24, 3, 9)
	w.kill(w.order[14:]...)
	w.requireSettles("small")
	for _, n := range w.nodes {
		require.False(t, n.alive && n.Tree())
	}
	for _, name := range w.order[14:] {
		w.start(name, w.nodes[name].self.DataCentre)
		w.run(100 * time.Millisecond)
	}
	w.requireSettles("grown")
}

// Guards against messages that are lost for seconds because their router was found
// behind the silent link that it had moved from.
func TestMessagesFollowARouterThatMoved(t *testing.T) {
	moved := membership.Member{Router: "moved", DataCentre: "dc"}
	o := New(membership.Member{Router: "self", DataCentre: "dc"})
	now := time.Unix(1000, 0)
	for _, peer := range []state.Router{"b", "c", "a"} {
		o.links[peer] = &link{behind: map[state.Router]membership.Member{moved.Router: moved}, lastSeen: now}
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
