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
	// handshakeTimeout is how long a connection may take until its hello
	// arrives.
	handshakeTimeout = 5 * time.Second
	// dialTimeout limits a connection attempt to an address that drops packets.
	dialTimeout = 3 * time.Second
	// maxPendingSessions bounds the number of connections without a hello, so
	// that a client which opens connections in a loop cannot use up the memory.
	maxPendingSessions = 256
)

// Mesh holds the sessions with all peers of a router.
type Mesh struct {
	opts     Options
	self     membership.Hello
	listener net.Listener
	notices  notices
	// connectTo opens a connection to an address.
	connectTo    func(ctx context.Context, address string) (net.Conn, error)
	goroutines   sync.WaitGroup
	totalTraffic counters
	// handshakeLog is a rate-limited logger for failed handshakes.
	handshakeLog zerolog.Logger

	// startedAt is when this Mesh was created.
	startedAt time.Time

	mu sync.RWMutex
	// ctx is cancelled when Run ends; it is nil before Run.
	ctx              context.Context
	machine          *membership.Machine
	lastID           membership.SessionID
	sessions         map[membership.SessionID]*session
	acceptedByRouter map[state.Router]*session
	traffic          map[state.Router]*counters
	eventCounts      EventCounts
	// pendingPeers and pendingSessions are the changes that the current step
	// has to pass to the callbacks.
	pendingPeers    []scheduler.Peer
	pendingSessions []sessionNotice
}

// New opens the listener. It does not dial any peers before Run is called.
func New(opts Options) (*Mesh, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	if opts.Advertise == "" {
		opts.Advertise = listener.Addr().String()
	}
	if tcpAddr, ok := listener.Addr().(*net.TCPAddr); ok && tcpAddr.IP.IsUnspecified() && opts.Advertise == tcpAddr.String() {
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
		opts:             opts,
		self:             self,
		listener:         listener,
		connectTo:        opts.Dial,
		handshakeLog:     opts.Log.Sample(&zerolog.BurstSampler{Burst: handshakeLogBurst, Period: handshakeLogPeriod}),
		startedAt:        opts.Clock.Now(),
		notices:          newNotices(),
		machine:          membership.New(membership.Config{Self: self, Seed: opts.Seed, SelectiveDialing: opts.SelectiveDialing}),
		sessions:         make(map[membership.SessionID]*session),
		acceptedByRouter: make(map[state.Router]*session),
		traffic:          make(map[state.Router]*counters),
	}
	return m, nil
}

// Addr returns the address that peers dial.
func (m *Mesh) Addr() string { return m.self.Address }

// Run serves until the context ends. It then sends the queued messages and
// closes all sessions.
func (m *Mesh) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	m.mu.Lock()
	m.ctx = inner
	m.step(membership.SeedsAdded{Addresses: m.opts.Seeds})
	m.mu.Unlock()

	m.goroutines.Go(m.acceptConnections)
	m.goroutines.Go(func() { m.notices.deliver(inner, m.opts) })
	m.tickUntil(ctx)

	m.flush()
	m.stop(cancel)
	m.goroutines.Wait()
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

// flush sends the queued messages and closes the sending side of each session,
// so that the peers close their side after they have read everything. Closing
// both sides at once would reset a connection on which a heartbeat is just
// arriving, and the reset would destroy the last counters in flight.
func (m *Mesh) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), m.opts.FlushTimeout)
	defer cancel()
	sessions := m.acceptedSessions()
	for _, s := range sessions {
		s.flush(ctx)
	}
	for _, s := range sessions {
		s.conn.closeWrite()
	}
	for _, s := range sessions {
		s.awaitEnd(ctx)
	}
}

func (m *Mesh) acceptedSessions() []*session {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Values(m.acceptedByRouter))
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
// there is no session with the peer, the message is too large, or the queue is
// full. A full queue closes the session, so that both sides start again from
// full state.
func (m *Mesh) Send(to state.Router, env *peerpb.Envelope) bool {
	s, ok := m.sessionWith(to)
	return ok && m.enqueue(s, env)
}

func (m *Mesh) sessionWith(router state.Router) (*session, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s, ok := m.acceptedByRouter[router]
	return s, ok
}

