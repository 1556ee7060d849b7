package peer

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/rs/zerolog"
)

const (
	// flushTimeout is the default of Options.FlushTimeout.
	flushTimeout = time.Second
	// handshakeTimeout ends a connection on which no hello arrives.
	handshakeTimeout = 5 * time.Second
	// dialTimeout bounds a connect to an address that drops packets.
	dialTimeout = 3 * time.Second
	// maxPending bounds the connections without a hello, so that somebody
	// who opens them in a loop takes no memory from the rest.
	maxPending = 256
)

// Mesh holds the sessions with all peers.
type Mesh struct {
	opts     Options
	self     membership.Hello
	listener net.Listener
	notices  notices
	// connectTo opens a connection.
	connectTo func(ctx context.Context, address string) (net.Conn, error)
	running   sync.WaitGroup
	total     counters
	// strangers logs connections that never became sessions.
	strangers zerolog.Logger

	// created is when this process began.
	created time.Time

	mu sync.RWMutex
	// ctx ends with Run; nil before.
	ctx      context.Context
	machine  *membership.Machine
	lastID   membership.SessionID
	sessions map[membership.SessionID]*session
	routes   map[state.Router]*session
	traffic  map[state.Router]*counters
	events   EventCounts
	// live and changed are what the present step has to announce.
	live    []scheduler.Peer
	changed []sessionNotice
}

// New opens the listener. Peers are dialled once Run is called.
func New(opts Options) (*Mesh, error) {
	if err := opts.complete(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	if opts.Advertise == "" {
		opts.Advertise = listener.Addr().String()
	}
	if bound, ok := listener.Addr().(*net.TCPAddr); ok && bound.IP.IsUnspecified() && opts.Advertise == bound.String() {
		_ = listener.Close()
		return nil, &OptionError{"Advertise", "needed when listening on all addresses"}
	}
	self := membership.Hello{
		Fleet:       opts.Self.Fleet,
		Version:     ProtocolVersion,
		Router:      opts.Self.Router,
		DataCentre:  opts.Self.DataCentre,
		Incarnation: opts.Self.Incarnation,
		Address:     opts.Advertise,
		Capacity:    opts.Self.Capacity,
	}
	m := &Mesh{
		opts:      opts,
		self:      self,
		listener:  listener,
		connectTo: opts.Dial,
		strangers: opts.Log.Sample(&zerolog.BurstSampler{Burst: strangerLines, Period: strangerPeriod}),
		created:   opts.Clock.Now(),
		notices:   newNotices(),
		machine:   membership.New(membership.Config{Self: self, Seed: opts.Seed, Selective: opts.Selective}),
		sessions:  make(map[membership.SessionID]*session),
		routes:    make(map[state.Router]*session),
		traffic:   make(map[state.Router]*counters),
	}
	return m, nil
}

// Addr returns the address that peers dial.
func (m *Mesh) Addr() string { return m.self.Address }

// Run serves until the context ends, then sends what is queued and closes all
// sessions.
func (m *Mesh) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	m.mu.Lock()
	m.ctx = inner
	m.step(membership.Seeded{Addresses: m.opts.Seeds})
	m.mu.Unlock()

	m.running.Go(m.accept)
	m.running.Go(func() { m.notices.deliver(inner, m.opts) })
	m.tickUntil(ctx)

	m.flush()
	m.stop(cancel)
	m.running.Wait()
	return nil
}

func (m *Mesh) tickUntil(ctx context.Context) {
	ticks, stop := m.opts.Clock.Ticker(membership.TickInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			m.tick()
		}
	}
}

// flush sends what is queued and closes the sending side, so that the peers
// close after they have read everything. Closing at once would reset a
// connection on which a heartbeat arrives meanwhile, and the reset would
// destroy the last counters on their way.
func (m *Mesh) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), m.opts.FlushTimeout)
	defer cancel()
	sessions := m.accepted()
	for _, s := range sessions {
		s.flush(ctx)
	}
	for _, s := range sessions {
		s.conn.closeWrite()
	}
	for _, s := range sessions {
		s.await(ctx)
	}
}

