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
	// Selective machines dial only what Selected names, and spread no addresses.
	Selective bool
}

// Machine is the membership state machine of one router. It is not safe for
// concurrent use.
type Machine struct {
	self     Hello
	clock    runClock
	members  map[state.Router]*member
	sessions map[SessionID]*member
	targets  targets
	// selective is Config.Selective, selected the last Selected.
	selective bool
	selected  selection
	// gossip is when the next peer is told all members, told the last one.
	gossip time.Duration
	told   state.Router
	// changed says that Peers may differ from published.
	changed   bool
	published []scheduler.Peer
	actions   []Action
}

// New returns a machine that knows only its own router.
func New(cfg Config) *Machine {
	cfg.Self.Draining = false
	return &Machine{
		self:      cfg.Self,
		members:   make(map[state.Router]*member),
		sessions:  make(map[SessionID]*member),
		targets:   newTargets(cfg.Seed),
		selective: cfg.Selective,
		selected:  selection{seeds: true},
		gossip:    GossipInterval,
		changed:   true,
	}
}

// Step takes one event and returns what the host must do. The returned slice
// is the caller's.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = nil
	if gap := m.clock.advance(now); gap > FreezeThreshold {
		m.do(Resumed{Gap: gap})
	}
	m.apply(event)
	if mayDial(event) {
		m.dialDue()
	}
	m.publish()
	return m.actions
}

// mayDial is false for the events that come with every message: looking
// through all addresses for each of them would cost more than the message.
func mayDial(event Event) bool {
	switch event.(type) {
	case Heard, HeartbeatHeard, DrainingSet:
		return false
	default:
		return true
	}
}

func (m *Machine) apply(event Event) {
	switch e := event.(type) {
	case Seeded:
		m.seeded(e)
	case Greeted:
		m.greeted(e)
	case DialFailed:
		m.dialFailed(e)
	case Closed:
		m.closed(e.Session)
	case Heard:
		m.heard(e.Session)
	case HeartbeatHeard:
		m.heartbeatHeard(e)
	case Raised:
		m.self.Incarnation = max(m.self.Incarnation, e.Incarnation)
	case DrainingSet:
		m.drainingSet(e.Draining)
	case Selected:
		m.choose(e)
	case Dropped:
		m.dropped(e.Router)
	case Tick:
		m.tick()
	}
}

func (m *Machine) do(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) now() time.Duration { return m.clock.elapsed }

func (m *Machine) seeded(e Seeded) {
	for _, address := range e.Addresses {
		if to := m.targets.learn(address, m.now()); to != nil {
			to.seed = true
		}
	}
}

func (m *Machine) greeted(e Greeted) {
	refusal := m.judge(e)
	if refusal != RefusalNone {
		m.do(Refuse{Session: e.Session, Refusal: refusal})
		m.dialFailed(DialFailed{Address: e.Dialled, Refusal: refusal, Router: e.Hello.Router, Incarnation: e.Hello.Incarnation})
		return
	}
	m.adopt(e)
}

// judge returns why a greeted session is refused, if it is.
func (m *Machine) judge(e Greeted) Refusal {
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
	rival := known.session
	if rival == nil || hello.Incarnation > known.Incarnation {
		return RefusalNone
	}
	if rival.prefers(e.Dialled != "", m.self.Router, hello.Router, m.now()) {
		return RefusalDuplicate
	}
	return RefusalNone
}

// adopt makes a greeted session the one with its peer.
func (m *Machine) adopt(e Greeted) {
	hello := e.Hello
	known, ok := m.members[hello.Router]
	if !ok {
		known = &member{}
		m.members[hello.Router] = known
	}
	m.displace(known, hello.Incarnation)
	known.Member = Member{
		Router:      hello.Router,
		DataCentre:  hello.DataCentre,
		Incarnation: hello.Incarnation,
		Address:     hello.Address,
		Capacity:    hello.Capacity,
	}
	known.draining = hello.Draining
	known.gone = false
	known.session = &session{id: e.Session, byUs: e.Dialled != "", heard: m.now()}
	m.sessions[e.Session] = known
	m.changed = true
	m.connected(e.Dialled, hello)
	m.do(Accept{Session: e.Session})
	m.beat(known, m.membersFor(known))
}

// displace closes the session that a new one replaces.
func (m *Machine) displace(known *member, incarnation state.Incarnation) {
	if known.session == nil {
		return
	}
	reason := CloseReplaced
	if incarnation > known.Incarnation {
		reason = CloseRestarted
	}
	delete(m.sessions, known.session.id)
	m.do(Close{Session: known.session.id, Reason: reason})
	known.session = nil
}

// connected notes that the dialled address and the advertised one lead to the
// peer.
func (m *Machine) connected(dialled string, hello Hello) {
	for _, address := range []string{dialled, hello.Address} {
		if to := m.targets.learn(address, m.now()); to != nil {
			to.connected(hello.Router, m.now())
		}
	}
}

func (m *Machine) dialFailed(e DialFailed) {
	router := e.Router
	if e.Refusal == RefusalFleet {
		router = ""
	}
	m.dialEnded(e.Address, router, e.Incarnation)
}

// dialEnded plans the next dial to an address that gave no session, and notes
// which router of this fleet answered there, if any.
func (m *Machine) dialEnded(address string, router state.Router, incarnation state.Incarnation) {
	to, ok := m.targets.byAddress[address]
	if !ok {
		return
	}
	m.targets.failed(to, m.now())
	if router == "" {
		return
	}
	to.router = router
	to.own = router == m.self.Router && incarnation == m.self.Incarnation
}

