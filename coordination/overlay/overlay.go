package overlay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// DirectUpTo is the size of the fleet up to which each router holds a session
// with every other.
const DirectUpTo = 16

const (
	// maxChildren bounds the links that a router accepts.
	maxChildren = 14
	// parentSilence and childSilence are how long a link may be silent before
	// it is given up. Children look for another parent first.
	parentSilence = 1200 * time.Millisecond
	childSilence  = 2500 * time.Millisecond
	// lingerFor is how long routers behind a lost link count as live: most are
	// back within some round trips, over another link.
	lingerFor = time.Second
	// settleFor is how long another parent must have been preferable before a
	// router moves to it.
	settleFor = 500 * time.Millisecond
	// reviewEvery is the period at which the parent is compared with others.
	reviewEvery = 250 * time.Millisecond
	// dialWait is how long a session or the answer to Attach may take.
	dialWait = 400 * time.Millisecond
	// visitWait is how long a visited router may take to join.
	visitWait = 300 * time.Millisecond
	// visitFor is how long a session is kept that is no link, by the side that
	// dialled; the other one keeps it for acceptFor.
	visitFor  = time.Second
	acceptFor = 5 * time.Second
	// contactFor is how long a router that is no longer live is looked for.
	contactFor = 10 * time.Minute
	// stallGap is the time between two ticks from which this process itself
	// counts as having stood still.
	stallGap = 500 * time.Millisecond
)

// link is an established link of the tree.
type link struct {
	// behind are the routers on the peer's side, sent those that were last sent
	// to the peer of this side.
	behind   map[state.Router]membership.Member
	sent     map[state.Router]membership.Member
	lastSeen time.Time
}

// session is an open session, of a link or not.
type session struct {
	opened  time.Time
	dialled bool
}

// contact is a router that may be dialled.
type contact struct {
	membership.Member
	lastSeen time.Time
}

// lostSide is what was behind a lost link.
type lostSide struct {
	via state.Router
	// above is set for what was on a parent's side. It is never told to another
	// parent, which knows it better.
	above  bool
	behind map[state.Router]membership.Member
	until  time.Time
}

// Overlay is the state machine of one router. It is not safe for concurrent
// use.
type Overlay struct {
	self     membership.Member
	tree     bool
	sessions map[state.Router]session
	// neighbours are the live routers while sessions are held with all.
	neighbours []scheduler.Peer
	links      map[state.Router]*link
	lost       []lostSide
	contacts   map[state.Router]contact
	excluded   exclusions

	// parent is the router above, empty if there is none; target the one that
	// is being asked to be that, since requested.
	parent    state.Router
	target    state.Router
	requested time.Time
	// offered is what was sent to the target of this side.
	offered map[state.Router]membership.Member
	// preferred is a better parent than the present one, since when.
	preferred state.Router
	since     time.Time
	// reviewed is when the present parent was last compared with others.
	reviewed time.Time
	// visited is a router of another part of the fleet that a session is held
	// with so that it learns of this one, since at.
	visited state.Router
	at      time.Time
	visits  exclusions

	ticked time.Time
	// changed is set while the view is out of date, unsent while a change has not
	// been sent over the links.
	changed  bool
	unsent   bool
	view     map[state.Router]membership.Member
	selected Select
	actions  []Action
}

// New returns the overlay of a router that knows nobody.
func New(self membership.Member) *Overlay {
	o := &Overlay{
		self:       self,
		sessions:   make(map[state.Router]session),
		links:      make(map[state.Router]*link),
		contacts:   make(map[state.Router]contact),
		excluded:   make(exclusions),
		visits:     make(exclusions),
		neighbours: []scheduler.Peer{{Router: self.Router, DataCentre: self.DataCentre, Incarnation: self.Incarnation}},
	}
	o.refresh()
	return o
}

// Actions returns what is to be done since the last call.
func (o *Overlay) Actions() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Overlay) do(a Action) { o.actions = append(o.actions, a) }

// Tree says whether the router holds links instead of sessions with all.
func (o *Overlay) Tree() bool { return o.tree }

// Links returns the peers with a link, in the order of names.
func (o *Overlay) Links() []state.Router { return slices.Sorted(maps.Keys(o.links)) }

// Live returns the live routers, this one included, in the order of names.
func (o *Overlay) Live() []scheduler.Peer {
	if !o.tree {
		return slices.Clone(o.neighbours)
	}
	o.refresh()
	live := make([]scheduler.Peer, 0, len(o.view))
	for _, m := range o.view {
		live = append(live, scheduler.Peer{Router: m.Router, DataCentre: m.DataCentre, Incarnation: m.Incarnation})
	}
	slices.SortFunc(live, func(a, b scheduler.Peer) int { return cmp.Compare(a.Router, b.Router) })
	return live
}

// Sessions returns the peers with a session, in the order of names.
func (o *Overlay) Sessions() []scheduler.Peer {
	peers := make([]scheduler.Peer, 0, len(o.sessions))
	for _, router := range slices.Sorted(maps.Keys(o.sessions)) {
		if c, ok := o.contacts[router]; ok {
			peers = append(peers, scheduler.Peer{Router: router, DataCentre: c.DataCentre, Incarnation: c.Incarnation})
		}
	}
	return peers
}

// DataCentre returns that of a router, if it is known.
func (o *Overlay) DataCentre(router state.Router) (state.DataCentre, bool) {
	c, ok := o.contacts[router]
	return c.DataCentre, ok
}

