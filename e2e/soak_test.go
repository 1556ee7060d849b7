package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/transport/edge"
)

const (
	soakRouters = 4
	soakEngines = 3
	// soakCallers send requests one after the other, to any router.
	soakCallers = 12
	// soakKeepers send requests to each router on connections that they keep.
	soakKeepers = 2
	// soakPause is the longest time between two requests of one caller.
	soakPause = 10 * time.Millisecond
	// soakPage is how long an engine takes for a page, so that some are under
	// way at any time.
	soakPage = 50 * time.Millisecond
	// soakEvents is the length of a stream.
	soakEvents = 6
	// soakSteps is the number of faults in a short run; FIGSTILE_SOAK_STEPS
	// gives another.
	soakSteps = 12
	// soakTimeout bounds one request, like its caller's deadline.
	soakTimeout = 8 * time.Second
)

// soakKinds are the routes of the requests.
var soakKinds = []string{"pages", "guides"}

// keptSeeds have failed once; each line names the cause.
var keptSeeds = []uint64{}

// TestSoak runs real routers under a random series of faults from outside, and
// checks from what callers and engines see: what must not be repeated runs at
// most once, "not run" is true, whole answers belong to their requests and have
// each event once, a planned stop ends with code 0, no request that a router read
// on an open connection stays without an answer because of a planned stop, and
// once the faults are over every router serves. FIGSTILE_SOAK_SEED names a seed, FIGSTILE_SOAK_RUNS
// how many more are drawn.
func TestSoak(t *testing.T) {
	seeds := append([]uint64{1}, keptSeeds...)
	if text := os.Getenv("FIGSTILE_SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = []uint64{seed}
	}
	runs, _ := strconv.Atoi(os.Getenv("FIGSTILE_SOAK_RUNS"))
	for range runs {
		seeds = append(seeds, rand.Uint64N(1e9))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

type soak struct {
	t       *testing.T
	draw    *rand.Rand
	store   *objectStore
	links   []*faultyLink
	stores  []*faultyLink
	routers []*edgeRouter
	ledger  *soakLedger
	version int

	mu    sync.Mutex
	lives map[*edgeRouter]*soakLife
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, draw: rand.New(rand.NewPCG(seed, 3)), store: startObjectStore(t), ledger: newSoakLedger(), version: 1, lives: make(map[*edgeRouter]*soakLife)}
	s.store.put(edge.KindConfig, "main", edgeConfig(s.version, "k1"))
	for i := range soakEngines {
		s.addEngine(fmt.Sprintf("i-%d", i))
	}
	var seeds []string
	for i := range soakRouters {
		link := startLink(t, s.store.address())
		s.stores = append(s.stores, link)
		r := startEdgeRouterAt(t, link.address(), i, seeds...)
		s.routers = append(s.routers, r)
		s.setLife(r, &soakLife{process: r.process})
		seeds = append(seeds, r.peers)
	}
	for _, r := range s.routers {
		r.awaitReady(t)
	}
	return s
}

// addEngine starts an engine behind a link of its own.
func (s *soak) addEngine(id string) {
	server := httptest.NewServer(s.ledger.engine(id))
	s.t.Cleanup(server.Close)
	link := startLink(s.t, server.Listener.Addr().String())
	s.links = append(s.links, link)
	s.store.put(edge.KindUpstream, id, map[string]any{
		"Service": "engines", "Address": link.address(), "Zone": "z1", "BatchSlots": 8, "State": "ready", "born": 1,
	})
}

func (s *soak) run() {
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.call(ctx, i) })
	}
	for i := range soakKeepers * soakRouters {
		callers.Go(func() { s.keep(ctx, s.routers[i%soakRouters], uint64(i)) })
	}
	steps := soakSteps
	if n, err := strconv.Atoi(os.Getenv("FIGSTILE_SOAK_STEPS")); err == nil {
		steps = n
	}
	for range steps {
		s.step()
	}
	s.heal()
	stop()
	callers.Wait()
	s.ledger.check(s.t)
}

// step lets one fault begin, hold for a while and, mostly, end. Every third one
// is left to overlap with the next.
func (s *soak) step() {
	undo := s.fault()
	time.Sleep(time.Duration(100+s.draw.IntN(500)) * time.Millisecond)
	if s.draw.IntN(3) > 0 {
		undo()
	}
}

func (s *soak) fault() (undo func()) {
	link := s.links[s.draw.IntN(len(s.links))]
	store := s.stores[s.draw.IntN(len(s.stores))]
	first := s.draw.IntN(len(s.routers))
	router, other := s.routers[first], s.routers[(first+1)%len(s.routers)]
	kind := s.draw.IntN(13)
	s.t.Logf("fault %d at %s", kind, router.name)
	switch kind {
	case 0:
		s.spoil(router)
		router.freeze()
		return router.thaw
	case 1:
		s.spoil(router)
		router.kill()
		s.launch(router)
	case 2:
		s.replace(router)
	case 3:
		link.set(linkFault(1 + s.draw.IntN(3)))
		return func() { link.set(linkGood) }
	case 4:
		link.reset()
	case 5:
		store.set(linkFault(1 + s.draw.IntN(3)))
		return func() { store.set(linkGood) }
	case 6:
		store.reset()
	case 7:
		s.store.SetAway(true)
		return func() { s.store.SetAway(false) }
	case 8:
		s.version++
		s.store.put(edge.KindConfig, "main", edgeConfig(s.version, "k1", fmt.Sprintf("k%d", s.version)))
	case 9:
		s.replace(router, other)
	case 10:
		s.replace(router)
		s.replace(other)
	case 11:
		s.replace(router)
		await(s.t, func() bool { return takesConnections(router.callers) })
		s.replace(router)
	case 12:
		s.beginStop(router)
		s.pause()
		s.hangup(router)
		s.pause()
		router.terminate()
		s.endStop(router)
	}
	return func() {}
}