// closed makes the member of a session suspect. A draining member needs no
// grace: it said that it would go.
func (m *Machine) closed(id SessionID) {
	known, ok := m.sessions[id]
	if !ok {
		return
	}
	delete(m.sessions, id)
	known.session = nil
	known.lost = m.now()
	if known.draining {
		m.bury(known)
	}
	if m.self.Router > known.Router && !m.selective {
		m.targets.postpone(known.Router, m.now()+DialYield)
	}
}

func (m *Machine) bury(known *member) {
	known.gone = true
	m.changed = true
}

func (m *Machine) heard(id SessionID) {
	if known, ok := m.sessions[id]; ok {
		known.session.heard = m.now()
	}
}

func (m *Machine) heartbeatHeard(e HeartbeatHeard) {
	known, ok := m.sessions[e.Session]
	if !ok {
		return
	}
	known.session.heard = m.now()
	if known.draining != e.Draining {
		known.draining = e.Draining
		m.changed = true
	}
	for _, told := range e.Members {
		m.learn(told)
	}
}

// learn takes an address from gossip. Gossip alone makes nobody live: only a
// session of our own does, so a peer cut off from us is not ours to grant to.
func (m *Machine) learn(told Member) {
	if m.selective || told.Router == m.self.Router || told.Address == m.self.Address {
		return
	}
	_, known := m.targets.byAddress[told.Address]
	to := m.targets.learn(told.Address, m.now())
	if to == nil {
		return
	}
	to.seen = m.now()
	if known {
		return
	}
	to.router = told.Router
	if m.self.Router > told.Router {
		to.next = m.now() + DialYield
	}
}

// drainingSet announces the change at once: peers stop granting to and owning
// through a router that is about to go.
func (m *Machine) drainingSet(draining bool) {
	if m.self.Draining == draining {
		return
	}
	m.self.Draining = draining
	m.changed = true
	for _, known := range m.inOrder() {
		if known.session != nil {
			m.beat(known, nil)
		}
	}
}

func (m *Machine) tick() {
	for _, known := range m.inOrder() {
		m.expire(known)
		m.beatDue(known)
	}
	m.gossipDue()
	m.targets.forget(m.now())
}

// expire gives up a silent session, buries a suspect member after its grace
// and forgets one that has been gone for long.
func (m *Machine) expire(known *member) {
	if s := known.session; s != nil && m.now()-s.heard >= LostAfter {
		delete(m.sessions, s.id)
		m.do(Close{Session: s.id, Reason: CloseSilent})
		known.session = nil
		known.lost = m.now()
		m.bury(known)
		return
	}
	if known.session != nil {
		return
	}
	silence := m.now() - known.lost
	if known.live() && silence >= SessionGrace {
		m.bury(known)
	}
	if known.gone && silence > ForgetAfter {
		delete(m.members, known.Router)
	}
}

func (m *Machine) beatDue(known *member) {
	if known.session != nil && m.now() >= known.session.nextBeat {
		m.beat(known, nil)
	}
}

func (m *Machine) beat(known *member, members []Member) {
	known.session.nextBeat = m.now() + HeartbeatInterval
	m.do(SendHeartbeat{Session: known.session.id, Members: members})
}

// gossipDue tells the next peer in the order of names all members.
func (m *Machine) gossipDue() {
	if m.now() < m.gossip {
		return
	}
	m.gossip = m.now() + GossipInterval
	next := m.nextToTell()
	if next == nil {
		return
	}
	m.told = next.Router
	m.beat(next, m.membersFor(next))
}

func (m *Machine) nextToTell() *member {
	var first *member
	for _, known := range m.inOrder() {
		if known.session == nil {
			continue
		}
		if known.Router > m.told {
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
	if m.selective {
		return nil
	}
	var list []Member
	for _, known := range m.inOrder() {
		if known != receiver && known.session != nil {
			list = append(list, known.Member)
		}
	}
	return list
}

// dialDue dials every address that is due and leads to nobody we talk to.
func (m *Machine) dialDue() {
	for _, to := range m.targets.sorted() {
		if to.own || to.dialing || m.now() < to.next || to.address == m.self.Address || !m.wants(to) {
			continue
		}
		if m.reached(to.router) {
			to.seen = m.now()
			continue
		}
		to.dialing = true
		m.do(Dial{Address: to.address})
	}
}

// reached reports whether there is a session with the router, or a dial to it.
func (m *Machine) reached(router state.Router) bool {
	if router == "" {
		return false
	}
	known, ok := m.members[router]
	return ok && known.session != nil || m.targets.dialing(router)
}

func (m *Machine) publish() {
	if !m.changed {
		return
	}
	m.changed = false
	peers := m.Peers()
	if slices.Equal(peers, m.published) {
		return
	}
	m.published = peers
	m.do(Publish{Peers: slices.Clone(peers)})
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
func (m *Machine) Members() []View {
	views := make([]View, 0, len(m.members))
	for _, known := range m.inOrder() {
		views = append(views, View{Member: known.Member, Draining: known.draining, Status: known.status()})
	}
	return views
}

func (m *Machine) inOrder() []*member {
	return slices.SortedFunc(maps.Values(m.members), func(a, b *member) int { return cmp.Compare(a.Router, b.Router) })
}