func (m *Mesh) enqueue(s *session, env *peerpb.Envelope) bool {
	stream := s.streamFor(env)
	frame, ok := m.encode(env, stream.maxFrameBytes)
	return ok && s.enqueue(stream, frame)
}

// SendTimed queues a message as Send does, together with what lets the receiver
// bound the time that the message takes.
func (m *Mesh) SendTimed(to state.Router, env *peerpb.Envelope) bool {
	s, ok := m.sessionWith(to)
	if !ok {
		return false
	}
	echo, held := s.roundTrip.echo(m.opts.Clock.Now())
	return m.enqueue(s, &peerpb.Envelope{Body: env.GetBody(), Echo: echo, EchoHeldUs: uint64(held.Microseconds())})
}

// Broadcast encodes a message once and queues it for all peers.
func (m *Mesh) Broadcast(env *peerpb.Envelope) { m.enqueueEach(m.acceptedSessions(), env) }

// SendEach encodes a message once and queues it for the given peers. Peers
// without a session are skipped.
func (m *Mesh) SendEach(to []state.Router, env *peerpb.Envelope) {
	m.mu.RLock()
	sessions := make([]*session, 0, len(to))
	for _, router := range to {
		if s, ok := m.acceptedByRouter[router]; ok {
			sessions = append(sessions, s)
		}
	}
	m.mu.RUnlock()
	m.enqueueEach(sessions, env)
}

func (m *Mesh) enqueueEach(sessions []*session, env *peerpb.Envelope) {
	var frame []byte
	for _, s := range sessions {
		stream := s.streamFor(env)
		if frame == nil {
			encoded, ok := m.encode(env, stream.maxFrameBytes)
			if !ok {
				return
			}
			frame = encoded
		}
		s.enqueue(stream, frame)
	}
}

// encode encodes a message as a frame. A frame that exceeds the limit would be
// rejected by the peer and shows a fault of this router, so it is logged and
// not sent.
func (m *Mesh) encode(env *peerpb.Envelope, limit int64) ([]byte, bool) {
	frame, err := wire.AppendFrame(nil, env)
	if err != nil || int64(len(frame)) > limit {
		m.opts.Log.Error().Err(err).Int("bytes", len(frame)).Msg("peer message not sent")
		return nil, false
	}
	return frame, true
}

// SetDraining announces to all peers whether this router is draining. A
// draining router accepts no new work.
func (m *Mesh) SetDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Draining = draining
	m.step(membership.DrainingChanged{Draining: draining})
}

// AddSeeds adds addresses to dial, such as those in the platform's list of VMs.
// Addresses other than an IP address with a port are ignored.
func (m *Mesh) AddSeeds(addresses []string) {
	validAddresses := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return !validAddress(a) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil {
		m.opts.Seeds = append(m.opts.Seeds, validAddresses...)
		return
	}
	m.step(membership.SeedsAdded{Addresses: validAddresses})
}

// SelectPeers replaces the routers that a mesh with SelectiveDialing dials; see
// membership.SelectionChanged.
func (m *Mesh) SelectPeers(selection membership.SelectionChanged) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(selection)
}

// DropSession closes the session with a peer.
func (m *Mesh) DropSession(router state.Router) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(membership.SessionUnneeded{Router: router})
}

// tick reports to membership which sessions received messages, ends handshakes
// that exceed handshakeTimeout, and then sends a Tick to membership.
func (m *Mesh) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(m.sessions)) {
		s := m.sessions[id]
		if s.messageReceived.Swap(false) {
			m.step(membership.MessageReceived{Session: id})
		}
		if !s.accepted && m.opts.Clock.Now().Sub(s.startedAt) > handshakeTimeout {
			s.end(errHandshake)
		}
	}
	m.step(membership.Tick{})
}

// step passes an event to membership and performs the resulting actions. The
// caller must hold the lock, and no action blocks.
func (m *Mesh) step(event membership.Event) {
	for _, action := range m.machine.Step(m.opts.Clock.Now(), event) {
		m.perform(action)
	}
	m.queueNotices()
}

// queueNotices passes pending changes to the notices. The caller must hold the
// lock.
func (m *Mesh) queueNotices() {
	if m.pendingPeers != nil || m.pendingSessions != nil {
		m.notices.add(m.pendingPeers, m.pendingSessions)
		m.pendingPeers, m.pendingSessions = nil, nil
	}
}

