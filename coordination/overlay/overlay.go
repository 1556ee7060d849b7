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

// MaxFullMeshRouters is the size of the fleet up to which each router holds a session
// with every other.
const MaxFullMeshRouters = 16

const (
	// maxChildren bounds the links that a router accepts.
	maxChildren = 14
	// parentTimeout and childSilence are how long a link may be silent before
	// it is given up. Children look for another parent first.
	parentTimeout = 1200 * time.Millisecond
	childTimeout  = 2500 * time.Millisecond
	// lostLinkGrace is how long routers behind a lost link count as live: most are
	// back within some round trips, over another link.
	lostLinkGrace = time.Second
	// parentSwitchDelay is how long another parent must have been preferable before a
	// router moves to it.
	parentSwitchDelay = 500 * time.Millisecond
	// reviewInterval is the period at which the parent is compared with others.
	reviewInterval = 250 * time.Millisecond
	// attachTimeout is how long a session or the answer to Attach may take.
	attachTimeout = 400 * time.Millisecond
	// introductionTimeout is how long a visited router may take to join.
	introductionTimeout = 300 * time.Millisecond
	// dialledSessionLimit is how long a session is kept that is no link, by the side that
	// dialled; the other one keeps it for acceptFor.
	dialledSessionLimit  = time.Second
	acceptedSessionLimit = 5 * time.Second
	// contactLifetime is how long a router that is no longer live is looked for.
	contactLifetime = 10 * time.Minute
	// stallThreshold is the time between two ticks from which this process itself
	// counts as having stood still.
	stallThreshold = 500 * time.Millisecond
)

// link is an established link of the tree.
type link struct {
	// reachable are the routers on the peer's side, sent those that were last sent
	// to the peer of this side.
	reachable    map[state.Router]membership.Member
	sentMembers  map[state.Router]membership.Member
	lastReceived time.Time
}

// session is an open session, of a link or not.
type session struct {
	openedAt time.Time
	dialled  bool
}

// contact is a router that may be dialled.
type contact struct {
	membership.Member
	lastSeen time.Time
}

// lostLink is what was behind a lost link.
type lostLink struct {
	via state.Router
	// fromParent is set for what was on a parent's side. It is never told to another
	// parent, which knows it better.
	fromParent bool
	reachable  map[state.Router]membership.Member
	expiresAt  time.Time
}

// Overlay is the state machine of one router. It is not safe for concurrent
// use.
type Overlay struct {
	self     membership.Member
	treeMode bool
	sessions map[state.Router]session
	// neighbours are the live routers while sessions are held with all.
	neighbours      []scheduler.Peer
	links           map[state.Router]*link
	lostLinks       []lostLink
	contacts        map[state.Router]contact
	excludedParents exclusions

	// parent is the router above, empty if there is none; target the one that
	// is being asked to be that, since requested.
	parent          state.Router
	requestedParent state.Router
	requestedAt     time.Time
	// offeredSubtree is what was sent to the target of this side.
	offeredSubtree map[state.Router]membership.Member
	// preferredParent is a better parent than the present one, since when.
	preferredParent state.Router
	preferredSince  time.Time
	// parentReviewedAt is when the present parent was last compared with others.
	parentReviewedAt time.Time
	// introducedTo is a router of another part of the fleet that a session is held
	// with so that it learns of this one, since at.
	introducedTo           state.Router
	introducedAt           time.Time
	introductionExclusions exclusions

	lastTick time.Time
	// viewStale is set while the view is out of date, unsent while a change has not
	// been sent over the links.
	viewStale     bool
	changesUnsent bool
	view          map[state.Router]membership.Member
	selection     SelectPeers
	actions       []Action
}

// New returns the overlay of a router that knows nobody.
func New(self membership.Member) *Overlay {
	o := &Overlay{
		self:                   self,
		sessions:               make(map[state.Router]session),
		links:                  make(map[state.Router]*link),
		contacts:               make(map[state.Router]contact),
		excludedParents:        make(exclusions),
		introductionExclusions: make(exclusions),
		neighbours:             []scheduler.Peer{{Router: self.Router, DataCentre: self.DataCentre, Incarnation: self.Incarnation}},
	}
	o.refreshView()
	return o
}

// Actions returns what is to be done since the last call.
func (o *Overlay) Actions() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Overlay) emit(a Action) { o.actions = append(o.actions, a) }

// TreeMode says whether the router holds links instead of sessions with all.
func (o *Overlay) TreeMode() bool { return o.treeMode }

// Links returns the peers with a link, in the order of names.
func (o *Overlay) Links() []state.Router { return slices.Sorted(maps.Keys(o.links)) }

// LiveRouters returns the live routers, this one included, in the order of names.
func (o *Overlay) LiveRouters() []scheduler.Peer {
	if !o.treeMode {
		return slices.Clone(o.neighbours)
	}
	o.refreshView()
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
	var lastReceived time.Time
	for _, peer := range o.Links() {
		l := o.links[peer]
		if _, ok := l.reachable[to]; !ok && peer != to {
			continue
		}
		if next == "" || l.lastReceived.After(lastReceived) {
			next, lastReceived = peer, l.lastReceived
		}
	}
	return next, next != ""
}

// SetNeighbours takes the routers with a session, this one included.
func (o *Overlay) SetNeighbours(peers []scheduler.Peer) { o.neighbours = peers }

