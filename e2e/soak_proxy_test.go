package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkFault is the effect of a proxy on the connections through it.
type linkFault int

const (
	linkGood linkFault = iota
	// linkSilent forwards nothing and does not reset connections.
	linkSilent
	// linkNoReplies forwards the data that the caller sends and holds back the
	// replies.
	linkNoReplies
	// linkSlow delays the data of each read.
	linkSlow
)

// slowLinkDelay is the delay of each read on a slow link.
const slowLinkDelay = 40 * time.Millisecond

// faultyLink is a loopback proxy that can make its connections fail.
type faultyLink struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cond  *sync.Cond
	fault linkFault
	// changes counts how often a fault was set or removed and how often
	// connections were reset.
	changes int
	conns   map[net.Conn]bool
	closed  bool
}

func startLink(t *testing.T, target string) *faultyLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &faultyLink{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	l.cond = sync.NewCond(&l.mu)
	t.Cleanup(l.close)
	go l.accept()
	return l
}

func (l *faultyLink) address() string { return l.listener.Addr().String() }

func (l *faultyLink) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *faultyLink) serve(conn net.Conn) {
	targetConn, err := net.Dial("tcp", l.target)
	if err != nil {
		l.drop(conn)
		return
	}
	l.mu.Lock()
	l.conns[conn], l.conns[targetConn] = true, true
	l.mu.Unlock()
	go l.pump(targetConn, conn, linkSilent)
	l.pump(conn, targetConn, linkSilent, linkNoReplies)
}

// pump copies data until either connection fails. It stops while one of the
// given faults is set.
func (l *faultyLink) pump(to, from net.Conn, blocking ...linkFault) {
	defer l.drop(to)
	defer l.drop(from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.awaitUnblocked(blocking) {
			return
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, to)
			}
			return
		}
	}
}

// awaitUnblocked holds the data of a read back while the link fails. It returns
// false if the link is closed.
func (l *faultyLink) awaitUnblocked(blocking []linkFault) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == linkSlow {
		l.mu.Unlock()
		time.Sleep(slowLinkDelay)
		l.mu.Lock()
	}
	for !l.closed && l.isAmong(blocking) {
		l.cond.Wait()
	}
	return !l.closed
}

func (l *faultyLink) isAmong(faults []linkFault) bool {
	for _, f := range faults {
		if l.fault == f {
			return true
		}
	}
	return false
}

func (l *faultyLink) setFault(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	l.changes++
	l.cond.Broadcast()
}

// history returns the number of changes so far, and whether the link is good
// now.
func (l *faultyLink) history() (changes int, good bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes, l.fault == linkGood
}

// reset closes all connections with a TCP reset.
func (l *faultyLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes++
	for conn := range l.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		delete(l.conns, conn)
	}
}

func (l *faultyLink) drop(conn net.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	_ = conn.Close()
}

func (l *faultyLink) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.cond.Broadcast()
	l.mu.Unlock()
	l.reset()
}
