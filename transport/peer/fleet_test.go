package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// manualClock stands still until a test moves it.
type manualClock struct {
	mu    sync.Mutex
	now   time.Time
	ticks []chan time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Ticker(time.Duration) (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time)
	c.ticks = append(c.ticks, ch)
	return ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ticks = slices.DeleteFunc(c.ticks, func(other chan time.Time) bool { return other == ch })
	}
}

// tickers counts the meshes that have not been told to stop.
func (c *manualClock) tickers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ticks)
}

// node is a router under test and what its callbacks were told.
type node struct {
	*Mesh
	name   state.Router
	cancel context.CancelFunc
	ended  chan struct{}
	// hold is read-locked by the handler: a writer stops it from reading.
	hold sync.RWMutex

	mu       sync.Mutex
	live     []scheduler.Peer
	opened   map[state.Router]int
	messages map[state.Router]int
}

func (n *node) sees(names ...state.Router) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	var live []state.Router
	for _, p := range n.live {
		live = append(live, p.Router)
	}
	return slices.Equal(live, names)
}

func (n *node) find(name state.Router) (scheduler.Peer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.live, func(p scheduler.Peer) bool { return p.Router == name })
	if i < 0 {
		return scheduler.Peer{}, false
	}
	return n.live[i], true
}

func (n *node) openedFrom(name state.Router) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opened[name]
}

func (n *node) receivedFrom(name state.Router) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages[name]
}

func (n *node) route(to state.Router) *session {
	n.Mesh.mu.RLock()
	defer n.Mesh.mu.RUnlock()
	return n.routes[to]
}

// busy reports sessions without a verdict; a dial counts from its connection.
func (n *node) busy() bool {
	n.Mesh.mu.RLock()
	defer n.Mesh.mu.RUnlock()
	return len(n.sessions) != len(n.routes)
}

// fleet runs routers on loopback with links that fail.
type fleet struct {
	t     testing.TB
	clock *manualClock
	nodes []*node
	links links
	tweak func(*Options)
	// direct connects without links, for measurements.
	direct bool
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, clock: &manualClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}}
	f.links.state = make(map[pair]linkState)
	t.Cleanup(func() {
		f.links.setAll(linkCut)
		for _, n := range f.nodes {
			n.cancel()
		}
		for _, n := range f.nodes {
			<-n.ended
		}
	})
	return f
}

func (f *fleet) start(name string, incarnation uint64, seeds ...string) *node {
	n := &node{name: state.Router(name), opened: map[state.Router]int{}, messages: map[state.Router]int{}, ended: make(chan struct{})}
	opts := Options{
		Self:   Self{Peer: Peer{Router: n.name, DataCentre: "sala-laredo", Incarnation: state.Incarnation(incarnation)}, Fleet: "cantabria"},
		Listen: "127.0.0.1:0",
		Seeds:  seeds,
		Handler: func(from Peer, _ *peerpb.Envelope) {
			n.hold.RLock()
			defer n.hold.RUnlock()
			n.mu.Lock()
			defer n.mu.Unlock()
			n.messages[from.Router]++
		},
		OnPeers: func(peers []scheduler.Peer) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.live = peers
		},
		OnSession: func(p Peer) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.opened[p.Router]++
		},
		Log:   zerolog.Nop(),
		Clock: f.clock,
	}
	if f.tweak != nil {
		f.tweak(&opts)
	}
	mesh, err := New(opts)
	require.NoError(f.t, err)
	n.Mesh = mesh
	mesh.flushLimit = time.Hour
	if !f.direct {
		f.forward(n)
	}
	f.links.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.links.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.ended)
		_ = mesh.Run(ctx)
	}()
	f.wait(func() bool { return f.clock.tickers() == len(f.nodes) })
	return n
}

// forward puts links between the router and those that it dials.
func (f *fleet) forward(n *node) {
	n.connectTo = func(ctx context.Context, address string) (net.Conn, error) {
		return f.links.dial(ctx, n.name, f.nameOf(address), address)
	}
}

// stop ends a router as a planned stop does.
func (f *fleet) stop(n *node) {
	n.cancel()
	<-n.ended
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	f.nodes = slices.DeleteFunc(f.nodes, func(other *node) bool { return other == n })
}

func (f *fleet) nameOf(address string) state.Router {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	for _, n := range f.nodes {
		if n.Addr() == address {
			return n.name
		}
	}
	return ""
}