// NextHop returns the peer whose side of a link a router is on. A router that has
// moved is behind its former link as well until that is given up; of the two the
// one that was heard last counts.
func (o *Overlay) NextHop(to state.Router) (state.Router, bool) {
	var next state.Router
	var seen time.Time
	for _, peer := range o.Links() {
		l := o.links[peer]
		if _, ok := l.behind[to]; !ok && peer != to {
			continue
		}
		if next == "" || l.lastSeen.After(seen) {
			next, seen = peer, l.lastSeen
		}
	}
	return next, next != ""
}

// Neighbours takes the routers with a session, this one included.
func (o *Overlay) Neighbours(peers []scheduler.Peer) { o.neighbours = peers }

// SessionOpened takes a new session; dialled says that this router opened it.
// What a session before it carried is void.
func (o *Overlay) SessionOpened(now time.Time, peer membership.Member, dialled bool) {
	router := peer.Router
	o.unlink(now, router)
	o.learn(now, []membership.Member{peer})
	o.sessions[router] = session{opened: now, dialled: dialled}
	o.do(Send{To: router, Message: Message{Kind: Contacts, Present: o.known(), Tree: o.tree}})
	if router == o.target {
		o.attach(now)
	}
	if router == o.visited {
		o.introduce()
	}
	o.advance(now)
}

// SessionClosed takes the end of a session.
func (o *Overlay) SessionClosed(now time.Time, router state.Router) {
	delete(o.sessions, router)
	o.unlink(now, router)
	if router == o.target {
		o.exclude(now, router)
	}
	o.advance(now)
}

// MarkAlive notes that a message came over a session.
func (o *Overlay) MarkAlive(now time.Time, from state.Router) {
	if l := o.links[from]; l != nil {
		l.lastSeen = now
	}
}

// Receive takes a peer's message.
func (o *Overlay) Receive(now time.Time, from state.Router, m Message) {
	if _, open := o.sessions[from]; !open {
		return
	}
	o.MarkAlive(now, from)
	o.learn(now, m.Present)
	if m.Tree {
		o.becomeTree(now)
	}
	switch m.Kind {
	case Contacts:
	case Visit:
		o.do(Send{To: from, Message: Message{Kind: Contacts, Present: o.known(), Tree: o.tree}})
	case Attach:
		o.onAttach(now, from, m)
	case Accept:
		o.onAccept(now, from, m)
	case Change:
		o.onChange(from, m)
	case Detach:
		o.onDetach(now, from)
	}
	o.advance(now)
}

// learn keeps the addresses of routers.
func (o *Overlay) learn(now time.Time, members []membership.Member) {
	for _, m := range members {
		held, ok := o.contacts[m.Router]
		if m.Router == o.self.Router || ok && held.Incarnation > m.Incarnation {
			continue
		}
		o.contacts[m.Router] = contact{Member: m, lastSeen: now}
	}
	if len(o.contacts) >= DirectUpTo {
		o.becomeTree(now)
	}
}

// becomeTree goes over from sessions with all to a tree. A fleet that shrinks stays
// one: routers that disagree would hear of some work twice.
func (o *Overlay) becomeTree(now time.Time) {
	if o.tree {
		return
	}
	o.tree = true
	o.touch()
	held := make(map[state.Router]membership.Member)
	for _, p := range o.neighbours {
		if c, ok := o.contacts[p.Router]; ok {
			held[p.Router] = c.Member
		}
	}
	o.lost = append(o.lost, lostSide{above: true, behind: held, until: now.Add(lingerFor)})
	for _, router := range slices.Sorted(maps.Keys(o.sessions)) {
		o.do(Unlinked{Router: router})
		o.do(Send{To: router, Message: Message{Kind: Contacts, Present: o.known(), Tree: true}})
	}
}

// Tick lets time pass. The host calls it about ten times a second.
func (o *Overlay) Tick(now time.Time) {
	o.forgiveStall(now)
	if o.tree {
		o.expire(now)
		o.dropVisits(now)
	}
	o.advance(now)
	o.publishChanges()
}

// forgiveStall takes the time that this process stood still off the silence of
// its peers: what they sent meanwhile has yet to be read.
func (o *Overlay) forgiveStall(now time.Time) {
	gap := now.Sub(o.ticked)
	if !o.ticked.IsZero() && gap > stallGap {
		for _, l := range o.links {
			l.lastSeen = l.lastSeen.Add(gap)
		}
	}
	o.ticked = now
}

func (o *Overlay) expire(now time.Time) {
	for _, router := range o.Links() {
		limit := childSilence
		if router == o.parent {
			limit = parentSilence
		}
		if now.Sub(o.links[router].lastSeen) > limit {
			o.unlink(now, router)
			o.do(Send{To: router, Message: Message{Kind: Detach, Tree: true}})
		}
	}
	before := len(o.lost)
	o.lost = slices.DeleteFunc(o.lost, func(s lostSide) bool { return !now.Before(s.until) })
	if len(o.lost) != before {
		o.touch()
	}
	if o.target != "" && now.Sub(o.requested) > dialWait {
		o.exclude(now, o.target)
	}
	if o.visited != "" && now.Sub(o.at) > visitWait {
		o.visits.add(now, o.visited)
		o.visited = ""
	}
	for router, c := range o.contacts {
		if now.Sub(c.lastSeen) > contactFor {
			delete(o.contacts, router)
		}
	}
	o.excluded.expire(now)
	o.visits.expire(now)
}

// dropVisits closes the sessions that are neither links nor about to be.
func (o *Overlay) dropVisits(now time.Time) {
	for _, router := range slices.Sorted(maps.Keys(o.sessions)) {
		s := o.sessions[router]
		limit := acceptFor
		if s.dialled {
			limit = visitFor
		}
		if o.links[router] == nil && router != o.target && now.Sub(s.opened) > limit {
			o.do(Drop{Router: router})
		}
	}
}
