package edge

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

// timedFleet runs routers with all their periodic tasks on the clock of a bubble
// of testing/synctest. Each holds a session with every other.
type timedFleet struct {
	store   *timedStore
	routers map[state.Router]*timedRouter
	order   []state.Router
	running sync.WaitGroup
}

// timedRouter is one router of a timedFleet. It implements sender.
type timedRouter struct {
	others  *timedFleet
	fixture *fixture
	fleet   *fleet
	inbox   chan timedMessage
}

// timedMessage is a message on its way.
type timedMessage struct {
	from   scheduler.Peer
	env    *peerpb.Envelope
	sentAt time.Time
	timed  bool
}

var _ sender = (*timedRouter)(nil)

// startTimedFleet starts routers that are named in the order of their data
// centres. The first routers of three data centres are the seeds.
func startTimedFleet(t *testing.T, leaveLimit time.Duration, routers, dataCentres int) *timedFleet {
	t.Helper()
	f := &timedFleet{store: newTimedStore(), routers: make(map[state.Router]*timedRouter)}
	f.store.put(KindConfig, configObject(0, 1))
	f.store.put(KindUpstream, upstreamObject("leaving", 0, false))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
	})
	var peers []scheduler.Peer
	perDataCentre := routers / dataCentres
	for i := range routers {
		self := scheduler.Peer{Router: state.Router(fmt.Sprintf("r%02d", i)), DataCentre: state.DataCentre(fmt.Sprint(i / perDataCentre)), Incarnation: 1}
		peers, f.order = append(peers, self), append(f.order, self.Router)
		f.add(self, leaveLimit, i%perDataCentre == 0 && i/perDataCentre < seedCount)
	}
	for _, one := range f.routers {
		one.fleet.onPeers(peers)
		for _, p := range peers {
			if p.Router != one.fleet.self.Router {
				one.fleet.onSession(peer.Session{Peer: peer.Peer{Router: p.Router, DataCentre: p.DataCentre, Incarnation: p.Incarnation}, Address: string(p.Router) + ":1"})
			}
		}
	}
	for _, one := range f.routers {
		one.run(ctx)
	}
	return f
}

func (f *timedFleet) add(self scheduler.Peer, leaveLimit time.Duration, seed bool) {
	one := &timedRouter{others: f, fixture: &fixture{}, inbox: make(chan timedMessage, 10000)}
	platform := &timedPlatform{fakePlatform: &fakePlatform{}, store: f.store, router: self.Router}
	one.fixture.dispatcher = newDispatcher(Settings{Router: self.Router, DataCentre: self.DataCentre, LeaveLimit: leaveLimit, ConfigLimit: leaveLimit}, time.Now)
	one.fixture.catalogue = newCatalogue(platform, one.fixture.dispatcher, zerolog.Nop(), time.Now)
	one.fleet = newFleet(self, one.fixture.dispatcher, one.fixture.catalogue, zerolog.Nop(), time.Now)
	one.fleet.mesh = one
	if !seed {
		one.fleet.storeReadDelay = startStoreReadDelay
	}
	one.fleet.join(membership.Member{Router: self.Router, DataCentre: self.DataCentre, Incarnation: self.Incarnation, Address: string(self.Router) + ":1"})
	f.routers[self.Router] = one
}

// run starts the router's tasks.
func (o *timedRouter) run(ctx context.Context) {
	o.others.running.Go(func() { o.fleet.run(ctx) })
	o.others.running.Go(func() { o.receive(ctx) })
	for _, follower := range newFollowers(o.fixture.dispatcher.settings, o.fixture.catalogue.platform, o.fleet, time.Now) {
		o.others.running.Go(func() { follower.run(ctx) })
	}
}

// knowsLeaving reports whether an upstream is known to leave.
func (o *timedRouter) knowsLeaving(id state.Upstream) bool {
	o.fixture.catalogue.mu.Lock()
	defer o.fixture.catalogue.mu.Unlock()
	entry, _ := o.fixture.catalogue.directory.Entry(id)
	return entry.Upstream.Leaving
}

