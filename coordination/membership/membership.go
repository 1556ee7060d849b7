package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// Config is what a Machine knows from the start.
type Config struct {
	// Self is this router; Draining is ignored.
	Self Hello
	// Seed of the jitter.
	Seed uint64
	// SelectiveDialing machines dial only what Selected names, and spread no addresses.
	SelectiveDialing bool
}

// Machine is the membership state machine of one router. It is not safe for
// concurrent use.
type Machine struct {
	self      Hello
	clock     runClock
	members   map[state.Router]*member
	sessions  map[SessionID]*member
	addresses addressBook
	// selectiveDialing is Config.Selective, selected the last Selected.
	selectiveDialing bool
	selection        selection
	// nextGossip is when the next peer is told all members, told the last one.
	nextGossip     time.Duration
	lastGossipPeer state.Router
	// peersChanged says that Peers may differ from published.
	peersChanged bool
	published    []scheduler.Peer
	actions      []Action
}

// New returns a machine that knows only its own router.
func New(cfg Config) *Machine {
	cfg.Self.Draining = false
	return &Machine{
		self:             cfg.Self,
		members:          make(map[state.Router]*member),
		sessions:         make(map[SessionID]*member),
		addresses:        newAddressBook(cfg.Seed),
		selectiveDialing: cfg.SelectiveDialing,
		selection:        selection{dialSeeds: true},
		nextGossip:       GossipInterval,
		peersChanged:     true,
	}
}

// Step takes one event and returns what the host must do. The returned slice
// is the caller's.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	if gap := m.clock.advance(now); gap > FreezeThreshold {
		m.emit(ProcessResumed{Gap: gap})
	}
	m.apply(event)
	if mayDial(event) {
		m.dialDueAddresses()
	}
	m.publishIfChanged()
	return m.actions
}

// mayDial is false for the events that come with every message: looking
// through all addresses for each of them would cost more than the message.
func mayDial(event Event) bool {
	switch event.(type) {
	case MessageReceived, HeartbeatReceived, DrainingChanged:
		return false
	default:
		return true
	}
}