// pause lets a part of a stop pass.
func (s *soak) pause() { time.Sleep(time.Duration(s.draw.IntN(2000)) * time.Millisecond) }

// replace stops routers at once as planned and starts them again.
func (s *soak) replace(routers ...*edgeRouter) {
	for _, r := range routers {
		s.beginStop(r)
	}
	for _, r := range routers {
		s.endStop(r)
	}
}

func (s *soak) beginStop(router *edgeRouter) {
	router.thaw()
	router.terminate()
}

func (s *soak) endStop(router *edgeRouter) {
	<-router.done
	require.NoError(s.t, router.err, "a planned stop ends with code 0")
	s.launch(router)
}

func (s *soak) hangup(router *edgeRouter) { _ = router.cmd.Process.Signal(syscall.SIGHUP) }

// heal ends all faults and waits until every router serves.
func (s *soak) heal() {
	s.store.SetAway(false)
	for _, link := range append(s.links, s.stores...) {
		link.set(linkGood)
	}
	for _, r := range s.routers {
		r.thaw()
		r.awaitReady(s.t)
		await(s.t, func() bool { return s.one(r, "pages", s.ledger.id(), time.Second) == http.StatusOK })
	}
}

// call sends requests until the context ends.
func (s *soak) call(ctx context.Context, caller int) {
	draw := rand.New(rand.NewPCG(uint64(caller), 5))
	for ctx.Err() == nil {
		kind := soakKinds[draw.IntN(2)]
		s.one(s.routers[draw.IntN(len(s.routers))], kind, s.ledger.id(), soakTimeout)
		time.Sleep(soakPause)
	}
}

// one sends a request, records what its caller saw and returns the status, 0
// without an answer.
func (s *soak) one(r *edgeRouter, kind, id string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := soakRequest(ctx, r, kind, id, timeout)
	if err != nil {
		return 0
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.ledger.saw(id, kind, response.StatusCode, string(body), err == nil)
	return response.StatusCode
}

func soakRequest(ctx context.Context, r *edgeRouter, kind, id string, timeout time.Duration) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers+"/"+kind+"/"+id, strings.NewReader(id))
	if err != nil {
		return nil, err
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	return request, nil
}

// soakLedger knows what ran and what callers were told.
type soakLedger struct {
	mu   sync.Mutex
	next int
	runs map[string]int
	// once are the requests that must run once at most.
	once   map[string]bool
	notRun map[string]bool
	faults []string
	lost   []lost
	whole  int
}

func newSoakLedger() *soakLedger {
	return &soakLedger{runs: make(map[string]int), once: make(map[string]bool), notRun: make(map[string]bool)}
}

func (l *soakLedger) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("q%d", l.next)
}

// engine runs requests: a page names its request, a stream goes on after the
// event that the request names.
func (l *soakLedger) engine(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", attempt)
		if r.Header.Get("Target-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.runs[attempt]++
		l.once[attempt] = strings.HasPrefix(r.URL.Path, "/pages/")
		l.mu.Unlock()
		w.Header().Set("Server-Signature", "sig-"+id)
		if strings.HasPrefix(r.URL.Path, "/pages/") {
			time.Sleep(soakPage)
			fmt.Fprintf(w, "page of %s", body)
			return
		}
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := after + 1; n <= soakEvents; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, body)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// saw judges one answer.
func (l *soakLedger) saw(id, kind string, status int, body string, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		l.notRun[id] = true
	case status != http.StatusOK || !whole:
	case kind == "pages" && body != "page of "+id:
		l.faults = append(l.faults, fmt.Sprintf("%s got %q", id, body))
	case kind == "guides" && !isWholeStream(body, id):
		l.faults = append(l.faults, fmt.Sprintf("%s got the stream %q", id, body))
	default:
		l.whole++
	}
}

// isWholeStream says whether a stream has each event of its request once.
func isWholeStream(body, id string) bool {
	n := 0
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		switch line := scanner.Text(); {
		case strings.HasPrefix(line, "id: "):
			n++
			if line != fmt.Sprintf("id: %d", n) {
				return false
			}
		case strings.HasPrefix(line, "data: ") && line != "data: "+id:
			return false
		}
	}
	return n == soakEvents
}

// check holds the promises to what ran.
func (l *soakLedger) check(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Empty(t, l.faults)
	require.Positive(t, l.whole)
	for id := range l.notRun {
		require.Zero(t, l.runs[id], "%s was told that it did not run", id)
	}
	for id, n := range l.runs {
		require.False(t, l.once[id] && n > 1, "%s must run once at most and ran %d times", id, n)
	}
	unread := 0
	for _, request := range l.lost {
		if !request.life.spoilt {
			unread++
		}
		require.False(t, l.isRouters(request), "%s was read at a planned stop and got no answer", request.id)
	}
	t.Logf("%d requests, %d whole answers, %d told not run, %d without an answer, of which %d no router had read", l.next, l.whole, len(l.notRun), len(l.lost), unread)
}