func (m *Mesh) accepted() []*session {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Values(m.routes))
}

func (m *Mesh) stop(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cancel()
	_ = m.listener.Close()
	for _, s := range m.sessions {
		s.end(errStopped)
	}
}

// Send queues a message for a peer and returns at once. It returns false if
// there is no session with the peer, or its queue is full; the session is then
// dropped so that both sides start again from full state.
func (m *Mesh) Send(to state.Router, env *peerpb.Envelope) bool {
	m.mu.RLock()
	s, ok := m.routes[to]
	m.mu.RUnlock()
	if !ok {
		return false
	}
	lane := s.laneFor(env)
	frame, ok := m.encode(env, lane.maxFrame)
	return ok && s.enqueue(lane, frame)
}

// Broadcast queues a message for all peers; it is encoded once.
func (m *Mesh) Broadcast(env *peerpb.Envelope) { m.queue(m.accepted(), env) }

// SendEach queues a message for some peers; it is encoded once. Those without a
// session are left out.
func (m *Mesh) SendEach(to []state.Router, env *peerpb.Envelope) {
	m.mu.RLock()
	sessions := make([]*session, 0, len(to))
	for _, router := range to {
		if s, ok := m.routes[router]; ok {
			sessions = append(sessions, s)
		}
	}
	m.mu.RUnlock()
	m.queue(sessions, env)
}

func (m *Mesh) queue(sessions []*session, env *peerpb.Envelope) {
	var frame []byte
	for _, s := range sessions {
		lane := s.laneFor(env)
		if frame == nil {
			encoded, ok := m.encode(env, lane.maxFrame)
			if !ok {
				return
			}
			frame = encoded
		}
		s.enqueue(lane, frame)
	}
}

// encode frames a message. One that the peer would refuse is a fault of this
// router and goes to the log rather than to the peer.
func (m *Mesh) encode(env *peerpb.Envelope, limit int64) ([]byte, bool) {
	frame, err := wire.AppendFrame(nil, env)
	if err != nil || int64(len(frame)) > limit {
		m.opts.Log.Error().Err(err).Int("bytes", len(frame)).Msg("peer message not sent")
		return nil, false
	}
	return frame, true
}

// SetDraining announces to all peers that this router takes no new work.
func (m *Mesh) SetDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Draining = draining
	m.step(membership.DrainingSet{Draining: draining})
}

// AddSeeds adds addresses to dial, such as those of the platform's VM list.
// Addresses that are no IP number and port are left out.
func (m *Mesh) AddSeeds(addresses []string) {
	usable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return !validAddress(a) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil {
		m.opts.Seeds = append(m.opts.Seeds, usable...)
		return
	}
	m.step(membership.Seeded{Addresses: usable})
}

// Select replaces the routers that a selective mesh dials; see
// membership.Selected.
func (m *Mesh) Select(selected membership.Selected) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(selected)
}

// Drop closes the session with a peer.
func (m *Mesh) Drop(router state.Router) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(membership.Dropped{Router: router})
}

// tick tells membership which sessions were heard, then lets limits pass.
func (m *Mesh) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(m.sessions)) {
		s := m.sessions[id]
		if s.heard.Swap(false) {
			m.step(membership.Heard{Session: id})
		}
		if !s.accepted && m.opts.Clock.Now().Sub(s.began) > handshakeTimeout {
			s.end(errHandshake)
		}
	}
	m.step(membership.Tick{})
}

// step feeds membership and performs its actions. The caller holds the lock;
// no action blocks.
func (m *Mesh) step(event membership.Event) {
	for _, action := range m.machine.Step(m.opts.Clock.Now(), event) {
		m.perform(action)
	}
	m.announce()
}

