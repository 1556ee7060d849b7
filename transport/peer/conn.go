package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes and messages sent over TCP connections. Bytes
// include framing and TLS.
type Traffic struct {
	BytesIn, BytesOut       uint64
	MessagesIn, MessagesOut uint64
}

// counters holds the counters of a Traffic while they are being updated.
type counters struct {
	bytesIn, bytesOut       atomic.Uint64
	messagesIn, messagesOut atomic.Uint64
}

func (c *counters) load() Traffic {
	return Traffic{
		BytesIn:     c.bytesIn.Load(),
		BytesOut:    c.bytesOut.Load(),
		MessagesIn:  c.messagesIn.Load(),
		MessagesOut: c.messagesOut.Load(),
	}
}

// countedConn counts the bytes of one connection, both in the total of the mesh
// and in the counters of the peer. Until the hello identifies the peer, its
// bytes are counted in unattributed.
type countedConn struct {
	net.Conn
	total        *counters
	unattributed counters
	peer         atomic.Pointer[counters]
}

// attribute assigns the connection to a peer and adds the bytes counted so far
// to the peer's counters.
func (c *countedConn) attribute(peer *counters) {
	peer.bytesIn.Add(c.unattributed.bytesIn.Load())
	peer.bytesOut.Add(c.unattributed.bytesOut.Load())
	c.peer.Store(peer)
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.bytesIn.Add(uint64(n))
	c.peerCounters().bytesIn.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.bytesOut.Add(uint64(n))
	c.peerCounters().bytesOut.Add(uint64(n))
	return n, err
}

func (c *countedConn) countMessageIn() {
	c.total.messagesIn.Add(1)
	c.peerCounters().messagesIn.Add(1)
}

func (c *countedConn) countMessageOut() {
	c.total.messagesOut.Add(1)
	c.peerCounters().messagesOut.Add(1)
}

// closeWrite closes the sending side of the connection, so that the peer reads
// the end of the stream.
func (c *countedConn) closeWrite() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
}

func (c *countedConn) peerCounters() *counters {
	if peer := c.peer.Load(); peer != nil {
		return peer
	}
	return &c.unattributed
}

// The layout of yamux's frame header in bytes: version (1), type (1), flags
// (2), stream (4), length (4).
const (
	yamuxHeaderBytes = 12
	yamuxTypeOffset  = 1
	yamuxLenOffset   = 8
	yamuxTypeData    = 0
)

// frameJoiningConn holds back the header of a data frame until its body is
// written. yamux writes the two separately, and without Nagle's algorithm each
// would be sent in its own TCP segment (and TLS record). yamux writes from a
// single goroutine, so no other write comes between the two.
type frameJoiningConn struct {
	net.Conn
	header []byte
}

// Write writes a whole frame, or holds back a header that a body will follow.
func (c *frameJoiningConn) Write(p []byte) (int, error) {
	if len(c.header) == 0 && announcesBody(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}
	frame := append(c.header, p...)
	c.header = c.header[:0]
	if cap(frame) <= maxBatchBytes {
		c.header = frame[:0]
	}
	n, err := c.Conn.Write(frame)
	return max(n-yamuxHeaderBytes, 0), err
}

func announcesBody(p []byte) bool {
	return len(p) == yamuxHeaderBytes && p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLenOffset:]) > 0
}
