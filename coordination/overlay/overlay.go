package overlay

import (
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// MaxFullMeshRouters is the largest fleet size at which each router holds a
// session with every other router.
const MaxFullMeshRouters = 16

const (
	// maxChildren bounds the number of child links that a router accepts.
	maxChildren = 14
	// parentTimeout and childTimeout are how long a link to the parent or to a
	// child may be silent before it is ended. The shorter timeout is the
	// parent's, so that a child looks for another parent before its old parent
	// gives it up.
	parentTimeout = 1200 * time.Millisecond
	childTimeout  = 2500 * time.Millisecond
	// lostLinkGrace is how long routers behind a lost link still count as live.
	// Most of them return over another link within a few round trips.
	lostLinkGrace = time.Second
	// parentSwitchDelay is how long another router must stay preferable to the
	// current parent before a router switches to it.
	parentSwitchDelay = 500 * time.Millisecond
	// reviewInterval is the period at which a router compares its parent with
	// other candidates.
	reviewInterval = 250 * time.Millisecond
	// attachTimeout limits how long opening a session to the requested parent
	// may take, and then how long its answer to KindAttach may take.
	attachTimeout = 400 * time.Millisecond
	// introductionTimeout is how long a router that received an introduction
	// may take to appear in the live view.
	introductionTimeout = 300 * time.Millisecond
	// dialledSessionLimit is how long the dialling router keeps a session that
	// has not become a link; acceptedSessionLimit is the limit for the other
	// router.
	dialledSessionLimit  = time.Second
	acceptedSessionLimit = 5 * time.Second
	// contactLifetime is how long this router keeps trying to reach a router
	// that is no longer live.
	contactLifetime = 10 * time.Minute
	// stallThreshold is the time between two ticks above which this process is
	// considered to have stalled.
	stallThreshold = 500 * time.Millisecond
)

// link is an established link of the tree.
type link struct {
	// reachable holds the routers on the peer's side of the link. sentMembers
	// holds the routers on this side as last sent to the peer.
	reachable    map[state.Router]membership.Member
	sentMembers  map[state.Router]membership.Member
	lastReceived time.Time
}

// session is an open session, whether or not it is used as a link.
type session struct {
	openedAt time.Time
	dialled  bool
}

// contact is a router that may be dialled.
type contact struct {
	membership.Member
	lastSeen time.Time
}

// lostLink holds the routers that were behind a lost link.
type lostLink struct {
	via state.Router
	// fromParent is set if the routers were on the parent's side. They are
	// never sent to another parent, which has newer information about them.
	fromParent bool
	reachable  map[state.Router]membership.Member
	expiresAt  time.Time
}

// Overlay is the state machine of one router that decides about its links and
// sessions. It is not safe for concurrent use.
type Overlay struct {
	self     membership.Member
	treeMode bool
	sessions map[state.Router]session
	// neighbours are the live routers while each router holds a session with
	// every other one.
	neighbours      []scheduler.Peer
	links           map[state.Router]*link
	lostLinks       []lostLink
	contacts        map[state.Router]contact
	excludedParents exclusions

	// parent is the router at the upper end of this router's link towards the
	// root; empty if there is none. requestedParent is the router that was
	// asked to become the parent, at requestedAt.
	parent          state.Router
	requestedParent state.Router
	requestedAt     time.Time
	// offeredSubtree holds the members that were sent to requestedParent in
	// KindAttach.
	offeredSubtree map[state.Router]membership.Member
	// preferredParent is a better parent than the current one, since the time
	// preferredSince.
	preferredParent state.Router
	preferredSince  time.Time
	// parentReviewedAt is when the current parent was last compared with other
	// candidates.
	parentReviewedAt time.Time
	// introducedTo is a router of another part of the fleet. This router
	// introduces its own part to it, since the time introducedAt.
	// introductionExclusions holds the routers that did not join after an
	// introduction.
	introducedTo           state.Router
	introducedAt           time.Time
	introductionExclusions exclusions

	lastTick time.Time
	// viewStale is set while the view is out of date; changesUnsent is set
	// while a change has not been sent over the links.
	viewStale     bool
	changesUnsent bool
	view          map[state.Router]membership.Member
	// liveRouters lists the routers of view, ordered by name.
	liveRouters []scheduler.Peer
	selection   SelectPeers
	actions     []Action
}

// New returns the overlay of a router that knows no other router.
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

// Actions returns the actions since the previous call.
func (o *Overlay) Actions() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Overlay) emit(a Action) { o.actions = append(o.actions, a) }

// TreeMode reports whether this router uses links of a tree instead of sessions
// with all routers.
func (o *Overlay) TreeMode() bool { return o.treeMode }

// Links returns the peers with a link, ordered by name.
func (o *Overlay) Links() []state.Router { return slices.Sorted(maps.Keys(o.links)) }

// LiveRouters returns the live routers, including this one, ordered by name.
// The caller must not modify them.
func (o *Overlay) LiveRouters() []scheduler.Peer {
	if !o.treeMode {
		return o.neighbours
	}
	o.refreshView()
	return o.liveRouters
}

// Sessions returns the peers with an open session, ordered by name.
func (o *Overlay) Sessions() []scheduler.Peer {
	peers := make([]scheduler.Peer, 0, len(o.sessions))
	for _, router := range slices.Sorted(maps.Keys(o.sessions)) {
		if c, ok := o.contacts[router]; ok {
			peers = append(peers, scheduler.Peer{Router: router, DataCentre: c.DataCentre, Incarnation: c.Incarnation})
		}
	}
	return peers
}

// DataCentre returns the data centre of a router, if it is known.
func (o *Overlay) DataCentre(router state.Router) (state.DataCentre, bool) {
	c, ok := o.contacts[router]
	return c.DataCentre, ok
}

// NextHop returns the peer over whose link a router can be reached. A router
// that has moved in the tree appears behind its former link until that link is
// ended; in that case the link that received a message last is used.
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

// SetNeighbours replaces the list of routers with a session, which includes
// this router.
func (o *Overlay) SetNeighbours(peers []scheduler.Peer) { o.neighbours = peers }

// SessionOpened processes a new session; dialled is set if this router dialled.
// A link over an earlier session with the peer is lost.
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

// SessionClosed processes the end of a session.
func (o *Overlay) SessionClosed(now time.Time, router state.Router) {
	delete(o.sessions, router)
	o.loseLink(now, router)
	if router == o.requestedParent {
		o.excludeParent(now, router)
	}
	o.updateParentAndSessions(now)
}

// MarkAlive records that a message arrived from a peer, which keeps a link to
// it alive.
func (o *Overlay) MarkAlive(now time.Time, from state.Router) {
	if l := o.links[from]; l != nil {
		l.lastReceived = now
	}
}

// Receive processes a peer's message. Messages from peers without a session are
// ignored.
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

// addContacts stores the addresses of routers, unless a later incarnation is
// already known.
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

// switchToTree changes from sessions with all routers to a tree. A fleet that
// shrinks afterwards keeps the tree, because routers that disagree about the
// mode would receive some counters twice.
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

// Tick processes the passing of time. The host calls it about ten times a
// second.
func (o *Overlay) Tick(now time.Time) {
	o.compensateStall(now)
	if o.treeMode {
		o.expireTimeouts(now)
		o.dropUnlinkedSessions(now)
	}
	o.updateParentAndSessions(now)
	o.sendChanges()
}

// compensateStall subtracts the time during which this process stalled from the
// silence of its peers, because messages that arrived meanwhile have not been
// read yet.
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

// dropUnlinkedSessions closes sessions that are not links and whose time limit
// has passed, except the session with the requested parent.
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