// announce passes on what has changed. The caller holds the lock.
func (m *Mesh) announce() {
	if m.live != nil || m.changed != nil {
		m.notices.add(m.live, m.changed)
		m.live, m.changed = nil, nil
	}
}

// unroute takes a session that ends out of use. The caller holds the lock.
func (m *Mesh) unroute(s *session) {
	if m.routes[s.peer.Router] != s {
		return
	}
	delete(m.routes, s.peer.Router)
	m.changed = append(m.changed, sessionNotice{session: s, ended: true})
}

func (m *Mesh) perform(action membership.Action) {
	switch a := action.(type) {
	case membership.Dial:
		m.startDial(a.Address)
	case membership.Accept:
		m.adopt(m.sessions[a.Session])
	case membership.Refuse:
		m.refuse(m.sessions[a.Session], a.Refusal)
	case membership.Close:
		m.close(m.sessions[a.Session], a.Reason)
	case membership.SendHeartbeat:
		m.sendHeartbeat(m.sessions[a.Session], a.Members)
	case membership.Publish:
		m.publish(a.Peers)
	case membership.Resumed:
		m.events.Resumed++
		m.opts.Log.Warn().Dur("gap", a.Gap).Msg("process resumed")
	}
}

// adopt makes a greeted session the route to its peer. The acceptor's hello is
// the first frame in its queue.
func (m *Mesh) adopt(s *session) {
	s.accepted = true
	m.attribute(s)
	m.routes[s.peer.Router] = s
	m.events.Sessions++
	if s.dialled == "" {
		m.enqueueControl(s, helloEnvelope(m.self, membership.RefusalNone, 0))
	}
	m.changed = append(m.changed, sessionNotice{session: s})
	m.opts.Log.Info().Str("router", string(s.peer.Router)).Uint64("incarnation", uint64(s.peer.Incarnation)).
		Str("data_centre", string(s.peer.DataCentre)).Bool("dialled", s.dialled != "").Msg("peer session opened")
}

func (m *Mesh) refuse(s *session, refusal membership.Refusal) {
	s.refusal = refusal
	m.events.Refused++
	m.opts.Log.Warn().Str("router", string(s.peer.Router)).Uint64("incarnation", uint64(s.peer.Incarnation)).
		Str("address", s.conn.RemoteAddr().String()).Stringer("reason", refusal).Msg("peer session refused")
}

// close ends a session on membership's orders, which then expects no Closed.
func (m *Mesh) close(s *session, reason membership.CloseReason) {
	m.unroute(s)
	s.end(closeError(reason))
}

// closeError is the reason membership gave for the end of a session.
type closeError membership.CloseReason

// Error returns the reason.
func (e closeError) Error() string { return string(e) }

func (m *Mesh) sendHeartbeat(s *session, members []membership.Member) {
	sequence, echo, held := s.trip.beat(m.opts.Clock.Now())
	beat := &peerpb.Heartbeat{
		Sequence:   sequence,
		Draining:   m.self.Draining,
		Members:    memberMessages(members),
		Echo:       echo,
		EchoHeldUs: uint64(max(held.Microseconds(), 0)),
	}
	m.enqueueControl(s, &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: beat}})
}

func (m *Mesh) enqueueControl(s *session, env *peerpb.Envelope) {
	if frame, ok := m.encode(env, s.control.maxFrame); ok {
		s.enqueue(s.control, frame)
	}
}

// publish passes the live routers on and forgets the counters of others.
func (m *Mesh) publish(peers []scheduler.Peer) {
	known := make(map[state.Router]bool)
	for _, view := range m.machine.Members() {
		known[view.Router] = true
	}
	maps.DeleteFunc(m.traffic, func(router state.Router, _ *counters) bool { return !known[router] })
	m.live = peers
	m.opts.Log.Info().Int("live", len(peers)).Msg("peers changed")
}