// until moves the clock tick by tick until the condition holds. Time only moves
// once every heartbeat that can arrive has arrived, so that a slow machine
// makes nobody silent; the limit is that of the test run alone.
func (f *fleet) until(condition func() bool) {
	f.t.Helper()
	for {
		f.wait(func() bool { return condition() || f.settled() })
		if condition() {
			return
		}
		f.tick(membership.TickInterval)
	}
}

func (f *fleet) wait(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// tick moves the clock once and returns when all routers have begun to act on
// it.
func (f *fleet) tick(d time.Duration) {
	f.clock.mu.Lock()
	f.clock.now = f.clock.now.Add(d)
	now, ticks := f.clock.now, slices.Clone(f.clock.ticks)
	f.clock.mu.Unlock()
	for _, ch := range ticks {
		ch <- now
	}
}

func (f *fleet) settled() bool {
	for i, a := range f.nodes {
		if a.busy() {
			return false
		}
		for _, b := range f.nodes[i+1:] {
			if f.links.get(a.name, b.name) == linkUp && !inStep(a, b) {
				return false
			}
		}
	}
	return true
}

// inStep holds if neither router has a session with the other, or both have
// and every heartbeat has arrived.
func inStep(a, b *node) bool {
	toB, toA := a.route(b.name), b.route(a.name)
	if toB == nil || toA == nil {
		return toB == toA
	}
	return arrived(toB, toA) && arrived(toA, toB)
}

func arrived(from, to *session) bool {
	from.trip.mu.Lock()
	sent := from.trip.sequence
	from.trip.mu.Unlock()
	to.trip.mu.Lock()
	defer to.trip.mu.Unlock()
	return to.trip.heard == sent
}

type linkState int

const (
	linkUp linkState = iota
	// linkCut resets connections and refuses new ones.
	linkCut
	// linkDead takes bytes and delivers none, as a lost route does.
	linkDead
)

type pair struct{ a, b state.Router }

func pairOf(a, b state.Router) pair { return pair{min(a, b), max(a, b)} }

// links forwards connections between pairs of routers.
type links struct {
	mu    sync.Mutex
	state map[pair]linkState
	all   linkState
	open  []*link
}

// link is one forwarded connection.
type link struct {
	pair pair
	ends [2]net.Conn
	// halves counts the directions that ended in order.
	halves atomic.Int32
}

func (l *links) get(a, b state.Router) linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.all, l.state[pairOf(a, b)])
}

func (l *links) set(a, b state.Router, s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state[pairOf(a, b)] = s
	for _, open := range l.open {
		if open.pair == pairOf(a, b) && s == linkCut {
			open.reset()
		}
	}
}

func (l *links) setAll(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = s
	for _, open := range l.open {
		open.reset()
	}
}

// reset closes both ends without lingering, which also keeps rounds of tests
// from using up the ports of the machine.
func (l *link) reset() {
	for _, end := range l.ends {
		_ = end.(*net.TCPConn).SetLinger(0)
		_ = end.Close()
	}
}

func (l *links) dial(ctx context.Context, from, to state.Router, address string) (net.Conn, error) {
	if l.get(from, to) != linkUp {
		return nil, fmt.Errorf("link %s-%s is down", from, to)
	}
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	near, middle, err := loopback(ctx)
	if err != nil {
		_ = far.Close()
		return nil, err
	}
	open := &link{pair: pairOf(from, to), ends: [2]net.Conn{middle, far}}
	l.mu.Lock()
	l.open = append(l.open, open)
	l.mu.Unlock()
	go l.pump(open, middle, far)
	go l.pump(open, far, middle)
	return near, nil
}

// loopback returns both ends of a TCP connection.
func loopback(ctx context.Context) (near, far net.Conn, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = listener.Close() }()
	near, err = (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	far, err = listener.Accept()
	if err != nil {
		_ = near.Close()
		return nil, nil, err
	}
	return near, far, nil
}

// pump swallows what it reads while the link is dead, as a router that drops
// packets does; a connection that lost bytes stays dead.
func (l *links) pump(open *link, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		lost = lost || l.get(open.pair.a, open.pair.b) == linkDead
		if err != nil && lost {
			return
		}
		if errors.Is(err, io.EOF) && open.halves.Add(1) == 1 {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			open.reset()
			return
		}
		if lost {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			open.reset()
			return
		}
	}
}
