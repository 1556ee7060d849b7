package edge

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/overlay"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/boottime"
	"github.com/figstile/figstile/transport/peer"
)

const (
	// stressRounds is the number of times that each goroutine repeats its calls.
	stressRounds = 2000
	// stressLimit is far longer than a run takes and tells a hang from it.
	stressLimit = 2 * time.Minute
)

// Entries of crashed upstreams are removed while claims to read the store
// expire, sessions change and requests are lost. Two parts that took each
// other's locks in opposite orders hung the router for good.
func TestConcurrentPartsDoNotDeadlock(t *testing.T) {
	for _, peers := range []int{9, 24} {
		t.Run(fmt.Sprint(peers, " peers"), func(t *testing.T) {
			s := newStress(t, peers)
			var running sync.WaitGroup
			for _, repeat := range []func(round int){
				s.removeUpstreams, s.removeUpstreams, s.loseRequests, s.readStore, s.receiveClaims, s.receiveClaims, s.tick, s.changeSessions, s.receiveConfig,
			} {
				running.Go(func() {
					for round := range stressRounds {
						repeat(round)
					}
				})
			}
			done := make(chan struct{})
			go func() {
				running.Wait()
				close(done)
			}()
			select {
			case <-done:
			case <-time.After(stressLimit):
				stacks := make([]byte, 1<<20)
				t.Fatalf("the parts hang:\n%s", stacks[:runtime.Stack(stacks, true)])
			}
		})
	}
}

// An upstream is lost while its requests run. A router that reported them to its
// peers with a lock of the catalogue or the dispatcher held hung for good, as the
// fleet takes its own lock for the report.
func TestLostRequestsAreReportedWithoutLocks(t *testing.T) {
	for name, lose := range map[string]func(f *fixture){
		"removed by the store": func(f *fixture) { f.catalogue.applyObject(KindUpstream, removal("u", 6), sourceStore) },
		"missing from a list":  func(f *fixture) { f.catalogue.replaceUpstreams(nil, 6, sourceStore) },
		"started again":        func(f *fixture) { f.catalogue.applyObject(KindUpstream, restartedUpstream("u", 6), "r01") },
		"expired during an outage": func(f *fixture) {
			f.catalogue.markStoreUnavailable(errStoreSilent)
			f.catalogue.markStoreAvailable()
			f.catalogue.applyObject(KindUpstream, removal("u", 6), sourceStore)
			f.clock.advance(storeReturnGrace)
			f.catalogue.confirmDueRemovals()
		},
		"connection refused": func(f *fixture) { f.dispatcher.End(f.placeAt("u"), placement.Unconnected) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.catalogue.applyObject(KindUpstream, upstreamObject("u", 5, false), sourceStore)
			f.dispatcher.ReportLost(state.Fingerprint(1), f.placeAt("u"))
			reported := 0
			f.dispatcher.onLostRequest = func(lostRequest) {
				reported++
				for _, mu := range []*sync.Mutex{&f.catalogue.decodeMu, &f.catalogue.mu, &f.dispatcher.mu} {
					require.True(t, mu.TryLock())
					mu.Unlock()
				}
			}
			lose(f)
			require.Equal(t, 1, reported)
		})
	}
}

// placeAt places a request at an upstream.
func (f *fixture) placeAt(id state.Upstream) *placement.Ticket {
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	return f.dispatcher.loadView.Place(f.clock.now(), placement.Work{Service: "s"}, placement.Estimate{Upstream: id})
}

// restartedUpstream returns the entry of an upstream that began to run at another
// time than that of upstreamObject.
func restartedUpstream(name string, revision uint64) Object {
	spec := `{"Service":"s","Address":"10.0.0.1:80","DataCentre":"dc","Slots":2,"Born":7}`
	return Object{Name: name, Revision: revision, Spec: []byte(spec)}
}

// stress is one router with its real parts and peers that do not exist.
type stress struct {
	dispatcher *dispatcher
	catalogue  *catalogue
	fleet      *fleet
	peers      []state.Router
}

