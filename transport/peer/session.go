package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
)

const (
	// streamsPerSession is the control stream and the bulk stream.
	streamsPerSession = 2
	// writeTimeout ends a session whose TCP connection takes no bytes at
	// all. Heartbeats find a dead peer earlier; this frees the goroutine.
	writeTimeout = 10 * time.Second
	// readBufferBytes of a stream: most messages are under a hundred bytes.
	readBufferBytes = 512
)

// Errors that end a session.
var (
	errOverflow    = errors.New("send queue overflow")
	errHandshake   = errors.New("no hello in time")
	errNoHello     = errors.New("first message is no hello")
	errSecondHello = errors.New("second hello")
	errStopped     = errors.New("stopped")
)

// session is one yamux session, from the TCP connection on.
type session struct {
	id             membership.SessionID
	dialledAddress string
	startedAt      time.Time
	conn           *countedConn
	mux            *yamux.Session
	control        *queuedStream
	bulk           *queuedStream
	roundTrip      roundTrip

	// peer, the address where it listens and its capacity are set before the
	// session is accepted.
	peer     Peer
	address  string
	capacity uint32

	// verdict is written by the mesh under its lock while it greets.
	accepted bool
	refusal  membership.Refusal

	// messageReceived is set by every message and cleared by the mesh's tick.
	messageReceived atomic.Bool
	// peerAnnounced is closed once OnPeers knows the peer.
	peerAnnounced chan struct{}

	endOnce sync.Once
	done    chan struct{}
	// err is the cause of the end; read it after done.
	err error
}

// queuedStream is one stream of a session with its send queue.
type queuedStream struct {
	queue         *queue
	maxFrameBytes int64
	stream        *yamux.Stream
	reader        *wire.FrameReader
}

func newQueuedStream(maxFrameBytes int64) *queuedStream {
	return &queuedStream{queue: newQueue(), maxFrameBytes: maxFrameBytes}
}

func (l *queuedStream) attach(stream *yamux.Stream) {
	l.stream = stream
	l.reader = wire.NewFrameReader(bufio.NewReaderSize(stream, readBufferBytes), l.maxFrameBytes)
}

// newSession wraps a connection; nothing is sent yet.
func newSession(id membership.SessionID, conn net.Conn, dialledAddress string, now time.Time, total *counters) *session {
	return &session{
		id:             id,
		dialledAddress: dialledAddress,
		startedAt:      now,
		conn:           &countedConn{Conn: conn, total: total},
		control:        newQueuedStream(wire.MaxControlFrameBytes),
		bulk:           newQueuedStream(wire.MaxBulkFrameBytes),
		peerAnnounced:  make(chan struct{}),
		done:           make(chan struct{}),
	}
}

// start runs TLS, if any, and yamux on the connection and opens the control
// stream.
func (s *session) start(tlsConfig *tls.Config) error {
	inner := net.Conn(s.conn)
	if tlsConfig != nil {
		inner = s.withTLS(tlsConfig)
	}
	joined := &frameJoiningConn{Conn: inner}
	mux, err := s.multiplex(joined)
	if err != nil {
		return err
	}
	s.mux = mux
	return s.openStream(s.control)
}

func (s *session) withTLS(cfg *tls.Config) net.Conn {
	if s.dialledAddress == "" {
		return tls.Server(s.conn, cfg)
	}
	cfg = cfg.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(s.dialledAddress)
	}
	return tls.Client(s.conn, cfg)
}

func (s *session) multiplex(conn net.Conn) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = streamsPerSession
	// Membership sends heartbeats of its own, which carry more.
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	// The handshake has its own limit; this would cost a goroutine.
	cfg.StreamOpenTimeout = 0
	cfg.LogOutput = io.Discard
	if s.dialledAddress == "" {
		return yamux.Server(conn, cfg)
	}
	return yamux.Client(conn, cfg)
}

// openStream opens the next stream if this router dialled, and awaits it
// otherwise. Both sides open the control stream first.
func (s *session) openStream(l *queuedStream) error {
	open := s.mux.OpenStream
	if s.dialledAddress == "" {
		open = s.mux.AcceptStream
	}
	stream, err := open()
	if err != nil {
		return err
	}
	l.attach(stream)
	return nil
}

// writeHello sends a hello past the queue; only the handshake does.
func (s *session) writeHello(env *peerpb.Envelope) error {
	frame, err := wire.AppendFrame(nil, env)
	if err != nil {
		return err
	}
	_, err = s.control.stream.Write(frame)
	return err
}

func (s *session) readHello() (*peerpb.Hello, error) {
	env, err := s.control.reader.Next()
	if err != nil {
		return nil, err
	}
	hello := env.GetHello()
	if hello == nil {
		return nil, errNoHello
	}
	return hello, nil
}

// streamFor picks the stream of a message.
func (s *session) streamFor(env *peerpb.Envelope) *queuedStream {
	if env.GetConfigObject() != nil || env.GetCatalogueEnd() != nil {
		return s.bulk
	}
	return s.control
}

// enqueue queues a frame, or ends the session if its queue is full.
func (s *session) enqueue(l *queuedStream, frame []byte) bool {
	if !l.queue.push(queueItem{frame: frame}) {
		s.end(errOverflow)
		return false
	}
	return true
}

// writeLoop sends what is queued until the session ends.
func (s *session) writeLoop(l *queuedStream) {
	for {
		select {
		case <-s.done:
			return
		case <-l.queue.ready:
		}
		if err := s.writeQueued(l); err != nil {
			s.end(err)
			return
		}
	}
}

func (s *session) writeQueued(l *queuedStream) error {
	for more := true; more; {
		var batch []queueItem
		batch, more = l.queue.takeBatch()
		if err := s.writeBatch(l, batch); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) writeBatch(l *queuedStream, batch []queueItem) error {
	var out []byte
	for _, it := range batch {
		out = append(out, it.frame...)
	}
	if len(out) > 0 {
		if _, err := l.stream.Write(out); err != nil {
			return err
		}
	}
	for _, it := range batch {
		if it.written != nil {
			close(it.written)
			continue
		}
		s.conn.countMessageOut()
	}
	return nil
}

// readLoop passes on messages until the session ends.
func (s *session) readLoop(l *queuedStream, handle func(*peerpb.Envelope) error) {
	select {
	case <-s.peerAnnounced:
	case <-s.done:
	}
	for {
		env, err := l.reader.Next()
		if err == nil {
			s.messageReceived.Store(true)
			s.conn.countMessageIn()
			err = handle(env)
		}
		if err != nil {
			s.end(err)
			return
		}
	}
}

// awaitEnd returns once the session or the context has ended.
func (s *session) awaitEnd(ctx context.Context) {
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}

// flush returns once what is queued was written or the session or the context
// has ended.
func (s *session) flush(ctx context.Context) {
	for _, l := range []*queuedStream{s.control, s.bulk} {
		written := make(chan struct{})
		if !l.queue.push(queueItem{written: written}) {
			continue
		}
		select {
		case <-written:
		case <-s.done:
		case <-ctx.Done():
			return
		}
	}
}

// end marks the session as over. It does not block; the goroutine of the
// session cleans up.
func (s *session) end(err error) {
	s.endOnce.Do(func() {
		s.err = err
		close(s.done)
		// The bare connection: closing TLS could wait for a peer that
		// does not read.
		_ = s.conn.Conn.Close()
	})
}
