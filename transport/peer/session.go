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
	// streamsPerSession counts the control stream and the bulk stream.
	streamsPerSession = 2
	// writeTimeout ends a session whose TCP connection accepts no bytes.
	// Heartbeats detect a dead peer earlier; this timeout frees the blocked
	// goroutine.
	writeTimeout = 10 * time.Second
	// readBufferBytes is the size of a stream's read buffer. Most messages are
	// shorter than 100 bytes.
	readBufferBytes = 512
)

// Errors that end a session.
var (
	errOverflow    = errors.New("send queue overflow")
	errHandshake   = errors.New("hello not received in time")
	errNoHello     = errors.New("first message is not a hello")
	errSecondHello = errors.New("hello received twice")
	errStopped     = errors.New("stopped")
)

// session is one yamux session between two routers. It begins with the TCP
// connection.
type session struct {
	id             membership.SessionID
	dialledAddress string
	startedAt      time.Time
	conn           *countedConn
	mux            *yamux.Session
	control        *queuedStream
	bulk           *queuedStream
	roundTrip      roundTrip

	// peer, its listening address and its capacity are set before the session
	// is accepted.
	peer     Peer
	address  string
	capacity uint32

	// accepted or refusal is set by the mesh, under its lock, once membership
	// has processed the hello.
	accepted bool
	refusal  membership.Refusal

	// messageReceived is set by every message and cleared by the mesh's tick.
	messageReceived atomic.Bool
	// peerAnnounced is closed after OnPeers and OnSession have been called for
	// the peer.
	peerAnnounced chan struct{}

	endOnce sync.Once
	done    chan struct{}
	// err is the reason for the end. It may be read only after done is closed.
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

func (qs *queuedStream) attach(stream *yamux.Stream) {
	qs.stream = stream
	qs.reader = wire.NewFrameReader(bufio.NewReaderSize(stream, readBufferBytes), qs.maxFrameBytes)
}

// newSession wraps a connection. It sends nothing yet.
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

// start starts TLS, if configured, and yamux on the connection and opens the
// control stream.
func (s *session) start(tlsConfig *tls.Config) error {
	baseConn := net.Conn(s.conn)
	if tlsConfig != nil {
		baseConn = s.withTLS(tlsConfig)
	}
	joinedConn := &frameJoiningConn{Conn: baseConn}
	mux, err := s.multiplex(joinedConn)
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
	// Membership sends its own heartbeats, which carry more information.
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	// The handshake has its own time limit, and this one would cost a
	// goroutine.
	cfg.StreamOpenTimeout = 0
	cfg.LogOutput = io.Discard
	if s.dialledAddress == "" {
		return yamux.Server(conn, cfg)
	}
	return yamux.Client(conn, cfg)
}

// openStream opens the next stream if this router dialled, and otherwise waits
// for the peer to open it. Both sides handle the control stream first.
func (s *session) openStream(qs *queuedStream) error {
	open := s.mux.OpenStream
	if s.dialledAddress == "" {
		open = s.mux.AcceptStream
	}
	stream, err := open()
	if err != nil {
		return err
	}
	qs.attach(stream)
	return nil
}

// writeHello writes a hello directly to the stream, bypassing the queue. Only
// the handshake uses it.
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

// streamFor returns the stream that carries a message.
func (s *session) streamFor(env *peerpb.Envelope) *queuedStream {
	if env.GetConfigObject() != nil || env.GetCatalogueEnd() != nil {
		return s.bulk
	}
	return s.control
}

// enqueue queues a frame, or ends the session if the queue is full.
func (s *session) enqueue(qs *queuedStream, frame []byte) bool {
	if !qs.queue.push(queueItem{frame: frame}) {
		s.end(errOverflow)
		return false
	}
	return true
}

// writeLoop writes queued frames until the session ends.
func (s *session) writeLoop(qs *queuedStream) {
	for {
		select {
		case <-s.done:
			return
		case <-qs.queue.ready:
		}
		if err := s.writeQueued(qs); err != nil {
			s.end(err)
			return
		}
	}
}

func (s *session) writeQueued(qs *queuedStream) error {
	for more := true; more; {
		var batch []queueItem
		batch, more = qs.queue.takeBatch()
		if err := s.writeBatch(qs, batch); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) writeBatch(qs *queuedStream, batch []queueItem) error {
	var out []byte
	for _, it := range batch {
		out = append(out, it.frame...)
	}
	if len(out) > 0 {
		if _, err := qs.stream.Write(out); err != nil {
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

// readLoop passes received messages to a handler until the session ends. It
// starts reading once the peer has been announced.
func (s *session) readLoop(qs *queuedStream, handle func(*peerpb.Envelope) error) {
	select {
	case <-s.peerAnnounced:
	case <-s.done:
	}
	for {
		env, err := qs.reader.Next()
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

// awaitEnd returns when the session or the context has ended.
func (s *session) awaitEnd(ctx context.Context) {
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}

// flush returns when all queued frames were written, or when the session or the
// context has ended.
func (s *session) flush(ctx context.Context) {
	for _, qs := range []*queuedStream{s.control, s.bulk} {
		written := make(chan struct{})
		if !qs.queue.push(queueItem{written: written}) {
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

// end marks the session as ended. It does not block; the session's goroutine
// releases the resources.
func (s *session) end(err error) {
	s.endOnce.Do(func() {
		s.err = err
		close(s.done)
		// Close the TCP connection itself, because closing TLS could wait for a
		// peer that does not read.
		_ = s.conn.Conn.Close()
	})
}
