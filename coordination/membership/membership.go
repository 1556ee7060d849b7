package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// Config holds the initial settings of a Machine.
type Config struct {
	// Self describes this router. Self.Draining is ignored.
	Self Hello
	// Seed is the seed of the jitter between dials.
	Seed uint64
	// SelectiveDialing restricts dialling to the routers and seeds of the
	// latest SelectionChanged and disables gossip.
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
	// selectiveDialing is Config.SelectiveDialing; selection is the latest
	// SelectionChanged.
	selectiveDialing bool
	selection        selection
	// nextGossip is when the next peer receives the list of all members;
	// lastGossipPeer is the peer that received it last.
	nextGossip     time.Duration
	lastGossipPeer state.Router
	// peersChanged is set when Peers may differ from published.
	peersChanged bool
	published    []scheduler.Peer
	actions      []Action
}

// New returns a machine that knows only this router.
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

// Step processes one event and returns the actions for the host. The caller
// owns the returned slice.
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

// mayDial reports whether the machine looks for due dials after an event. It
// returns false for events that occur with every message, because scanning all
// addresses for each message would cost more than processing the message.
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

// refusalFor returns the reason for refusing a session after its hello, or
// RefusalNone.
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
	peer, ok := m.members[hello.Router]
	if !ok {
		return RefusalNone
	}
	if hello.Incarnation < peer.Incarnation {
		return RefusalIncarnation
	}
	existing := peer.session
	if existing == nil || hello.Incarnation > peer.Incarnation {
		return RefusalNone
	}
	if existing.isPreferredOver(e.DialledAddress != "", m.self.Router, hello.Router, m.now()) {
		return RefusalDuplicate
	}
	return RefusalNone
}

// acceptSession makes a new session the current session with its peer.
func (m *Machine) acceptSession(e HelloReceived) {
	hello := e.Hello
	peer, ok := m.members[hello.Router]
	if !ok {
		peer = &member{}
		m.members[hello.Router] = peer
	}
	m.closeReplacedSession(peer, hello.Incarnation)
	peer.Member = Member{
		Router:      hello.Router,
		DataCentre:  hello.DataCentre,
		Incarnation: hello.Incarnation,
		Address:     hello.Address,
		Capacity:    hello.Capacity,
	}
	peer.draining = hello.Draining
	peer.departed = false
	peer.session = &session{id: e.Session, dialledLocally: e.DialledAddress != "", lastReceived: m.now()}
	m.sessions[e.Session] = peer
	m.peersChanged = true
	m.recordAddresses(e.DialledAddress, hello)
	m.emit(AcceptSession{Session: e.Session})
	m.sendHeartbeat(peer, m.membersFor(peer))
}

// closeReplacedSession closes the member's current session, if any, in favour
// of a new session of the given incarnation.
func (m *Machine) closeReplacedSession(peer *member, incarnation state.Incarnation) {
	if peer.session == nil {
		return
	}
	reason := CloseReplaced
	if incarnation > peer.Incarnation {
		reason = CloseRestarted
	}
	delete(m.sessions, peer.session.id)
	m.emit(CloseSession{Session: peer.session.id, Reason: reason})
	peer.session = nil
}

// recordAddresses records that both the dialled and the advertised address lead
// to the peer.
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

// scheduleRedial schedules the next dial to an address after a dial that led to
// no session. It records which router of this fleet answered there, if any.
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

// sessionClosed makes the member of a session suspect. A draining member
// departs at once without ReconnectGrace, because it has announced that it will
// stop.
func (m *Machine) sessionClosed(id SessionID) {
	peer, ok := m.sessions[id]
	if !ok {
		return
	}
	delete(m.sessions, id)
	peer.session = nil
	peer.sessionLostAt = m.now()
	if peer.draining {
		m.markDeparted(peer)
	}
	if m.self.Router > peer.Router && !m.selectiveDialing {
		m.addresses.postponeDials(peer.Router, m.now()+DialDelay)
	}
}

func (m *Machine) markDeparted(peer *member) {
	peer.departed = true
	m.peersChanged = true
}

func (m *Machine) messageReceived(id SessionID) {
	if peer, ok := m.sessions[id]; ok {
		peer.session.lastReceived = m.now()
	}
}

func (m *Machine) heartbeatReceived(e HeartbeatReceived) {
	peer, ok := m.sessions[e.Session]
	if !ok {
		return
	}
	peer.session.lastReceived = m.now()
	if peer.draining != e.Draining {
		peer.draining = e.Draining
		m.peersChanged = true
	}
	for _, gossiped := range e.Members {
		m.addGossipedAddress(gossiped)
	}
}

