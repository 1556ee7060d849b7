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
	// strangerLines in strangerPeriod show an operator that something knocks
	// or that a certificate has run out, and keep a port scan from filling
	// the log.
	strangerLines  = 10
	strangerPeriod = time.Minute
)

// acceptRetry is the pause after a failed accept, such as for want of file
// descriptors.
const acceptRetry = 100 * time.Millisecond

// accept takes connections until the listener closes.
func (m *Mesh) accept() {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.opts.Log.Warn().Err(err).Msg("peer accept failed")
			time.Sleep(acceptRetry)
			continue
		}
		m.mu.Lock()
		m.connect(conn, "")
		m.mu.Unlock()
	}
}

// startDial dials in the background. Membership hears DialFailed or Greeted.
func (m *Mesh) startDial(address string) {
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	m.running.Go(func() { m.dial(m.ctx, address) })
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
	m.connect(conn, address)
}

// connect starts a session on a new connection. The caller holds the lock.
func (m *Mesh) connect(conn net.Conn, dialled string) {
	if m.ctx.Err() != nil || len(m.sessions)-len(m.routes) >= maxPending {
		_ = conn.Close()
		if dialled != "" {
			m.step(membership.DialFailed{Address: dialled})
		}
		return
	}
	m.lastID++
	s := newSession(m.lastID, conn, dialled, m.opts.Clock.Now(), &m.total)
	m.sessions[s.id] = s
	m.running.Go(func() { m.serve(s) })
}

// serve runs a session from its handshake to its end.
func (m *Mesh) serve(s *session) {
	if failed := m.shakeHands(s); failed != nil {
		s.end(failed.cause)
		m.ended(s, failed.event)
		return
	}
	m.running.Go(func() { s.write(s.control) })
	m.running.Go(func() { m.serveBulk(s) })
	s.read(s.control, func(env *peerpb.Envelope) error { return m.handleControl(s, env) })
	m.ended(s, membership.Closed{Session: s.id})
}

// failure is a session that was not accepted, with what membership must hear.
type failure struct {
	cause error
	event membership.Event
}

// refusedError is a refusal by either side.
type refusedError membership.Refusal

// Error returns the reason.
func (e refusedError) Error() string { return "refused: " + membership.Refusal(e).String() }

func (m *Mesh) shakeHands(s *session) *failure {
	if err := s.start(m.opts.TLS); err != nil {
		return dialFailure(s, err)
	}
	if s.dialled != "" {
		if err := s.writeHello(m.hello(membership.RefusalNone, 0)); err != nil {
			return dialFailure(s, err)
		}
	}
	raw, err := s.readHello()
	if err != nil {
		return dialFailure(s, err)
	}
	hello := helloFrom(raw)
	if raw.GetRefusal() != peerpb.Refusal_REFUSAL_NONE {
		m.raise(membership.Refusal(raw.GetRefusal()), state.Incarnation(raw.GetKnownIncarnation()))
		return m.refusedByPeer(s, hello, membership.Refusal(raw.GetRefusal()))
	}
	return m.greet(s, hello)
}

// dialFailure is a session that never came to a verdict. Membership only
// waits for those it dialled.
func dialFailure(s *session, cause error) *failure {
	f := &failure{cause: cause}
	if s.dialled != "" {
		f.event = membership.DialFailed{Address: s.dialled}
	}
	return f
}

func (m *Mesh) refusedByPeer(s *session, hello membership.Hello, refusal membership.Refusal) *failure {
	m.opts.Log.Warn().Str("address", s.dialled).Str("router", string(hello.Router)).
		Stringer("reason", refusal).Msg("peer refused the session")
	m.mu.Lock()
	s.refusal = refusal
	m.events.Refused++
	m.mu.Unlock()
	f := &failure{cause: refusedError(refusal)}
	if s.dialled != "" {
		f.event = membership.DialFailed{
			Address:     s.dialled,
			Refusal:     refusal,
			Router:      hello.Router,
			Incarnation: hello.Incarnation,
		}
	}
	return f
}

