package peer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// fleet runs routers on the loopback interface, with links that can fail and a
// clock that only the test advances.
type fleet struct {
	t         testing.TB
	configure func(*Options)

	// mu guards the fields below and the values that the callbacks stored in
	// the nodes.
	mu         sync.Mutex
	now        time.Time
	ticks      []chan time.Time
	nodes      []*node
	linkStates map[pair]linkState
	links      []*link
}

// node is a router under test with the values that its callbacks received.
type node struct {
	*Mesh
	fleet   *fleet
	name    state.Router
	cancel  context.CancelFunc
	stopped chan struct{}
	// readBlock is read-locked by the handler, so a writer keeps the node from
	// reading messages.
	readBlock sync.RWMutex

	livePeers []scheduler.Peer
	opened    map[state.Router]int
	messages  map[state.Router]int
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), linkStates: make(map[pair]linkState)}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.opts.FlushTimeout = 0
			n.cancel()
		}
		for _, n := range f.nodes {
			<-n.stopped
		}
		for _, l := range f.links {
			_ = l.Conn.Close()
		}
	})
	return f
}

// Now returns the time of the fleet's clock; it implements Clock.
func (f *fleet) Now() time.Time { return locked(f, func() time.Time { return f.now }) }

// Ticker returns a channel that tick sends on; it implements Clock.
func (f *fleet) Ticker(time.Duration) (<-chan time.Time, func()) {
	ch := make(chan time.Time)
	locked(f, func() any { f.ticks = append(f.ticks, ch); return nil })
	return ch, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ticks = slices.DeleteFunc(f.ticks, func(other chan time.Time) bool { return other == ch })
	}
}

// running counts the routers that have not been stopped.
func (f *fleet) running() int { return locked(f, func() int { return len(f.ticks) }) }

func locked[T any](f *fleet, read func() T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return read()
}

func (f *fleet) start(name string, incarnation uint64, seeds ...string) *node {
	n := &node{fleet: f, name: state.Router(name), opened: map[state.Router]int{}, messages: map[state.Router]int{}, stopped: make(chan struct{})}
	opts := Options{
		Self:   Self{Peer: Peer{Router: n.name, DataCentre: "sala-laredo", Incarnation: state.Incarnation(incarnation)}, Fleet: "cantabria"},
		Listen: "127.0.0.1:0",
		Seeds:  seeds,
		Handler: func(from Peer, _ *peerpb.Envelope, _ time.Time) {
			n.readBlock.RLock()
			defer n.readBlock.RUnlock()
			locked(f, func() int { n.messages[from.Router]++; return 0 })
		},
		OnPeers:   func(peers []scheduler.Peer) { locked(f, func() int { n.livePeers = peers; return 0 }) },
		OnSession: func(p Session) { locked(f, func() int { n.opened[p.Router]++; return 0 }) },
		Log:       zerolog.Nop(),
		Clock:     f,
	}
	if f.configure != nil {
		f.configure(&opts)
	}
	mesh, err := New(opts)
	require.NoError(f.t, err)
	n.Mesh = mesh
	n.opts.FlushTimeout = time.Hour
	n.connectTo = func(ctx context.Context, address string) (net.Conn, error) { return f.dial(ctx, n, address) }
	runningBefore := f.running()
	locked(f, func() int { f.nodes = append(f.nodes, n); return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.stopped)
		_ = mesh.Run(ctx)
	}()
	f.waitFor(func() bool { return f.running() == runningBefore+1 })
	return n
}

// startPair starts two routers and waits until each has a session with the
// other.
func (f *fleet) startPair() (castro, laredo *node) {
	castro = f.start("castro-1", 2)
	laredo = f.start("laredo-1", 2, castro.Addr())
	f.advanceUntil(func() bool { return castro.openedFrom("laredo-1") == 1 && laredo.openedFrom("castro-1") == 1 })
	return castro, laredo
}

// stop stops a router gracefully.
func (f *fleet) stop(n *node) {
	n.cancel()
	<-n.stopped
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = slices.DeleteFunc(f.nodes, func(other *node) bool { return other == n })
}

func (n *node) seesExactly(names ...state.Router) bool {
	return locked(n.fleet, func() bool {
		return slices.EqualFunc(n.livePeers, names, func(p scheduler.Peer, name state.Router) bool { return p.Router == name })
	})
}

// findPeer returns the entry for a router in the list of live routers that n
// last published.
func (n *node) findPeer(name state.Router) (found scheduler.Peer) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, p := range n.livePeers {
		if p.Router == name {
			found = p
		}
	}
	return found
}

func (n *node) openedFrom(name state.Router) int {
	return locked(n.fleet, func() int { return n.opened[name] })
}

func (n *node) receivedFrom(name state.Router) int {
	return locked(n.fleet, func() int { return n.messages[name] })
}

func (n *node) sessionWith(to state.Router) *session {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.acceptedByRouter[to]
}

// handshaking reports whether there are sessions that were neither accepted nor
// refused. A dialled session counts from when it is connected.
func (n *node) handshaking() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return len(n.sessions) != len(n.acceptedByRouter)
}