// addGossipedAddress adds an address that a peer gossiped. Gossip alone makes
// no router live; that takes a session with this router. A router that only
// other routers can reach must not receive grants from this one.
func (m *Machine) addGossipedAddress(gossiped Member) {
	if m.selectiveDialing || gossiped.Router == m.self.Router || gossiped.Address == m.self.Address {
		return
	}
	_, exists := m.addresses.byAddress[gossiped.Address]
	addr := m.addresses.findOrAdd(gossiped.Address, m.now())
	if addr == nil {
		return
	}
	addr.lastUseful = m.now()
	if exists {
		return
	}
	addr.router = gossiped.Router
	if m.self.Router > gossiped.Router {
		addr.nextDial = m.now() + DialDelay
	}
}

// setDraining announces a change of the draining state at once, so that peers
// stop sending grants to this router and stop counting it as an owner before it
// stops.
func (m *Machine) setDraining(draining bool) {
	if m.self.Draining == draining {
		return
	}
	m.self.Draining = draining
	m.peersChanged = true
	for _, peer := range m.membersByName() {
		if peer.session != nil {
			m.sendHeartbeat(peer, nil)
		}
	}
}

func (m *Machine) tick() {
	for _, peer := range m.membersByName() {
		m.expire(peer)
		m.sendHeartbeatIfDue(peer)
	}
	m.gossipIfDue()
	m.addresses.removeExpired(m.now())
}

// expire closes a session that has been silent for SessionTimeout, marks a
// suspect member as departed after ReconnectGrace, and forgets a departed
// member after ForgetAfter.
func (m *Machine) expire(peer *member) {
	if s := peer.session; s != nil && m.now()-s.lastReceived >= SessionTimeout {
		delete(m.sessions, s.id)
		m.emit(CloseSession{Session: s.id, Reason: CloseSilent})
		peer.session = nil
		peer.sessionLostAt = m.now()
		m.markDeparted(peer)
		return
	}
	if peer.session != nil {
		return
	}
	silence := m.now() - peer.sessionLostAt
	if peer.live() && silence >= ReconnectGrace {
		m.markDeparted(peer)
	}
	if peer.departed && silence > ForgetAfter {
		delete(m.members, peer.Router)
	}
}

func (m *Machine) sendHeartbeatIfDue(peer *member) {
	if peer.session != nil && m.now() >= peer.session.nextHeartbeat {
		m.sendHeartbeat(peer, nil)
	}
}

func (m *Machine) sendHeartbeat(peer *member, members []Member) {
	peer.session.nextHeartbeat = m.now() + HeartbeatInterval
	m.emit(SendHeartbeat{Session: peer.session.id, Members: members})
}

// gossipIfDue sends the list of all members to one peer every GossipInterval.
// Peers take turns in the order of their names.
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
	for _, peer := range m.membersByName() {
		if peer.session == nil {
			continue
		}
		if peer.Router > m.lastGossipPeer {
			return peer
		}
		if first == nil {
			first = peer
		}
	}
	return first
}

// membersFor lists the members with a session, except the receiver. A joining
// router receives this list on each new session. Any two routers with a common
// neighbour therefore learn about each other: the router that reaches the
// neighbour later receives the address of the earlier one.
func (m *Machine) membersFor(receiver *member) []Member {
	if m.selectiveDialing {
		return nil
	}
	var list []Member
	for _, peer := range m.membersByName() {
		if peer != receiver && peer.session != nil {
			list = append(list, peer.Member)
		}
	}
	return list
}

// dialDueAddresses dials every address whose next dial is due, unless it leads
// to a router that already has a session or is being dialled.
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

// connectedOrDialling reports whether there is a session with the router or a
// dial to it is under way.
func (m *Machine) connectedOrDialling(router state.Router) bool {
	if router == "" {
		return false
	}
	peer, ok := m.members[router]
	return ok && peer.session != nil || m.addresses.isDialling(router)
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

// Peers returns the live routers, including this one, ordered by name.
func (m *Machine) Peers() []scheduler.Peer {
	peers := []scheduler.Peer{{
		Router:      m.self.Router,
		DataCentre:  m.self.DataCentre,
		Incarnation: m.self.Incarnation,
		Draining:    m.self.Draining,
	}}
	for _, peer := range m.members {
		if !peer.live() {
			continue
		}
		peers = append(peers, scheduler.Peer{
			Router:      peer.Router,
			DataCentre:  peer.DataCentre,
			Incarnation: peer.Incarnation,
			Draining:    peer.draining,
		})
	}
	slices.SortFunc(peers, func(a, b scheduler.Peer) int { return cmp.Compare(a.Router, b.Router) })
	return peers
}

// Members returns every member that has not been forgotten, ordered by name.
func (m *Machine) Members() []MemberView {
	views := make([]MemberView, 0, len(m.members))
	for _, peer := range m.membersByName() {
		views = append(views, MemberView{Member: peer.Member, Draining: peer.draining, Status: peer.status()})
	}
	return views
}

func (m *Machine) membersByName() []*member {
	return slices.SortedFunc(maps.Values(m.members), func(a, b *member) int { return cmp.Compare(a.Router, b.Router) })
}