func (o *timedRouter) receive(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.inbox:
			time.Sleep(time.Until(m.sentAt.Add(messageDelay)))
			var sentAfter time.Time
			if m.timed {
				sentAfter = m.sentAt
			}
			o.fleet.onMessage(peer.Peer{Router: m.from.Router, DataCentre: m.from.DataCentre, Incarnation: m.from.Incarnation}, m.env, sentAfter)
		}
	}
}

// readers returns the routers that claim to read the store.
func (f *timedFleet) readers() []state.Router {
	return slices.DeleteFunc(slices.Clone(f.order), func(router state.Router) bool { return !f.routers[router].fleet.mayClaimReading() })
}

// readersAndNext returns the routers that read the store and those that start to
// read it as soon as there are too few readers.
func (f *timedFleet) readersAndNext() []state.Router {
	var routers []state.Router
	for _, router := range f.order {
		fleet := f.routers[router].fleet
		fleet.mu.Lock()
		if fleet.readingStore || fleet.isEagerReader(false) {
			routers = append(routers, router)
		}
		fleet.mu.Unlock()
	}
	return routers
}

func (o *timedRouter) send(to state.Router, env *peerpb.Envelope, timed bool) bool {
	o.others.routers[to].inbox <- timedMessage{from: o.fleet.self, env: env, sentAt: time.Now(), timed: timed}
	return true
}

// Send implements sender.
func (o *timedRouter) Send(to state.Router, env *peerpb.Envelope) bool { return o.send(to, env, false) }

// SendTimed implements sender.
func (o *timedRouter) SendTimed(to state.Router, env *peerpb.Envelope) bool {
	return o.send(to, env, true)
}

// SendEach implements sender.
func (o *timedRouter) SendEach(to []state.Router, env *peerpb.Envelope) {
	for _, router := range to {
		o.Send(router, env)
	}
}

// SelectPeers implements sender.
func (*timedRouter) SelectPeers(membership.SelectionChanged) {}

// DropSession implements sender.
func (*timedRouter) DropSession(state.Router) {}

// timedStore is a store that answers after storeLatency, except routers that are
// cut off.
type timedStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[Kind][]Object
	// changed is closed and replaced at each change.
	changed chan struct{}
	cut     map[state.Router]bool
}

const storeLatency = 4 * time.Millisecond

func newTimedStore() *timedStore {
	return &timedStore{objects: make(map[Kind][]Object), changed: make(chan struct{}), cut: make(map[state.Router]bool)}
}

// put writes an object with the next revision.
func (s *timedStore) put(kind Kind, o Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o.Revision = s.revision
	s.objects[kind] = append(slices.DeleteFunc(s.objects[kind], func(old Object) bool { return old.Name == o.Name }), o)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutOff leaves all calls of routers without an answer from now on, also those
// that wait.
func (s *timedStore) cutOff(routers ...state.Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, router := range routers {
		s.cut[router] = true
	}
}

// since returns the objects of a kind that were written after a revision.
func (s *timedStore) since(kind Kind, after uint64) (objects []Object, at uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.objects[kind] {
		if o.Revision > after {
			objects = append(objects, o)
		}
	}
	return objects, s.revision, s.changed
}

// timedPlatform is one router's path to a timedStore.
type timedPlatform struct {
	*fakePlatform
	store  *timedStore
	router state.Router
}

// List implements ObjectStore.
func (p *timedPlatform) List(ctx context.Context, kind Kind) ([]Object, uint64, error) {
	return p.Watch(ctx, kind, 0, 0)
}

// Watch implements ObjectStore.
func (p *timedPlatform) Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration) ([]Object, uint64, error) {
	time.Sleep(storeLatency)
	timeout := time.After(wait)
	for waiting := wait > 0; ; {
		objects, at, changed := p.store.since(kind, after)
		if len(objects) > 0 || !waiting {
			return p.answer(ctx, objects, at)
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (p *timedPlatform) answer(ctx context.Context, objects []Object, at uint64) ([]Object, uint64, error) {
	p.store.mu.Lock()
	cut := p.store.cut[p.router]
	p.store.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return objects, at, nil
}
