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
	// maxSessions is the number of sessions that a router may hold once the
	// fleet has settled.
	maxSessions = 16
	// convergeLimit is how long a change of the fleet may take to reach every
	// router.
	convergeLimit = 5 * time.Second
)

// simFleet is a simulated fleet. A session opens within one step, and a message
// arrives one step after it was sent.
type simFleet struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	nodes  map[state.Router]*node
	order  []state.Router
	seeds  []state.Router
	// cutCentre is the data centre that is cut off from all others; empty if
	// there is none.
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
	// dialled holds the peers of the sessions that this node dialled.
	dialled map[state.Router]bool
	links   map[state.Router]bool
}

func newSimFleet(t *testing.T, routers, centres int, seed uint64) *simFleet {
	f := &simFleet{t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), nodes: make(map[state.Router]*node)}
	for i := range routers {
		name := state.Router(fmt.Sprintf("r%03d", i))
		f.order = append(f.order, name)
		f.start(name, state.DataCentre(fmt.Sprintf("dc%d", i%centres)))
	}
	f.seeds = f.order[:min(3, len(f.order))]
	return f
}

func (f *simFleet) start(name state.Router, dc state.DataCentre) {
	incarnation := state.Incarnation(1)
	if previous := f.nodes[name]; previous != nil {
		incarnation = previous.self.Incarnation + 1
	}
	self := membership.Member{Router: name, DataCentre: dc, Incarnation: incarnation, Address: string(name) + ":1"}
	f.nodes[name] = &node{
		Overlay: New(self), fleet: f, alive: true, selected: SelectPeers{DialSeeds: true},
		sessions: make(map[state.Router]bool), dialled: make(map[state.Router]bool), links: make(map[state.Router]bool),
	}
}

func (f *simFleet) canReach(a, b *node) bool {
	crosses := a.self.DataCentre != b.self.DataCentre && (a.self.DataCentre == f.cutCentre || b.self.DataCentre == f.cutCentre)
	return a.alive && b.alive && !a.silent && !b.silent && !crosses
}

func (f *simFleet) run(d time.Duration) {
	for range d / step {
		f.now = f.now.Add(step)
		queued := f.queued
		f.queued = nil
		for _, deliver := range queued {
			deliver()
		}
		for _, name := range f.order {
			if n := f.nodes[name]; n.alive && !n.silent {
				n.closeBroken()
				n.dial()
				n.keepAlive()
				n.reportNeighbours()
				n.Tick(f.now)
				n.perform()
			}
		}
	}
}

// closeBroken closes the sessions with dead peers at once. Sessions across a
// cut stay open and silent.
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

// reportNeighbours reports to the overlay with which peers the node has
// sessions.
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

// keepAlive stands for the load messages that routers continually send over
// links.
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
			require.False(n.fleet.t, n.links[a.Router], "%s must not link to %s twice", n.self.Router, a.Router)
			n.links[a.Router] = true
		case LinkEnded:
			delete(n.links, a.Router)
		}
	}
}

// checkSettled returns an error unless every running router sees exactly the
// routers it can reach as live, over links that lead to each router once.
func (f *simFleet) checkSettled() error {
	for _, name := range f.order {
		n := f.nodes[name]
		if !n.alive || n.silent {
			continue
		}
		want := make(map[state.Router]bool)
		for _, other := range f.order {
			if f.canReach(n, f.nodes[other]) || other == name {
				want[other] = true
			}
		}
		for _, p := range n.LiveRouters() {
			if !want[p.Router] || p.Incarnation != f.nodes[p.Router].self.Incarnation {
				return fmt.Errorf("%s wrongly counts %s as live", name, p.Router)
			}
			delete(want, p.Router)
		}
		if len(want) > 0 {
			return fmt.Errorf("%s does not see %d live routers: %v", name, len(want), want)
		}
		if n.TreeMode() && len(n.sessions) > maxSessions {
			return fmt.Errorf("%s has %d sessions, more than it may", name, len(n.sessions))
		}
		for peer := range n.links {
			if !f.nodes[peer].links[name] {
				return fmt.Errorf("%s has a link to %s, which has none back", name, peer)
			}
		}
	}
	return f.checkReachedOnce()
}