// greet asks membership for its verdict. The acceptor of a refused session
// tells the dialler why.
func (m *Mesh) greet(s *session, hello membership.Hello) *failure {
	m.mu.Lock()
	s.peer = Peer{Router: hello.Router, DataCentre: hello.DataCentre, Incarnation: hello.Incarnation}
	s.address, s.capacity = hello.Address, hello.Capacity
	m.step(membership.Greeted{Session: s.id, Dialled: s.dialled, Hello: hello})
	accepted, refusal := s.accepted, s.refusal
	m.mu.Unlock()
	if accepted {
		return nil
	}
	if s.dialled == "" {
		// The dialler closes first, or the limit on pending sessions does:
		// closing here could destroy the reason on its way.
		_ = s.writeHello(m.hello(refusal, m.knownIncarnation(hello.Router, refusal)))
		_, _ = s.control.in.Next()
	}
	return &failure{cause: refusedError(refusal)}
}

// attribute counts the session for its peer.
func (m *Mesh) attribute(s *session) {
	counted, ok := m.traffic[s.peer.Router]
	if !ok {
		counted = &counters{}
		m.traffic[s.peer.Router] = counted
	}
	s.conn.attribute(counted)
}

func (m *Mesh) hello(refusal membership.Refusal, known state.Incarnation) *peerpb.Envelope {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return helloEnvelope(m.self, refusal, known)
}

// knownIncarnation is what a refused dialler is to hear of its later run.
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

// freshFor is how long after its start a process is surely the latest run under
// its name.
const freshFor = time.Minute

// raise passes a later incarnation of this router's name that a peer knows. A
// clock that was set back before a restart gives the new run the smaller
// number, and peers would refuse it for as long as they remember the old one.
// A process that is no longer fresh may be the old run itself, after a pause,
// and must stay refused.
func (m *Mesh) raise(refusal membership.Refusal, known state.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.opts.Sole || refusal != membership.RefusalIncarnation || known < m.self.Incarnation {
		return
	}
	if m.opts.Clock.Now().Sub(m.created) > freshFor {
		return
	}
	m.self.Incarnation = known + 1
	m.step(membership.Raised{Incarnation: known + 1})
	m.opts.Log.Warn().Uint64("incarnation", uint64(m.self.Incarnation)).Msg("incarnation raised above one that a peer knows")
}

// serveBulk runs the second stream.
func (m *Mesh) serveBulk(s *session) {
	if err := s.openLane(s.bulk); err != nil {
		s.end(err)
		return
	}
	m.running.Go(func() { s.write(s.bulk) })
	s.read(s.bulk, func(env *peerpb.Envelope) error {
		m.opts.Handler(s.peer, env)
		return nil
	})
}

func (m *Mesh) handleControl(s *session, env *peerpb.Envelope) error {
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_Heartbeat:
		m.handleHeartbeat(s, body.Heartbeat)
	case *peerpb.Envelope_Hello:
		return errTwoHellos
	case nil:
		// A body of a later version.
	default:
		m.opts.Handler(s.peer, env)
	}
	return nil
}

func (m *Mesh) handleHeartbeat(s *session, beat *peerpb.Heartbeat) {
	held := time.Duration(beat.GetEchoHeldUs()) * time.Microsecond
	s.trip.hear(m.opts.Clock.Now(), beat.GetSequence(), beat.GetEcho(), held)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(membership.HeartbeatHeard{
		Session:  s.id,
		Draining: beat.GetDraining(),
		Members:  membersFrom(beat.GetMembers()),
	})
}

// ended frees a session and tells membership.
func (m *Mesh) ended(s *session, event membership.Event) {
	if s.mux != nil {
		_ = s.mux.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s.id)
	m.unroute(s)
	m.countEnd(s)
	if event != nil {
		m.step(event)
	}
	m.announce()
}

// logFailed warns of a connection that never became a session, unless one side
// was just stopping or starting.
func (m *Mesh) logFailed(s *session) {
	level := zerolog.WarnLevel
	if errors.Is(s.err, errStopped) || errors.Is(s.err, io.EOF) {
		level = zerolog.DebugLevel
	}
	m.strangers.WithLevel(level).Str("address", s.conn.RemoteAddr().String()).Err(s.err).Msg("peer handshake failed")
}

func (m *Mesh) countEnd(s *session) {
	switch {
	case !s.accepted && s.refusal == membership.RefusalNone:
		m.events.Failed++
		m.logFailed(s)
		return
	case !s.accepted:
		return
	case errors.Is(s.err, errOverflow):
		m.events.Overflows++
	}
	m.opts.Log.Info().Str("router", string(s.peer.Router)).Err(s.err).Msg("peer session closed")
}