func (m *Machine) apply(event Event) {
	switch e := event.(type) {
	case SeedsAdded:
		m.addSeeds(e)
	case HelloReceived:
		m.helloReceived(e)
	case DialFailed:
		m.dialFailed(e)
	case SessionClosed:
		m.sessionClosed(e.Session)
	case MessageReceived:
		m.messageReceived(e.Session)
	case HeartbeatReceived:
		m.heartbeatReceived(e)
	case IncarnationRaised:
		m.self.Incarnation = max(m.self.Incarnation, e.Incarnation)
	case DrainingChanged:
		m.setDraining(e.Draining)
	case SelectionChanged:
		m.setSelection(e)
	case SessionUnneeded:
		m.closeUnneededSession(e.Router)
	case Tick:
		m.tick()
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) now() time.Duration { return m.clock.elapsed }

func (m *Machine) addSeeds(e SeedsAdded) {
	for _, address := range e.Addresses {
		if addr := m.addresses.findOrAdd(address, m.now()); addr != nil {
			addr.isSeed = true
		}
	}
}

func (m *Machine) helloReceived(e HelloReceived) {
	refusal := m.refusalFor(e)
	if refusal != RefusalNone {
		m.emit(RefuseSession{Session: e.Session, Refusal: refusal})
		m.dialFailed(DialFailed{Address: e.DialledAddress, Refusal: refusal, Router: e.Hello.Router, Incarnation: e.Hello.Incarnation})
		return
	}
	m.acceptSession(e)
}

// refusalFor returns why a greeted session is refused, if it is.
func (m *Machine) refusalFor(e HelloReceived) Refusal {
	hello := e.Hello
	switch {
	case hello.Router == "" || hello.Incarnation == 0:
		return RefusalMalformed
	case hello.Fleet != m.self.Fleet:
		return RefusalFleet
	case hello.Version != m.self.Version:
		return RefusalVersion
	case hello.Router == m.self.Router:
		return RefusalSelf
	}
	known, ok := m.members[hello.Router]
	if !ok {
		return RefusalNone
	}
	if hello.Incarnation < known.Incarnation {
		return RefusalIncarnation
	}
	existing := known.session
	if existing == nil || hello.Incarnation > known.Incarnation {
		return RefusalNone
	}
	if existing.isPreferredOver(e.DialledAddress != "", m.self.Router, hello.Router, m.now()) {
		return RefusalDuplicate
	}
	return RefusalNone
}

// acceptSession makes a greeted session the one with its peer.
func (m *Machine) acceptSession(e HelloReceived) {
	hello := e.Hello
	known, ok := m.members[hello.Router]
	if !ok {
		known = &member{}
		m.members[hello.Router] = known
	}
	m.closeReplacedSession(known, hello.Incarnation)
	known.Member = Member{
		Router:      hello.Router,
		DataCentre:  hello.DataCentre,
		Incarnation: hello.Incarnation,
		Address:     hello.Address,
		Capacity:    hello.Capacity,
	}
	known.draining = hello.Draining
	known.departed = false
	known.session = &session{id: e.Session, dialledLocally: e.DialledAddress != "", lastReceived: m.now()}
	m.sessions[e.Session] = known
	m.peersChanged = true
	m.recordAddresses(e.DialledAddress, hello)
	m.emit(AcceptSession{Session: e.Session})
	m.sendHeartbeat(known, m.membersFor(known))
}

// closeReplacedSession closes the session that a new one replaces.
func (m *Machine) closeReplacedSession(known *member, incarnation state.Incarnation) {
	if known.session == nil {
		return
	}
	reason := CloseReplaced
	if incarnation > known.Incarnation {
		reason = CloseRestarted
	}
	delete(m.sessions, known.session.id)
	m.emit(CloseSession{Session: known.session.id, Reason: reason})
	known.session = nil
}

// recordAddresses notes that the dialled address and the advertised one lead to the
// peer.
func (m *Machine) recordAddresses(dialledAddress string, hello Hello) {
	for _, address := range []string{dialledAddress, hello.Address} {
		if addr := m.addresses.findOrAdd(address, m.now()); addr != nil {
			addr.markConnected(hello.Router, m.now())
		}
	}
}

func (m *Machine) dialFailed(e DialFailed) {
	router := e.Router
	if e.Refusal == RefusalFleet {
		router = ""
	}
	m.scheduleRedial(e.Address, router, e.Incarnation)
}

// scheduleRedial plans the next dial to an address that gave no session, and notes
// which router of this fleet answered there, if any.
func (m *Machine) scheduleRedial(address string, router state.Router, incarnation state.Incarnation) {
	addr, ok := m.addresses.byAddress[address]
	if !ok {
		return
	}
	m.addresses.scheduleRetry(addr, m.now())
	if router == "" {
		return
	}
	addr.router = router
	addr.isSelf = router == m.self.Router && incarnation == m.self.Incarnation
}

// sessionClosed makes the member of a session suspect. A draining member needs no
// grace: it said that it would go.
func (m *Machine) sessionClosed(id SessionID) {
	known, ok := m.sessions[id]
	if !ok {
		return
	}
	delete(m.sessions, id)
	known.session = nil
	known.sessionLostAt = m.now()
	if known.draining {
		m.markDeparted(known)
	}
	if m.self.Router > known.Router && !m.selectiveDialing {
		m.addresses.postponeDials(known.Router, m.now()+DialDelay)
	}
}

func (m *Machine) markDeparted(known *member) {
	known.departed = true
	m.peersChanged = true
}

func (m *Machine) messageReceived(id SessionID) {
	if known, ok := m.sessions[id]; ok {
		known.session.lastReceived = m.now()
	}
}

func (m *Machine) heartbeatReceived(e HeartbeatReceived) {
	known, ok := m.sessions[e.Session]
	if !ok {
		return
	}
	known.session.lastReceived = m.now()
	if known.draining != e.Draining {
		known.draining = e.Draining
		m.peersChanged = true
	}
	for _, gossiped := range e.Members {
		m.addGossipedAddress(gossiped)
	}
}

// addGossipedAddress takes an address from gossip. Gossip alone makes nobody live: only a
// session of our own does, so a peer cut off from us is not ours to grant to.
func (m *Machine) addGossipedAddress(gossiped Member) {
	if m.selectiveDialing || gossiped.Router == m.self.Router || gossiped.Address == m.self.Address {
		return
	}
	_, known := m.addresses.byAddress[gossiped.Address]
	addr := m.addresses.findOrAdd(gossiped.Address, m.now())
	if addr == nil {
		return
	}
	addr.lastUseful = m.now()
	if known {
		return
	}
	addr.router = gossiped.Router
	if m.self.Router > gossiped.Router {
		addr.nextDial = m.now() + DialDelay
	}
}

// setDraining announces the change at once: peers stop granting to and owning
// through a router that is about to go.
func (m *Machine) setDraining(draining bool) {
	if m.self.Draining == draining {
		return
	}
	m.self.Draining = draining
	m.peersChanged = true
	for _, known := range m.membersByName() {
		if known.session != nil {
			m.sendHeartbeat(known, nil)
		}
	}
}

func (m *Machine) tick() {
	for _, known := range m.membersByName() {
		m.expire(known)
		m.sendHeartbeatIfDue(known)
	}
	m.gossipIfDue()
	m.addresses.removeExpired(m.now())
}

// expire gives up a silent session, buries a suspect member after its grace
// and forgets one that has been gone for long.
func (m *Machine) expire(known *member) {
	if s := known.session; s != nil && m.now()-s.lastReceived >= SessionTimeout {
		delete(m.sessions, s.id)
		m.emit(CloseSession{Session: s.id, Reason: CloseSilent})
		known.session = nil
		known.sessionLostAt = m.now()
		m.markDeparted(known)
		return
	}
	if known.session != nil {
		return
	}
	silence := m.now() - known.sessionLostAt
	if known.live() && silence >= ReconnectGrace {
		m.markDeparted(known)
	}
	if known.departed && silence > ForgetAfter {
		delete(m.members, known.Router)
	}
}

func (m *Machine) sendHeartbeatIfDue(known *member) {
	if known.session != nil && m.now() >= known.session.nextHeartbeat {
		m.sendHeartbeat(known, nil)
	}
}

func (m *Machine) sendHeartbeat(known *member, members []Member) {
	known.session.nextHeartbeat = m.now() + HeartbeatInterval
	m.emit(SendHeartbeat{Session: known.session.id, Members: members})
}

// gossipIfDue tells the next peer in the order of names all members.
func (m *Machine) gossipIfDue() {
	if m.now() < m.nextGossip {
		return
	}
	m.nextGossip = m.now() + GossipInterval
	next := m.nextGossipPeer()
	if next == nil {
		return
	}
	m.lastGossipPeer = next.Router
	m.sendHeartbeat(next, m.membersFor(next))
}

func (m *Machine) nextGossipPeer() *member {
	var first *member
	for _, known := range m.membersByName() {
		if known.session == nil {
			continue
		}
		if known.Router > m.lastGossipPeer {
			return known
		}
		if first == nil {
			first = known
		}
	}
	return first
}

// membersFor lists the members with a session, except the receiver. A router
// that joins is told them on each new session. Any two routers that share a
// neighbour therefore learn of each other: the later of the two to reach it
// hears of the earlier one.
func (m *Machine) membersFor(receiver *member) []Member {
	if m.selectiveDialing {
		return nil
	}
	var list []Member
	for _, known := range m.membersByName() {
		if known != receiver && known.session != nil {
			list = append(list, known.Member)
		}
	}
	return list
}

// dialDueAddresses dials every address that is due and leads to nobody we talk to.
func (m *Machine) dialDueAddresses() {
	for _, addr := range m.addresses.sortedByAddress() {
		if addr.isSelf || addr.dialing || m.now() < addr.nextDial || addr.address == m.self.Address || !m.shouldDial(addr) {
			continue
		}
		if m.connectedOrDialling(addr.router) {
			addr.lastUseful = m.now()
			continue
		}
		addr.dialing = true
		m.emit(Dial{Address: addr.address})
	}
}

// connectedOrDialling reports whether there is a session with the router, or a dial to it.
func (m *Machine) connectedOrDialling(router state.Router) bool {
	if router == "" {
		return false
	}
	known, ok := m.members[router]
	return ok && known.session != nil || m.addresses.isDialling(router)
}

func (m *Machine) publishIfChanged() {
	if !m.peersChanged {
		return
	}
	m.peersChanged = false
	peers := m.Peers()
	if slices.Equal(peers, m.published) {
		return
	}
	m.published = peers
	m.emit(PublishPeers{Peers: slices.Clone(peers)})
}

// Peers returns the live routers, this one included, in the order of names.
func (m *Machine) Peers() []scheduler.Peer {
	peers := []scheduler.Peer{{
		Router:      m.self.Router,
		DataCentre:  m.self.DataCentre,
		Incarnation: m.self.Incarnation,
		Draining:    m.self.Draining,
	}}
	for _, known := range m.members {
		if !known.live() {
			continue
		}
		peers = append(peers, scheduler.Peer{
			Router:      known.Router,
			DataCentre:  known.DataCentre,
			Incarnation: known.Incarnation,
			Draining:    known.draining,
		})
	}
	slices.SortFunc(peers, func(a, b scheduler.Peer) int { return cmp.Compare(a.Router, b.Router) })
	return peers
}

// Members returns every member that is not forgotten, in the order of names.
func (m *Machine) Members() []MemberView {
	views := make([]MemberView, 0, len(m.members))
	for _, known := range m.membersByName() {
		views = append(views, MemberView{Member: known.Member, Draining: known.draining, Status: known.status()})
	}
	return views
}

func (m *Machine) membersByName() []*member {
	return slices.SortedFunc(maps.Values(m.members), func(a, b *member) int { return cmp.Compare(a.Router, b.Router) })
}