// checkReachedOnce follows the links from each router and returns an error if
// another router is reached more than once.
func (f *simFleet) checkReachedOnce() error {
	for _, name := range f.order {
		n := f.nodes[name]
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
			for _, next := range f.nodes[at].Links() {
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

func (f *simFleet) requireSettles(description string) time.Duration {
	f.t.Helper()
	begin := f.now
	var err error
	for f.now.Sub(begin) < convergeLimit {
		if err = f.checkSettled(); err == nil {
			return f.now.Sub(begin)
		}
		f.run(step)
	}
	for _, name := range f.order {
		n := f.nodes[name]
		if n.alive && n.parent == "" {
			f.t.Logf("root %s %s requested parent %q introduced to %q contacts %d view %d excluded %v sessions %v links %v", name, n.self.DataCentre, n.requestedParent, n.introducedTo, len(n.contacts), len(n.view), n.excludedParents, n.sessions, n.Links())
		}
	}
	require.NoError(f.t, err, description)
	return 0
}

func (f *simFleet) kill(names ...state.Router) {
	for _, name := range names {
		f.nodes[name].alive = false
		clear(f.nodes[name].sessions)
	}
}

var sizes = []struct{ routers, centres int }{{1, 1}, {8, 4}, {16, 4}, {17, 4}, {19, 6}, {40, 1}, {66, 3}, {100, 1}, {295, 6}}

// All routers of a fleet start at once and know only the seeds. Each must find
// all others, within the limit on sessions.
func TestFleetForms(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newSimFleet(t, size.routers, size.centres, 1)
			took := f.requireSettles("start")
			f.run(3 * time.Second)
			maxAtRest := 0
			for _, n := range f.nodes {
				maxAtRest = max(maxAtRest, len(n.sessions))
			}
			t.Logf("settled after %s, sessions at rest %d at most", took, maxAtRest)
			require.NoError(t, f.checkSettled())
		})
	}
}

// Routers stop or are killed, one or several at a time, and come back. The
// fleet must converge after each change.
func TestFleetHealsAfterKills(t *testing.T) {
	for seed := range uint64(3) {
		f := newSimFleet(t, 60, 4, seed)
		f.requireSettles("start")
		f.run(3 * time.Second)
		for round := range 6 {
			var killed []state.Router
			for range 1 + f.random.IntN(8) {
				killed = append(killed, f.order[f.random.IntN(len(f.order))])
			}
			f.kill(killed...)
			f.requireSettles(fmt.Sprintf("seed %d round %d: killed %v", seed, round, killed))
			for _, name := range killed {
				f.start(name, f.nodes[name].self.DataCentre)
			}
			f.requireSettles(fmt.Sprintf("seed %d round %d: restarted %v", seed, round, killed))
		}
	}
}

// The root of the tree fails, either with its sessions closed or by falling
// silent. The other routers must agree on a new root.
func TestRootIsReplaced(t *testing.T) {
	for _, silent := range []bool{false, true} {
		f := newSimFleet(t, 60, 4, 7)
		f.requireSettles("start")
		f.run(3 * time.Second)
		root := f.root()
		if silent {
			f.nodes[root].silent = true
		} else {
			f.kill(root)
		}
		took := f.requireSettles("root lost")
		t.Logf("silent %v: settled after %s", silent, took)
	}
}

func (f *simFleet) root() state.Router {
	for _, name := range f.order {
		if f.nodes[name].alive && f.nodes[name].parent == "" {
			return name
		}
	}
	return ""
}

// Each data centre in turn is cut off. The routers on both sides must keep the
// routers they reach, and join again once the cut has healed.
func TestCutDataCentreKeepsItsOwnView(t *testing.T) {
	f := newSimFleet(t, 60, 4, 3)
	f.requireSettles("start")
	for i := range 4 {
		f.cutCentre = state.DataCentre(fmt.Sprintf("dc%d", i))
		f.requireSettles("cut " + string(f.cutCentre))
		f.run(7 * time.Second)
		require.NoError(t, f.checkSettled())
		f.cutCentre = ""
		took := f.requireSettles(fmt.Sprintf("healed dc%d", i))
		t.Logf("dc%d joined after %s", i, took)
	}
}

// All processes of a large fleet are killed and start again. The new fleet must
// settle.
func TestWholeFleetRestarts(t *testing.T) {
	f := newSimFleet(t, 100, 6, 5)
	f.requireSettles("start")
	f.kill(f.order...)
	f.run(time.Second)
	for _, name := range f.order {
		f.start(name, f.nodes[name].self.DataCentre)
	}
	t.Logf("settled after %s", f.requireSettles("restart"))
}

// A fleet grows beyond the size at which each router holds a session with every
// other one, and must switch to a tree.
func TestFleetGrowsIntoATree(t *testing.T) {
	f := newSimFleet(t, 24, 3, 9)
	f.kill(f.order[14:]...)
	f.requireSettles("small")
	for _, n := range f.nodes {
		require.False(t, n.alive && n.TreeMode())
	}
	for _, name := range f.order[14:] {
		f.start(name, f.nodes[name].self.DataCentre)
		f.run(100 * time.Millisecond)
	}
	f.requireSettles("grown")
}

// A router moves in the tree, and its former link is silent but not yet ended.
// Messages to it were lost for seconds because NextHop chose the former link.
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
