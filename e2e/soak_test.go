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
	// soakCallers is the number of callers that send requests, one after the
	// other, to random routers.
	soakCallers = 12
	// soakKeptConnections is the number of callers per router that keep their
	// connection open between requests.
	soakKeptConnections = 2
	// soakPause is the maximum time between two requests of one caller.
	soakPause = 10 * time.Millisecond
	// soakPageTime is how long an engine takes for a plain answer. It is long
	// enough for some plain requests to be in progress at any time.
	soakPageTime = 50 * time.Millisecond
	// soakEvents is the number of events of a stream.
	soakEvents = 6
	// soakSteps is the number of faults in a short run; FIGSTILE_SOAK_STEPS
	// overrides it.
	soakSteps = 12
	// soakTimeout limits the time of one request; the caller sends it as the
	// deadline.
	soakTimeout = 8 * time.Second
)

// soakKinds are the routes that requests are sent to.
var soakKinds = []string{"pages", "guides"}

// regressionSeeds are seeds that have failed in the past. Each one stands on a
// line of its own with a comment on the cause of the failure.
var regressionSeeds = []uint64{}

// TestSoak runs real routers under a random series of faults and then checks the
// records of callers and engines with soakLedger.check. It also expects that a planned stop exits with code 0 and that
// every router serves once the faults end. FIGSTILE_SOAK_SEED sets the seed,
// FIGSTILE_SOAK_RUNS the number of additional random seeds.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t, "FIGSTILE_SOAK", append([]uint64{1}, regressionSeeds...)...) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soakSeeds returns the seeds of a soak: the usual ones, or the one that the
// variable PREFIX_SEED sets, and as many random ones as PREFIX_RUNS says.
func soakSeeds(t *testing.T, prefix string, usual ...uint64) []uint64 {
	t.Helper()
	seeds := usual
	if text := os.Getenv(prefix + "_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = []uint64{seed}
	}
	runs, _ := strconv.Atoi(os.Getenv(prefix + "_RUNS"))
	for range runs {
		seeds = append(seeds, rand.Uint64N(1e9))
	}
	return seeds
}

// soak is the state of one run of TestSoak with one seed.
type soak struct {
	t           *testing.T
	rng         *rand.Rand
	store       *objectStore
	engineLinks []*faultyLink
	storeLinks  []*faultyLink
	routers     []*edgeRouter
	ledger      *soakLedger
	version     int

	mu        sync.Mutex
	instances map[*edgeRouter]*soakInstance
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, 3)), store: startObjectStore(t), ledger: newSoakLedger(), version: 1, instances: make(map[*edgeRouter]*soakInstance)}
	s.store.put(edge.KindConfig, "main", edgeConfig(s.version, "k1"))
	for i := range soakEngines {
		s.addEngine(fmt.Sprintf("i-%d", i))
	}
	var seeds []string
	for i := range soakRouters {
		link := startLink(t, s.store.address())
		s.storeLinks = append(s.storeLinks, link)
		r := startEdgeRouterAt(t, link.address(), i, seeds...)
		s.routers = append(s.routers, r)
		s.setInstance(r, &soakInstance{process: r.process})
		seeds = append(seeds, r.peerAddress)
	}
	for _, r := range s.routers {
		r.awaitReady(t)
	}
	return s
}

// addEngine starts an engine and a link to it.
func (s *soak) addEngine(id string) {
	server := httptest.NewServer(s.ledger.engine(id))
	s.t.Cleanup(server.Close)
	link := startLink(s.t, server.Listener.Addr().String())
	s.engineLinks = append(s.engineLinks, link)
	s.store.put(edge.KindUpstream, id, map[string]any{
		"Service": "engines", "Address": link.address(), "Zone": "z1", "BatchSlots": 8, "State": "ready", "born": 1,
	})
}

func (s *soak) run() {
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.runCaller(ctx, i) })
	}
	for i := range soakKeptConnections * soakRouters {
		callers.Go(func() { s.sendOnKeptConnections(ctx, s.routers[i%soakRouters], uint64(i)) })
	}
	steps := soakSteps
	if n, err := strconv.Atoi(os.Getenv("FIGSTILE_SOAK_STEPS")); err == nil {
		steps = n
	}
	for range steps {
		s.runFault()
	}
	s.heal()
	stop()
	callers.Wait()
	s.ledger.check(s.t)
}

// runFault starts a fault and keeps it for a while. It then ends two of three
// faults on average and leaves the others to overlap with the next one.
func (s *soak) runFault() {
	undo := s.startFault()
	time.Sleep(time.Duration(100+s.rng.IntN(500)) * time.Millisecond)
	if s.rng.IntN(3) > 0 {
		undo()
	}
}