// advanceUntil advances the clock tick by tick until the condition holds. The
// clock only advances once every heartbeat that can arrive has arrived, so that
// a slow machine makes no router appear silent. Only the time limit of the
// whole test run applies.
func (f *fleet) advanceUntil(condition func() bool) {
	for {
		f.waitFor(func() bool { return condition() || f.settled() })
		if condition() {
			return
		}
		f.tick(membership.TickInterval)
		f.yield()
	}
}

// yield lets the goroutines of the routers run. On a single CPU, advancing the
// clock and sending ticks would otherwise starve them for minutes of simulated
// time.
func (f *fleet) yield() { time.Sleep(100 * time.Microsecond) }

func (f *fleet) waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// tick advances the clock once and returns when all routers have received the
// tick.
func (f *fleet) tick(d time.Duration) {
	f.mu.Lock()
	f.now = f.now.Add(d)
	now, ticks := f.now, slices.Clone(f.ticks)
	f.mu.Unlock()
	for _, ch := range ticks {
		ch <- now
	}
}

func (f *fleet) settled() bool {
	for i, a := range f.nodes {
		if a.handshaking() {
			return false
		}
		for _, b := range f.nodes[i+1:] {
			if f.link(a.name, b.name) == linkUp && !heartbeatsDelivered(a, b) {
				return false
			}
		}
	}
	return true
}

// heartbeatsDelivered reports whether the two routers have no session with each
// other, or both have one and every heartbeat has arrived.
func heartbeatsDelivered(a, b *node) bool {
	toB, toA := a.sessionWith(b.name), b.sessionWith(a.name)
	if toB == nil || toA == nil {
		return toB == toA
	}
	return lastHeartbeatDelivered(toB, toA) && lastHeartbeatDelivered(toA, toB)
}

func lastHeartbeatDelivered(from, to *session) bool {
	from.roundTrip.mu.Lock()
	sent := from.roundTrip.sequence
	from.roundTrip.mu.Unlock()
	to.roundTrip.mu.Lock()
	defer to.roundTrip.mu.Unlock()
	return to.roundTrip.receivedSequence == sent
}

type linkState int

const (
	linkUp linkState = iota
	// linkCut closes connections and rejects new ones.
	linkCut
	// linkDead accepts bytes and delivers none, as a lost route does.
	linkDead
)

// pair holds the names of two routers, the smaller name first.
type pair [2]state.Router

func pairOf(a, b state.Router) pair { return pair{min(a, b), max(a, b)} }

// link is the dialler's end of a connection. Once it has lost bytes it stays
// dead for both ends, even when the route comes back.
type link struct {
	net.Conn
	fleet     *fleet
	pair      pair
	lostBytes bool
	// closed is closed when the dialler's end is closed. The close of the other
	// end is lost on a dead link.
	closed chan struct{}
	once   sync.Once
}

func (f *fleet) link(a, b state.Router) linkState {
	return locked(f, func() linkState { return f.linkStates[pairOf(a, b)] })
}

// setLink changes the state of a link. It first waits for pending handshakes,
// because on a dead link only handshakeTimeout would end them, and advanceUntil
// does not advance the clock during handshakes.
func (f *fleet) setLink(a, b state.Router, s linkState) {
	f.waitFor(f.settled)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkStates[pairOf(a, b)] = s
	for _, l := range f.links {
		if l.pair == pairOf(a, b) && s == linkCut {
			_ = l.Conn.Close()
		}
	}
}

func (f *fleet) dial(ctx context.Context, from *node, address string) (net.Conn, error) {
	to := locked(f, func() (name state.Router) {
		for _, n := range f.nodes {
			if n.Addr() == address {
				name = n.name
			}
		}
		return name
	})
	if f.link(from.name, to) != linkUp {
		return nil, fmt.Errorf("no route from %s to %s", from.name, to)
	}
	conn, err := connectTo(ctx, address)
	if err != nil {
		return nil, err
	}
	// Closed connections must not occupy the machine's ports over many test
	// runs.
	_ = conn.(*net.TCPConn).SetLinger(0)
	l := &link{Conn: conn, fleet: f, pair: pairOf(from.name, to), closed: make(chan struct{})}
	locked(f, func() int { f.links = append(f.links, l); return 0 })
	return l, nil
}

func (l *link) dead() bool {
	return locked(l.fleet, func() bool {
		l.lostBytes = l.lostBytes || l.fleet.linkStates[l.pair] == linkDead
		return l.lostBytes
	})
}

func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if !l.dead() {
			return n, err
		}
		if err != nil {
			<-l.closed
			return 0, err
		}
	}
}

func (l *link) Write(p []byte) (int, error) {
	if l.dead() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// Close of a dead link ends its reader and does not reach the other end.
func (l *link) Close() error {
	l.once.Do(func() { close(l.closed) })
	if l.dead() {
		return l.SetDeadline(time.Unix(1, 0))
	}
	return l.Conn.Close()
}

// CloseWrite is lost on a dead link like any other data.
func (l *link) CloseWrite() error {
	if l.dead() {
		return nil
	}
	return l.Conn.(*net.TCPConn).CloseWrite()
}