// removeAccepted removes an ending session from the accepted sessions. The
// caller must hold the lock.
func (m *Mesh) removeAccepted(s *session) {
	if m.acceptedByRouter[s.peer.Router] != s {
		return
	}
	delete(m.acceptedByRouter, s.peer.Router)
	m.pendingSessions = append(m.pendingSessions, sessionNotice{session: s, ended: true})
}

func (m *Mesh) perform(action membership.Action) {
	switch a := action.(type) {
	case membership.Dial:
		m.startDial(a.Address)
	case membership.AcceptSession:
		m.acceptSession(m.sessions[a.Session])
	case membership.RefuseSession:
		m.refuseSession(m.sessions[a.Session], a.Refusal)
	case membership.CloseSession:
		m.closeSession(m.sessions[a.Session], a.Reason)
	case membership.SendHeartbeat:
		m.sendHeartbeat(m.sessions[a.Session], a.Members)
	case membership.PublishPeers:
		m.publishPeers(a.Peers)
	case membership.ProcessResumed:
		m.eventCounts.Resumed++
		m.opts.Log.Warn().Dur("gap", a.Gap).Msg("process resumed")
	}
}

// acceptSession makes a session the accepted one with its peer. If the peer
// dialled, this router's hello is the first frame in the queue.
func (m *Mesh) acceptSession(s *session) {
	s.accepted = true
	m.attribute(s)
	m.acceptedByRouter[s.peer.Router] = s
	m.eventCounts.Sessions++
	if s.dialledAddress == "" {
		m.enqueueControl(s, helloEnvelope(m.self, membership.RefusalNone, 0))
	}
	m.pendingSessions = append(m.pendingSessions, sessionNotice{session: s})
	m.opts.Log.Info().Str("router", string(s.peer.Router)).Uint64("incarnation", uint64(s.peer.Incarnation)).
		Str("data_centre", string(s.peer.DataCentre)).Bool("dialled", s.dialledAddress != "").Msg("peer session opened")
}

func (m *Mesh) refuseSession(s *session, refusal membership.Refusal) {
	s.refusal = refusal
	m.eventCounts.Refused++
	m.opts.Log.Warn().Str("router", string(s.peer.Router)).Uint64("incarnation", uint64(s.peer.Incarnation)).
		Str("address", s.conn.RemoteAddr().String()).Stringer("reason", refusal).Msg("peer session refused")
}

// closeSession closes a session at the request of membership, which does not
// expect SessionClosed for it.
func (m *Mesh) closeSession(s *session, reason membership.CloseReason) {
	m.removeAccepted(s)
	s.end(closeError(reason))
}

// closeError wraps the reason that membership gave for closing a session.
type closeError membership.CloseReason

// Error returns the reason.
func (e closeError) Error() string { return string(e) }

func (m *Mesh) sendHeartbeat(s *session, members []membership.Member) {
	sequence, echo, echoDelay := s.roundTrip.nextHeartbeat(m.opts.Clock.Now())
	heartbeat := &peerpb.Heartbeat{
		Sequence:   sequence,
		Draining:   m.self.Draining,
		Members:    memberMessages(members),
		Echo:       echo,
		EchoHeldUs: uint64(max(echoDelay.Microseconds(), 0)),
	}
	m.enqueueControl(s, &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: heartbeat}})
}

func (m *Mesh) enqueueControl(s *session, env *peerpb.Envelope) {
	if frame, ok := m.encode(env, s.control.maxFrameBytes); ok {
		s.enqueue(s.control, frame)
	}
}

// publishPeers passes on the live routers and deletes the traffic counters of
// routers that membership has forgotten.
func (m *Mesh) publishPeers(peers []scheduler.Peer) {
	knownRouters := make(map[state.Router]bool)
	for _, view := range m.machine.Members() {
		knownRouters[view.Router] = true
	}
	maps.DeleteFunc(m.traffic, func(router state.Router, _ *counters) bool { return !knownRouters[router] })
	m.pendingPeers = peers
	m.opts.Log.Info().Int("live", len(peers)).Msg("peers changed")
}
