package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

// leaveLimits are the times after which a leaving upstream must get no more
// requests.
var leaveLimits = []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second}

// All routers that read the store, and all that would read it next, lose it
// together. The others must learn of a leaving upstream in time.
func TestLeavingUpstreamIsKnownAfterReadersAreCutOff(t *testing.T) {
	for trial := range 20 {
		for _, limit := range leaveLimits {
			synctest.Test(t, func(t *testing.T) {
				fleet := startTimedFleet(t, limit, 12, 4)
				time.Sleep(5 * time.Second)
				cut := fleet.readersAndNext()
				fleet.cutOffAfterCallsBegan(cut)
				fleet.requireLeavingKnown(t, limit, cut, "trial %d, limit %s", trial, limit)
			})
		}
	}
}

// The readers lose the store, and once others read it, those lose it as well. The
// remaining ones must learn of a leaving upstream in time.
func TestLeavingUpstreamIsKnownAfterReadersAreCutOffTwice(t *testing.T) {
	for trial := range 20 {
		for _, limit := range leaveLimits {
			synctest.Test(t, func(t *testing.T) {
				fleet := startTimedFleet(t, limit, 12, 4)
				time.Sleep(5 * time.Second)
				cut := fleet.readers()
				fleet.store.cutOff(cut...)
				time.Sleep(2 * limit)
				cut = append(cut, fleet.readers()...)
				fleet.cutOffAfterCallsBegan(cut)
				fleet.requireLeavingKnown(t, limit, cut, "trial %d, limit %s", trial, limit)
			})
		}
	}
}

// Any routers lose the store, in some steps, at any moment between changes.
// The remaining ones must learn of a leaving upstream in time.
func TestLeavingUpstreamIsKnownWhicheverRoutersAreCutOff(t *testing.T) {
	for seed := range uint64(90) {
		random, limit := rand.New(rand.NewPCG(seed, 1)), leaveLimits[seed%uint64(len(leaveLimits))]
		synctest.Test(t, func(t *testing.T) {
			dataCentres := 1 + random.IntN(4)
			fleet := startTimedFleet(t, limit, dataCentres*(1+random.IntN(3)), dataCentres)
			time.Sleep(time.Second + time.Duration(random.Int64N(int64(3*time.Second))))
			for version := range uint64(random.IntN(4)) {
				fleet.store.put(KindConfig, configObject(0, 2+version))
				fleet.store.put(KindUpstream, upstreamObject("other", 0, version%2 == 0))
				time.Sleep(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
			}
			cut := slices.Clone(fleet.order)
			random.Shuffle(len(cut), func(i, j int) { cut[i], cut[j] = cut[j], cut[i] })
			cut = cut[:random.IntN(len(cut))]
			if next := fleet.readersAndNext(); random.IntN(2) == 0 && len(next) < len(fleet.order) {
				cut = next
			}
			for rest := cut; len(rest) > 0; {
				step := 1 + random.IntN(len(rest))
				fleet.store.cutOff(rest[:step]...)
				rest = rest[step:]
				time.Sleep(time.Duration(random.Int64N(int64(limit))) * time.Duration(min(len(rest), 1)))
			}
			fleet.store.put(KindUpstream, upstreamObject("leaving", 0, true))
			fleet.requireLeavingKnown(t, limit, cut, "seed %d, limit %s", seed, limit)
		})
	}
}

// cutOffAfterCallsBegan cuts routers off from the store at a moment at which the
// calls of the readers have just begun, and lets an upstream leave.
func (f *timedFleet) cutOffAfterCallsBegan(cut []state.Router) {
	f.store.put(KindConfig, configObject(0, 2))
	time.Sleep(200 * time.Millisecond)
	f.store.put(KindUpstream, upstreamObject("other", 0, false))
	time.Sleep(20 * time.Millisecond)
	f.store.cutOff(cut...)
	time.Sleep(5 * time.Millisecond)
	f.store.put(KindUpstream, upstreamObject("leaving", 0, true))
}

// requireLeavingKnown requires that all routers but those that were cut off know
// early enough that an upstream leaves. A sixth of the limit is left for the
// change to spread in a larger fleet.
func (f *timedFleet) requireLeavingKnown(t *testing.T, limit time.Duration, cut []state.Router, message string, args ...any) {
	t.Helper()
	time.Sleep(limit - limit/6)
	require.Less(t, len(cut), len(f.order))
	for _, router := range f.order {
		if !slices.Contains(cut, router) {
			require.True(t, f.routers[router].knowsLeaving("leaving"), "%s, %s, cut off: %s", fmt.Sprintf(message, args...), router, cut)
		}
	}
}

// A data centre is cut off from the store, and the names of routers begin with
// that of their data centre. If all readers were there, every other router would
// have to start to read the store.
func TestReadersAreInDifferentDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startTimedFleet(t, defaultLeaveLimit, 12, 4)
		time.Sleep(5 * time.Second)
		dataCentres := make(map[state.DataCentre]int)
		for _, router := range fleet.readers() {
			dataCentres[fleet.routers[router].fleet.self.DataCentre]++
		}
		require.Equal(t, map[state.DataCentre]int{"0": 1, "1": 1, "2": 1}, dataCentres)
		fleet.store.cutOff("r00", "r01", "r02")
		time.Sleep(5 * time.Second)
		require.Equal(t, []state.Router{"r03", "r06", "r09"}, fleet.readers(), "the readers that are left, and one that took over")
	})
}

// The store becomes unavailable some time after a change of the configuration. If
// the readers called it in step since then, all routers would take their
// configuration for possibly outdated earlier than necessary, and refuse callers
// for the time being.
func TestReadersDoNotCallInStepAfterAChange(t *testing.T) {
	period := testWatchPeriods[KindConfig]
	for elapsed := 5 * time.Second; elapsed < 5*time.Second+period; elapsed += period / 50 {
		synctest.Test(t, func(t *testing.T) {
			fleet := startTimedFleet(t, defaultLeaveLimit, 6, 3)
			time.Sleep(5 * time.Second)
			fleet.store.put(KindConfig, configObject(0, 2))
			time.Sleep(elapsed)
			age := period
			for _, router := range fleet.readers() {
				age = min(age, time.Since(fleet.routers[router].fleet.ownConfirmation()))
			}
			// The readers' calls are a third of a period apart. Each takes a little
			// longer than its wait.
			require.Less(t, age, period/2, "%s after the change", elapsed)
		})
	}
}

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
