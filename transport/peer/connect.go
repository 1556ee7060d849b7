package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/rs/zerolog"
)

const (
	// handshakeLogBurst is the number of failed handshakes that are logged per
	// handshakeLogPeriod. It is enough to show an operator that an unknown
	// process connects or that a certificate has expired, and keeps a port scan
	// from filling the log.
	handshakeLogBurst  = 10
	handshakeLogPeriod = time.Minute
)

// acceptRetryDelay is the wait after a failed accept, for example when the
// process has run out of file descriptors.
const acceptRetryDelay = 100 * time.Millisecond

// acceptConnections accepts connections until the listener closes.
func (m *Mesh) acceptConnections() {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.opts.Log.Warn().Err(err).Msg("peer accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		m.mu.Lock()
		m.startSession(conn, "")
		m.mu.Unlock()
	}
}

// startDial dials an address in the background. The result reaches membership
// as DialFailed or HelloReceived.
func (m *Mesh) startDial(address string) {
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	m.goroutines.Go(func() { m.dial(m.ctx, address) })
}

func connectTo(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func (m *Mesh) dial(ctx context.Context, address string) {
	conn, err := m.connectTo(ctx, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.opts.Log.Debug().Str("address", address).Err(err).Msg("peer dial failed")
		m.step(membership.DialFailed{Address: address})
		return
	}
	m.startSession(conn, address)
}

// startSession starts a session on a new connection, or closes the connection
// if too many handshakes are pending. The caller must hold the lock.
func (m *Mesh) startSession(conn net.Conn, dialledAddress string) {
	if m.ctx.Err() != nil || len(m.sessions)-len(m.acceptedByRouter) >= maxPendingSessions {
		_ = conn.Close()
		if dialledAddress != "" {
			m.step(membership.DialFailed{Address: dialledAddress})
		}
		return
	}
	m.lastID++
	s := newSession(m.lastID, conn, dialledAddress, m.opts.Clock.Now(), &m.totalTraffic)
	m.sessions[s.id] = s
	m.goroutines.Go(func() { m.runSession(s) })
}

// runSession runs a session from its handshake to its end.
func (m *Mesh) runSession(s *session) {
	if failure := m.handshake(s); failure != nil {
		s.end(failure.cause)
		m.sessionEnded(s, failure.event)
		return
	}
	m.goroutines.Go(func() { s.writeLoop(s.control) })
	m.goroutines.Go(func() { m.runBulkStream(s) })
	s.readLoop(s.control, func(env *peerpb.Envelope) error { return m.handleControl(s, env) })
	m.sessionEnded(s, membership.SessionClosed{Session: s.id})
}

// handshakeFailure describes why a session was not accepted. The event, if not
// nil, has to be passed to membership.
type handshakeFailure struct {
	cause error
	event membership.Event
}

// refusedError is returned for a session that either side refused.
type refusedError membership.Refusal

// Error returns the reason for the refusal.
func (e refusedError) Error() string { return "refused: " + membership.Refusal(e).String() }

func (m *Mesh) handshake(s *session) *handshakeFailure {
	if err := s.start(m.opts.TLS); err != nil {
		return newHandshakeFailure(s, err)
	}
	if s.dialledAddress != "" {
		if err := s.writeHello(m.hello(membership.RefusalNone, 0)); err != nil {
			return newHandshakeFailure(s, err)
		}
	}
	raw, err := s.readHello()
	if err != nil {
		return newHandshakeFailure(s, err)
	}
	hello := helloFrom(raw)
	if raw.GetRefusal() != peerpb.Refusal_REFUSAL_NONE {
		m.raiseIncarnation(membership.Refusal(raw.GetRefusal()), state.Incarnation(raw.GetKnownIncarnation()))
		return m.refusedByPeer(s, hello, membership.Refusal(raw.GetRefusal()))
	}
	return m.submitHello(s, hello)
}

// newHandshakeFailure returns the failure of a session that ended before either
// side accepted or refused it. Membership waits for a result only for sessions
// that this router dialled.
func newHandshakeFailure(s *session, cause error) *handshakeFailure {
	f := &handshakeFailure{cause: cause}
	if s.dialledAddress != "" {
		f.event = membership.DialFailed{Address: s.dialledAddress}
	}
	return f
}

func (m *Mesh) refusedByPeer(s *session, hello membership.Hello, refusal membership.Refusal) *handshakeFailure {
	m.opts.Log.Warn().Str("address", s.dialledAddress).Str("router", string(hello.Router)).
		Stringer("reason", refusal).Msg("peer refused the session")
	m.mu.Lock()
	s.refusal = refusal
	m.eventCounts.Refused++
	m.mu.Unlock()
	f := &handshakeFailure{cause: refusedError(refusal)}
	if s.dialledAddress != "" {
		f.event = membership.DialFailed{
			Address:     s.dialledAddress,
			Refusal:     refusal,
			Router:      hello.Router,
			Incarnation: hello.Incarnation,
		}
	}
	return f
}

// submitHello passes the peer's hello to membership, which accepts or refuses
// the session. If this router did not dial, it sends the reason for a refusal
// to the dialler.
func (m *Mesh) submitHello(s *session, hello membership.Hello) *handshakeFailure {
	m.mu.Lock()
	s.peer = Peer{Router: hello.Router, DataCentre: hello.DataCentre, Incarnation: hello.Incarnation}
	s.address, s.capacity = hello.Address, hello.Capacity
	m.step(membership.HelloReceived{Session: s.id, DialledAddress: s.dialledAddress, Hello: hello})
	accepted, refusal := s.accepted, s.refusal
	m.mu.Unlock()
	if accepted {
		return nil
	}
	if s.dialledAddress == "" {
		// The dialler closes the connection after it has read the reason;
		// otherwise handshakeTimeout ends it. Closing here could reset the
		// connection and destroy the reason before it arrives.
		_ = s.writeHello(m.hello(refusal, m.knownIncarnation(hello.Router, refusal)))
		_, _ = s.control.reader.Next()
	}
	return &handshakeFailure{cause: refusedError(refusal)}
}

// attribute counts the session's traffic in the counters of its peer.
func (m *Mesh) attribute(s *session) {
	traffic, ok := m.traffic[s.peer.Router]
	if !ok {
		traffic = &counters{}
		m.traffic[s.peer.Router] = traffic
	}
	s.conn.attribute(traffic)
}

func (m *Mesh) hello(refusal membership.Refusal, laterIncarnation state.Incarnation) *peerpb.Envelope {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return helloEnvelope(m.self, refusal, laterIncarnation)
}

// knownIncarnation returns the later incarnation of a dialler that was refused
// with RefusalIncarnation, and 0 for other refusals.
func (m *Mesh) knownIncarnation(router state.Router, refusal membership.Refusal) state.Incarnation {
	if refusal != membership.RefusalIncarnation {
		return 0
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, view := range m.machine.Members() {
		if view.Router == router {
			return view.Incarnation
		}
	}
	return 0
}

// incarnationRaiseWindow is how long after its start a process can be sure that
// it is the latest one under its name.
const incarnationRaiseWindow = time.Minute

// raiseIncarnation raises this router's incarnation above a later one that a
// peer knows for its name. If the clock was set back before a restart, the new
// process has the smaller incarnation, and peers would refuse it for as long as
// they remember the old one. A process that started longer ago than
// incarnationRaiseWindow may itself be the old process after a pause, and must
// stay refused.
func (m *Mesh) raiseIncarnation(refusal membership.Refusal, laterIncarnation state.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.opts.SoleProcess || refusal != membership.RefusalIncarnation || laterIncarnation < m.self.Incarnation {
		return
	}
	if m.opts.Clock.Now().Sub(m.startedAt) > incarnationRaiseWindow {
		return
	}
	m.self.Incarnation = laterIncarnation + 1
	m.step(membership.IncarnationRaised{Incarnation: laterIncarnation + 1})
	m.opts.Log.Warn().Uint64("incarnation", uint64(m.self.Incarnation)).Msg("incarnation raised above one that a peer knows")
}

// runBulkStream opens and serves the bulk stream of a session.
func (m *Mesh) runBulkStream(s *session) {
	if err := s.openStream(s.bulk); err != nil {
		s.end(err)
		return
	}
	m.goroutines.Go(func() { s.writeLoop(s.bulk) })
	s.readLoop(s.bulk, func(env *peerpb.Envelope) error {
		m.handle(s, env)
		return nil
	})
}

// handle passes a message to the handler of the options.
func (m *Mesh) handle(s *session, env *peerpb.Envelope) {
	held := time.Duration(env.GetEchoHeldUs()) * time.Microsecond
	m.opts.Handler(s.peer, env, s.roundTrip.sentAfter(m.opts.Clock.Now(), env.GetEcho(), held))
}

func (m *Mesh) handleControl(s *session, env *peerpb.Envelope) error {
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_Heartbeat:
		m.handleHeartbeat(s, body.Heartbeat)
	case *peerpb.Envelope_Hello:
		return errSecondHello
	case nil:
		// The body is of a type that a later protocol version added.
	default:
		m.handle(s, env)
	}
	return nil
}

func (m *Mesh) handleHeartbeat(s *session, heartbeat *peerpb.Heartbeat) {
	echoDelay := time.Duration(heartbeat.GetEchoHeldUs()) * time.Microsecond
	s.roundTrip.receiveHeartbeat(m.opts.Clock.Now(), heartbeat.GetSequence(), heartbeat.GetEcho(), echoDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(membership.HeartbeatReceived{
		Session:  s.id,
		Draining: heartbeat.GetDraining(),
		Members:  membersFrom(heartbeat.GetMembers()),
	})
}

// sessionEnded releases a session and reports its end to membership.
func (m *Mesh) sessionEnded(s *session, event membership.Event) {
	if s.mux != nil {
		_ = s.mux.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s.id)
	m.removeAccepted(s)
	m.countSessionEnd(s)
	if event != nil {
		m.step(event)
	}
	m.queueNotices()
}

// logHandshakeFailure logs a failed handshake as a warning, or at debug level
// if one side was stopping or starting.
func (m *Mesh) logHandshakeFailure(s *session) {
	level := zerolog.WarnLevel
	if errors.Is(s.err, errStopped) || errors.Is(s.err, io.EOF) {
		level = zerolog.DebugLevel
	}
	m.handshakeLog.WithLevel(level).Str("address", s.conn.RemoteAddr().String()).Err(s.err).Msg("peer handshake failed")
}

func (m *Mesh) countSessionEnd(s *session) {
	switch {
	case !s.accepted && s.refusal == membership.RefusalNone:
		m.eventCounts.Failed++
		m.logHandshakeFailure(s)
		return
	case !s.accepted:
		return
	case errors.Is(s.err, errOverflow):
		m.eventCounts.Overflows++
	}
	m.opts.Log.Info().Str("router", string(s.peer.Router)).Err(s.err).Msg("peer session closed")
}