// SessionOpened takes a new session; dialled says that this router opened it.
// What a session before it carried is void.
func (o *Overlay) SessionOpened(now time.Time, peer membership.Member, dialled bool) {
	router := peer.Router
	o.loseLink(now, router)
	o.addContacts(now, []membership.Member{peer})
	o.sessions[router] = session{openedAt: now, dialled: dialled}
	o.emit(Send{To: router, Message: Message{Kind: KindContacts, Present: o.knownMembers(), TreeMode: o.treeMode}})
	if router == o.requestedParent {
		o.sendAttach(now)
	}
	if router == o.introducedTo {
		o.sendIntroduction()
	}
	o.updateParentAndSessions(now)
}

// SessionClosed takes the end of a session.
func (o *Overlay) SessionClosed(now time.Time, router state.Router) {
	delete(o.sessions, router)
	o.loseLink(now, router)
	if router == o.requestedParent {
		o.excludeParent(now, router)
	}
	o.updateParentAndSessions(now)
}

// MarkAlive notes that a message came over a session.
func (o *Overlay) MarkAlive(now time.Time, from state.Router) {
	if l := o.links[from]; l != nil {
		l.lastReceived = now
	}
}

// Receive takes a peer's message.
func (o *Overlay) Receive(now time.Time, from state.Router, m Message) {
	if _, open := o.sessions[from]; !open {
		return
	}
	o.MarkAlive(now, from)
	o.addContacts(now, m.Present)
	if m.TreeMode {
		o.switchToTree(now)
	}
	switch m.Kind {
	case KindContacts:
	case KindIntroduction:
		o.emit(Send{To: from, Message: Message{Kind: KindContacts, Present: o.knownMembers(), TreeMode: o.treeMode}})
	case KindAttach:
		o.onAttach(now, from, m)
	case KindAccept:
		o.onAccept(now, from, m)
	case KindChange:
		o.onChange(from, m)
	case KindDetach:
		o.onDetach(now, from)
	}
	o.updateParentAndSessions(now)
}

// addContacts keeps the addresses of routers.
func (o *Overlay) addContacts(now time.Time, members []membership.Member) {
	for _, m := range members {
		existing, ok := o.contacts[m.Router]
		if m.Router == o.self.Router || ok && existing.Incarnation > m.Incarnation {
			continue
		}
		o.contacts[m.Router] = contact{Member: m, lastSeen: now}
	}
	if len(o.contacts) >= MaxFullMeshRouters {
		o.switchToTree(now)
	}
}

// switchToTree goes over from sessions with all to a tree. A fleet that shrinks stays
// one: routers that disagree would hear of some work twice.
func (o *Overlay) switchToTree(now time.Time) {
	if o.treeMode {
		return
	}
	o.treeMode = true
	o.markChanged()
	connected := make(map[state.Router]membership.Member)
	for _, p := range o.neighbours {
		if c, ok := o.contacts[p.Router]; ok {
			connected[p.Router] = c.Member
		}
	}
	o.lostLinks = append(o.lostLinks, lostLink{fromParent: true, reachable: connected, expiresAt: now.Add(lostLinkGrace)})
	for _, router := range slices.Sorted(maps.Keys(o.sessions)) {
		o.emit(LinkEnded{Router: router})
		o.emit(Send{To: router, Message: Message{Kind: KindContacts, Present: o.knownMembers(), TreeMode: true}})
	}
}

// Tick lets time pass. The host calls it about ten times a second.
func (o *Overlay) Tick(now time.Time) {
	o.compensateStall(now)
	if o.treeMode {
		o.expireTimeouts(now)
		o.dropUnlinkedSessions(now)
	}
	o.updateParentAndSessions(now)
	o.sendChanges()
}

// compensateStall takes the time that this process stood still off the silence of
// its peers: what they sent meanwhile has yet to be read.
func (o *Overlay) compensateStall(now time.Time) {
	gap := now.Sub(o.lastTick)
	if !o.lastTick.IsZero() && gap > stallThreshold {
		for _, l := range o.links {
			l.lastReceived = l.lastReceived.Add(gap)
		}
	}
	o.lastTick = now
}

func (o *Overlay) expireTimeouts(now time.Time) {
	for _, router := range o.Links() {
		limit := childTimeout
		if router == o.parent {
			limit = parentTimeout
		}
		if now.Sub(o.links[router].lastReceived) > limit {
			o.loseLink(now, router)
			o.emit(Send{To: router, Message: Message{Kind: KindDetach, TreeMode: true}})
		}
	}
	lostBefore := len(o.lostLinks)
	o.lostLinks = slices.DeleteFunc(o.lostLinks, func(s lostLink) bool { return !now.Before(s.expiresAt) })
	if len(o.lostLinks) != lostBefore {
		o.markChanged()
	}
	if o.requestedParent != "" && now.Sub(o.requestedAt) > attachTimeout {
		o.excludeParent(now, o.requestedParent)
	}
	if o.introducedTo != "" && now.Sub(o.introducedAt) > introductionTimeout {
		o.introductionExclusions.exclude(now, o.introducedTo)
		o.introducedTo = ""
	}
	for router, c := range o.contacts {
		if now.Sub(c.lastSeen) > contactLifetime {
			delete(o.contacts, router)
		}
	}
	o.excludedParents.removeExpired(now)
	o.introductionExclusions.removeExpired(now)
}

// dropUnlinkedSessions closes the sessions that are neither links nor about to be.
func (o *Overlay) dropUnlinkedSessions(now time.Time) {
	for _, router := range slices.Sorted(maps.Keys(o.sessions)) {
		s := o.sessions[router]
		limit := acceptedSessionLimit
		if s.dialled {
			limit = dialledSessionLimit
		}
		if o.links[router] == nil && router != o.requestedParent && now.Sub(s.openedAt) > limit {
			o.emit(DropSession{Router: router})
		}
	}
}