func newStress(t *testing.T, peers int) *stress {
	t.Helper()
	s := &stress{dispatcher: newDispatcher(Settings{DataCentre: "dc"}, boottime.Now)}
	s.catalogue = newCatalogue(&fakePlatform{}, s.dispatcher, zerolog.Nop(), boottime.Now)
	s.fleet = newFleet(scheduler.Peer{Router: "r99", DataCentre: "dc"}, s.dispatcher, s.catalogue, zerolog.Nop(), boottime.Now)
	s.fleet.mesh, s.fleet.watchPeriods = discardSender{}, testWatchPeriods
	for i := range peers {
		s.peers = append(s.peers, state.Router(fmt.Sprintf("r%02d", i)))
	}
	for _, router := range s.peers {
		s.open(router)
	}
	s.fleet.onPeers(peersNamed(peers))
	require.Equal(t, peers >= overlay.MaxFullMeshRouters, s.fleet.overlay.TreeMode())
	return s
}

func (s *stress) open(router state.Router) {
	s.fleet.onSession(peer.Session{Peer: peer.Peer{Router: router, DataCentre: "dc", Incarnation: 1}, Address: string(router) + ":1"})
	if len(s.peers) >= overlay.MaxFullMeshRouters {
		s.fleet.onMembers(router, &peerpb.Members{Kind: peerpb.MembersKind_MEMBERS_ATTACH, Tree: true})
	}
}

func (s *stress) removeUpstreams(round int) {
	id, revision := state.Upstream(fmt.Sprint("u", round%7)), uint64(2*round+1)
	s.catalogue.applyObject(KindUpstream, upstreamObject(string(id), revision, false), sourceStore)
	s.dispatcher.mu.Lock()
	s.dispatcher.suspicions.Add(state.Fingerprint(round+1), id, quarantine.Loss{StartedAt: boottime.Now(), LostAt: boottime.Now()})
	s.dispatcher.lostRuns[id] = quarantine.Run{Upstream: id, Boot: fmt.Sprint(round)}
	s.dispatcher.mu.Unlock()
	s.catalogue.applyObject(KindUpstream, removal(string(id), revision+1), sourceStore)
	s.catalogue.confirmDueRemovals()
}

func (s *stress) loseRequests(round int) {
	id := state.Upstream(fmt.Sprint("u", round%7))
	s.dispatcher.mu.Lock()
	ticket := s.dispatcher.loadView.Place(boottime.Now(), placement.Work{Service: "s"}, placement.Estimate{Upstream: id})
	s.dispatcher.mu.Unlock()
	s.dispatcher.ReportLost(state.Fingerprint(round+1), ticket)
	s.dispatcher.End(ticket, placement.Unconnected)
}

func (s *stress) readStore(int) {
	s.fleet.shouldReadStore()
	s.fleet.retryDelay(minRetryDelay)
	s.fleet.storeAnswers()
	s.catalogue.markStoreUnavailable(errStoreSilent)
	s.catalogue.markStoreAvailable()
}

func (s *stress) receiveClaims(round int) {
	var sentAfter time.Time
	if round%2 == 0 {
		sentAfter = boottime.Now().Add(-claimExpiry * time.Duration(round%3))
	}
	env := claim(uint64(round), 0)
	env.GetReading().Router = string(s.peers[round%len(s.peers)])
	s.fleet.onMessage(peer.Peer{Router: s.peers[0]}, env, sentAfter)
}

func (s *stress) tick(int) {
	s.fleet.publishConfirmedRemovals()
	s.fleet.checkStalled()
	s.fleet.tickOverlay()
	s.fleet.fetchCatalogue()
	s.fleet.fetchAnnouncedConfig()
	s.fleet.reportLaggingConfig()
	s.fleet.publishDue(&publishTimes{})
}

func (s *stress) changeSessions(round int) {
	router := s.peers[round%len(s.peers)]
	s.fleet.onSessionEnd(peer.Peer{Router: router})
	s.open(router)
}

func (s *stress) receiveConfig(round int) {
	from := peer.Peer{Router: s.peers[0]}
	s.fleet.onMessage(from, objectEnvelope(KindConfig, configObject(uint64(round/10), uint64(round/10))), time.Time{})
	s.fleet.onMessage(from, &peerpb.Envelope{Body: &peerpb.Envelope_CatalogueRequest{CatalogueRequest: &peerpb.CatalogueRequest{}}}, time.Time{})
}