// startFault starts a random fault and returns a function that ends it. The
// function does nothing for faults that end by themselves, such as a reset.
func (s *soak) startFault() (undo func()) {
	link := s.engineLinks[s.rng.IntN(len(s.engineLinks))]
	store := s.storeLinks[s.rng.IntN(len(s.storeLinks))]
	index := s.rng.IntN(len(s.routers))
	router, nextRouter := s.routers[index], s.routers[(index+1)%len(s.routers)]
	kind := s.rng.IntN(13)
	s.t.Logf("fault %d at %s", kind, router.name)
	switch kind {
	case 0:
		s.markDisrupted(router)
		router.freeze()
		return router.thaw
	case 1:
		s.markDisrupted(router)
		router.kill()
		s.launch(router)
	case 2:
		s.replace(router)
	case 3:
		link.setFault(linkFault(1 + s.rng.IntN(3)))
		return func() { link.setFault(linkGood) }
	case 4:
		link.reset()
	case 5:
		store.setFault(linkFault(1 + s.rng.IntN(3)))
		return func() { store.setFault(linkGood) }
	case 6:
		store.reset()
	case 7:
		s.store.SetUnavailable(true)
		return func() { s.store.SetUnavailable(false) }
	case 8:
		s.version++
		s.store.put(edge.KindConfig, "main", edgeConfig(s.version, "k1", fmt.Sprintf("k%d", s.version)))
	case 9:
		s.replace(router, nextRouter)
	case 10:
		s.replace(router)
		s.replace(nextRouter)
	case 11:
		s.replace(router)
		await(s.t, func() bool { return acceptsConnections(router.callerAddress) })
		s.replace(router)
	case 12:
		s.beginStop(router)
		s.randomPause()
		s.hangup(router)
		s.randomPause()
		router.terminate()
		s.endStop(router)
	}
	return func() {}
}

// randomPause waits for up to two seconds, so that the next action meets a
// planned stop at a random point.
func (s *soak) randomPause() { time.Sleep(time.Duration(s.rng.IntN(2000)) * time.Millisecond) }

// replace stops routers at the same time as planned and starts them again.
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
	require.NoError(s.t, router.err, "a planned stop must exit with code 0")
	s.launch(router)
}

// hangup makes a router reload its settings.
func (s *soak) hangup(router *edgeRouter) { _ = router.cmd.Process.Signal(syscall.SIGHUP) }

// heal ends all faults and waits until every router serves.
func (s *soak) heal() {
	s.store.SetUnavailable(false)
	for _, link := range append(s.engineLinks, s.storeLinks...) {
		link.setFault(linkGood)
	}
	for _, r := range s.routers {
		r.thaw()
		r.awaitReady(s.t)
		await(s.t, func() bool { return s.send(r, "pages", s.ledger.id(), time.Second) == http.StatusOK })
	}
}

// runCaller sends requests until the context ends.
func (s *soak) runCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(uint64(caller), 5))
	for ctx.Err() == nil {
		kind := soakKinds[rng.IntN(2)]
		s.send(s.routers[rng.IntN(len(s.routers))], kind, s.ledger.id(), soakTimeout)
		time.Sleep(soakPause)
	}
}

// send sends a request, records the answer and returns its status, or 0 if
// there was no answer.
func (s *soak) send(r *edgeRouter, kind, id string, timeout time.Duration) int {
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
	s.ledger.recordAnswer(id, kind, response.StatusCode, string(body), err == nil)
	return response.StatusCode
}

func soakRequest(ctx context.Context, r *edgeRouter, kind, id string, timeout time.Duration) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callerAddress+"/"+kind+"/"+id, strings.NewReader(id))
	if err != nil {
		return nil, err
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	return request, nil
}

// soakLedger records which requests ran and which answers callers received.
type soakLedger struct {
	mu     sync.Mutex
	lastID int
	runs   map[string]int
	// atMostOnce holds the requests that must not run more than once.
	atMostOnce   map[string]bool
	notRun       map[string]bool
	violations   []string
	unanswered   []unansweredRequest
	wholeAnswers int
}

func newSoakLedger() *soakLedger {
	return &soakLedger{runs: make(map[string]int), atMostOnce: make(map[string]bool), notRun: make(map[string]bool)}
}

func (l *soakLedger) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("q%d", l.lastID)
}

// engine returns the handler of an engine that runs requests. A plain answer
// contains the request's body, and a stream continues after the event that the
// request names.
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
		l.atMostOnce[attempt] = strings.HasPrefix(r.URL.Path, "/pages/")
		l.mu.Unlock()
		w.Header().Set("Server-Signature", "sig-"+id)
		if strings.HasPrefix(r.URL.Path, "/pages/") {
			time.Sleep(soakPageTime)
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

// recordAnswer checks one answer and records the result.
func (l *soakLedger) recordAnswer(id, kind string, status int, body string, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		l.notRun[id] = true
	case status != http.StatusOK || !complete:
	case kind == "pages" && body != "page of "+id:
		l.violations = append(l.violations, fmt.Sprintf("%s got %q", id, body))
	case kind == "guides" && !isWholeStream(body, id):
		l.violations = append(l.violations, fmt.Sprintf("%s got the stream %q", id, body))
	default:
		l.wholeAnswers++
	}
}

// isWholeStream reports whether a stream contains each event of its request
// exactly once.
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

// check checks the records: every request that must not be repeated ran at most
// once, no request ran that was reported as not run, complete answers belong to
// their requests and contain each event once, and no request that a router read
// on an open connection stayed without an answer because of a planned stop.
func (l *soakLedger) check(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Empty(t, l.violations)
	require.Positive(t, l.wholeAnswers)
	for id := range l.notRun {
		require.Zero(t, l.runs[id], "%s ran although its caller was told that it did not", id)
	}
	for id, n := range l.runs {
		require.False(t, l.atMostOnce[id] && n > 1, "%s must run at most once, but ran %d times", id, n)
	}
	unread := 0
	for _, request := range l.unanswered {
		if !request.instance.disrupted {
			unread++
		}
		require.False(t, l.isRouterFault(request), "%s was read by a router that was only stopped as planned, but got no answer", request.id)
	}
	t.Logf("%d requests, %d complete answers, %d reported as not run, %d without an answer, %d of them not read by a router that was only stopped as planned", l.lastID, l.wholeAnswers, len(l.notRun), len(l.unanswered), unread)
}
