package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/transport/edge"
)

const (
	// treeRouters is more than the number up to which each router holds a
	// session with every other one.
	treeRouters = 24
	// treeRounds is the number of rounds of a short run; FIGSTILE_TREE_ROUNDS
	// overrides it.
	treeRounds = 4
	// treeApplyLimit is the time after which a change must be in force.
	treeApplyLimit = 2 * time.Second
	// treeFreeze is how long routers stand still.
	treeFreeze = 2 * time.Second
	// treeSettle is the time after a disruption of a router from which its
	// answers count again.
	treeSettle = 3 * time.Second
	// treeProbeInterval is the pause between two requests to one router.
	treeProbeInterval = 40 * time.Millisecond
)

// A key is added while a third of a large fleet stands still and others move
// their links. A router that was not disrupted refused the key as unknown.
// FIGSTILE_TREE_SEED and FIGSTILE_TREE_RUNS are as in TestSoak.
func TestKeysStayKnownWhileRoutersMove(t *testing.T) {
	for _, seed := range soakSeeds(t, "FIGSTILE_TREE", 2) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { newTreeSoak(t, seed).run() })
	}
}

// treeSoak is the state of one run with one seed.
type treeSoak struct {
	t       *testing.T
	rng     *rand.Rand
	store   *objectStore
	links   []*faultyLink
	routers []*edgeRouter
	version int

	mu sync.Mutex
	// disruptedUntil is the time until which the answers of a router do not
	// count.
	disruptedUntil map[*edgeRouter]time.Time
	probes         map[int]int
	violations     []string
}

func newTreeSoak(t *testing.T, seed uint64) *treeSoak {
	s := &treeSoak{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), store: startObjectStore(t), version: 1,
		disruptedUntil: make(map[*edgeRouter]time.Time), probes: make(map[int]int),
	}
	s.store.put(edge.KindConfig, "main", edgeConfig(s.version, "k1"))
	startEdgeEngine(t, s.store, "i-1")
	var seeds []string
	for i := range treeRouters {
		link := startLink(t, s.store.address())
		r := startEdgeRouterAt(t, link.address(), i, seeds...)
		s.links, s.routers = append(s.links, link), append(s.routers, r)
		if len(seeds) < 3 {
			seeds = append(seeds, r.peerAddress)
		}
	}
	for _, r := range s.routers {
		r.awaitReady(t)
		await(t, func() bool { return r.postStatus(t, "/pages/now", "k1") == http.StatusOK })
	}
	return s
}

func (s *treeSoak) run() {
	rounds := treeRounds
	if n, err := strconv.Atoi(os.Getenv("FIGSTILE_TREE_ROUNDS")); err == nil {
		rounds = n
	}
	for range rounds {
		s.runRound()
	}
	s.t.Logf("answers by status: %v", s.probes)
	require.Empty(s.t, s.violations)
	require.Positive(s.t, s.probes[http.StatusOK])
}

// runRound changes the configuration at a random time around the freeze of a
// third of the routers, beside other disruptions.
func (s *treeSoak) runRound() {
	order := s.rng.Perm(treeRouters)
	frozen, other, cut := order[:treeRouters/3], order[treeRouters/3], order[treeRouters/3+1]
	lead := time.Duration(s.rng.IntN(1200)-300) * time.Millisecond
	var actions sync.WaitGroup
	at := func(d time.Duration, action func()) {
		actions.Go(func() {
			time.Sleep(d)
			action()
		})
	}
	base := 300 * time.Millisecond
	for _, i := range frozen {
		r := s.routers[i]
		s.disrupt(r, base+treeFreeze+treeSettle)
		at(base, r.freeze)
		at(base+treeFreeze, r.thaw)
	}
	if s.rng.IntN(2) == 0 {
		r := s.routers[other]
		s.disrupt(r, base+treeFreeze+treeSettle)
		at(base+time.Second, func() {
			r.kill()
			r.launch(s.t)
		})
	}
	if s.rng.IntN(2) == 0 {
		s.disrupt(s.routers[cut], base+treeFreeze+treeSettle)
		at(base, func() { s.links[cut].setFault(linkFault(1 + s.rng.IntN(3))) })
		at(base+treeFreeze, func() { s.links[cut].setFault(linkGood) })
	}
	at(base+lead, s.addKey)
	actions.Wait()
	s.probe(time.Second)
	for _, r := range s.routers {
		r.awaitReady(s.t)
	}
}

// disrupt records that the answers of a router do not count for a while.
func (s *treeSoak) disrupt(r *edgeRouter, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(d); until.After(s.disruptedUntil[r]) {
		s.disruptedUntil[r] = until
	}
}

// addKey adds a key and probes all routers once it has to be in force.
func (s *treeSoak) addKey() {
	s.version++
	s.store.put(edge.KindConfig, "main", edgeConfig(s.version, "k1", s.key()))
	time.Sleep(treeApplyLimit)
	s.probe(treeFreeze)
}

func (s *treeSoak) key() string { return fmt.Sprintf("k%d", s.version) }

// probe sends requests with the latest key to all routers that are not
// disrupted.
func (s *treeSoak) probe(d time.Duration) {
	var probes sync.WaitGroup
	end := time.Now().Add(d)
	for _, r := range s.routers {
		probes.Go(func() {
			for time.Now().Before(end) {
				s.probeOnce(r)
				time.Sleep(treeProbeInterval)
			}
		})
	}
	probes.Wait()
}

func (s *treeSoak) probeOnce(r *edgeRouter) {
	s.mu.Lock()
	disrupted := time.Now().Before(s.disruptedUntil[r])
	s.mu.Unlock()
	if disrupted {
		return
	}
	status := r.postStatus(s.t, "/pages/now", s.key())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes[status]++
	if status == http.StatusUnauthorized {
		s.violations = append(s.violations, fmt.Sprintf("%s at %s: %s is unknown", time.Now().UTC().Format("15:04:05.000"), r.name, s.key()))
	}
}
