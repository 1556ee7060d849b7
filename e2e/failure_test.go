package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state/result"
	"github.com/stretchr/testify/require"
)

// requestGroup sends requests concurrently and collects their answers.
type requestGroup struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []answer
	errs    []error
}

// send starts a request and does not wait for its answer.
func (g *requestGroup) send(ctx context.Context, r *router, workspace, path, body string, header ...string) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		got, err := tryCall(ctx, r, workspace, path, body, header...)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.answers = append(g.answers, got)
		g.errs = append(g.errs, err)
	}()
}

// answered returns the number of answers so far.
func (g *requestGroup) answered() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.answers)
}

// wait waits for all answers and returns them.
func (g *requestGroup) wait() []answer {
	g.wg.Wait()
	return g.answers
}

// runningCount returns the number of requests that an upstream has started and
// not ended.
func runningCount(t *testing.T, baseURL string) int {
	t.Helper()
	count := 0
	for _, e := range ledger(t, baseURL) {
		if e.Outcome == upstream.Running {
			count++
		}
	}
	return count
}

// runningWithTokens returns the number of running requests for which an
// upstream has generated at least that many tokens.
func runningWithTokens(t *testing.T, baseURL string, tokens int) int {
	t.Helper()
	count := 0
	for _, e := range ledger(t, baseURL) {
		if e.Outcome == upstream.Running && e.Units >= tokens {
			count++
		}
	}
	return count
}

// Routers are stopped while they pass on long answers, as when their VMs are
// replaced: two of different data centres at once, then the last one of a data
// centre. Closing their sockets at once would lose the answers; all of them
// must be complete.
func TestPlannedStopCompletesRequests(t *testing.T) {
	f := startStandardFleet(t)
	var drafts requestGroup
	for i := range 12 {
		drafts.send(t.Context(), f.routerList[i%4], "laredo", draftPath, draftBody(i, 1000))
	}
	eventually(t, "drafts are being written", func() bool {
		return runningCount(t, f.engineURLs[0])+runningCount(t, f.engineURLs[1]) == 8
	})
	// A draft that arrives after the order to stop may be refused.
	eventually(t, "every router has taken its drafts", func() bool {
		taken := drafts.answered()
		for _, r := range f.routerList {
			s := status(t, r)
			taken += s.Waiting + s.Running
		}
		return taken == 12
	})

	f.routerList[0].terminate()
	f.routerList[2].terminate()
	<-f.routerList[0].done
	<-f.routerList[2].done
	f.routerList[1].terminate()
	<-f.routerList[1].done

	for _, got := range drafts.wait() {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	got := call(t, f.routerList[3], "castro", draftPath, draftBody(100, 5))
	require.Equal(t, http.StatusOK, got.status, got.body)
}

// A draining router is still reachable: a load balancer sends requests to it
// until its health check fails. The router must refuse new work at once, with a
// retry time and the statement that nothing ran.
func TestDrainingRouterRefusesAtOnce(t *testing.T) {
	f := startStandardFleet(t)
	var drafts requestGroup
	drafts.send(t.Context(), f.routerList[0], "laredo", draftPath, draftBody(1, 400))
	eventually(t, "the draft is being written", func() bool {
		return runningCount(t, f.engineURLs[0])+runningCount(t, f.engineURLs[1]) == 1
	})
	out, code := f.runCLI(f.routerList[0], operatorToken, "drain")
	require.Zero(t, code, out)
	var got answer
	eventually(t, "new work is refused", func() bool {
		got = call(t, f.routerList[0], "castro", "/kiosco-web/late", `{"busy_ms":1}`)
		return got.code == int(result.Draining)
	})
	require.Equal(t, "no", got.ran)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.NoError(t, drafts.wait()[0].err)
	<-f.routerList[0].done
}

// An engine crashes while it sends answers. Each caller that has part of an
// answer must see a broken connection, so that it doesn't take the part for the
// whole, and must not be told that the request did not run.
func TestUpstreamKilledMidAnswer(t *testing.T) {
	f := startStandardFleet(t)
	var drafts requestGroup
	for i := range 8 {
		drafts.send(t.Context(), f.routerList[i%4], "laredo", draftPath, draftBody(i, 4000))
	}
	eventually(t, "every caller has received part of its answer", func() bool {
		return runningWithTokens(t, f.engineURLs[0], 100) == 4 && runningWithTokens(t, f.engineURLs[1], 100) == 4
	})
	crash(f.engineURLs[0])
	broken := 0
	for _, got := range drafts.wait() {
		if got.err != nil {
			broken++
			require.NotContains(t, got.body, "[DONE]")
			continue
		}
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	require.Equal(t, 4, broken, "answers of the crashed engine break off, all others are complete")
}

// crash crashes an upstream. It restarts at once with empty memory.
func crash(baseURL string) {
	resp, err := http.Post(baseURL+"/crash", "", nil)
	if err == nil {
		resp.Body.Close()
	}
}

// A client that does not wait sends the same booking through several routers at
// once. The routers don't know of each other's requests, but only one may run
// the booking, and the other callers must receive a truthful answer.
func TestSameKeyThroughAllRouters(t *testing.T) {
	f := startStandardFleet(t)
	for round := range 5 {
		key := fmt.Sprintf("booking-%d", round)
		var bookings requestGroup
		for _, r := range f.routerList {
			bookings.send(t.Context(), r, "laredo", "/kiosco-web/book", fmt.Sprintf(`{"busy_ms":20,"seat":%d}`, round), "Idempotency-Key", key)
		}
		served := 0
		for _, got := range bookings.wait() {
			if got.code == int(result.OK) {
				served++
				continue
			}
			require.Contains(t, []int{int(result.KeyInProgress), int(result.KeyCompleted)}, got.code, got.body)
		}
		require.Equal(t, 1, served)
		require.Equal(t, 1, startedWithKey(t, f.workerURL, key))
	}
}

func startedWithKey(t *testing.T, baseURL, key string) int {
	t.Helper()
	count := 0
	for _, e := range ledger(t, baseURL) {
		if e.IdempotencyKey == key && !e.Started.IsZero() {
			count++
		}
	}
	return count
}

// The platform is unavailable. A booking with the caller's key can't be
// claimed, so it is refused with a retry time and doesn't run. Requests without
// a key, and bookings whose key this router issued, still run. A new router
// gets its settings from peers.
func TestPlatformUnavailable(t *testing.T) {
	f := startStandardFleet(t)
	f.platform.kill()

	got := call(t, f.routerList[0], "laredo", "/kiosco-web/book", `{"busy_ms":1,"seat":1}`, "Idempotency-Key", "away")
	require.Equal(t, int(result.ClaimUnavailable), got.code, got.body)
	require.Equal(t, "no", got.ran)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Zero(t, startedWithKey(t, f.workerURL, "away"))

	got = call(t, f.routerList[1], "laredo", draftPath, draftBody(1, 5))
	require.Equal(t, http.StatusOK, got.status, got.body)

	issued := issueKey(t, f.routerList[2], "castro")
	got = call(t, f.routerList[2], "castro", "/kiosco-web/book", `{"busy_ms":1,"seat":2}`, "Idempotency-Key", issued)
	require.Equal(t, http.StatusOK, got.status, got.body)
	got = call(t, f.routerList[2], "castro", "/kiosco-web/book", `{"busy_ms":1,"seat":2}`, "Idempotency-Key", issued)
	require.Equal(t, int(result.KeyCompleted), got.code, got.body)
	got = call(t, f.routerList[3], "castro", "/kiosco-web/book", `{"busy_ms":1,"seat":2}`, "Idempotency-Key", issued)
	require.NotEqual(t, int(result.OK), got.code, "a key that another router issued must not run on this router")
	require.Equal(t, 1, startedWithKey(t, f.workerURL, issued))

	newRouter := f.startRouter("router-5", "sala-castro")
	f.awaitReady(newRouter)
	got = call(t, newRouter, "castro", draftPath, draftBody(2, 5))
	require.Equal(t, http.StatusOK, got.status, got.body)
}

func issueKey(t *testing.T, r *router, workspace string) string {
	t.Helper()
	var issued struct{ Key string }
	getJSON(t, "http://"+r.callerAddress+"/figstile/v1/keys", &issued, "Authorization", "Bearer "+workspace+"-token")
	require.NotEmpty(t, issued.Key)
	return issued.Key
}

// A request crashes every engine that runs it, and the client keeps sending it.
// Unless routers quarantine it, it takes down one engine after the other. The
// router that saw the crashes must also warn the others.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := startStandardFleet(t)
	for _, url := range f.engineURLs {
		setFaults(t, url, upstream.Faults{CrashMarker: "poison"})
	}
	poison := strings.Replace(draftBody(1, 5), "guide", "poison", 1)
	var got answer
	eventually(t, "the request is quarantined", func() bool {
		got = call(t, f.routerList[0], "laredo", draftPath, poison)
		return got.code == int(result.Quarantined)
	})
	require.Equal(t, "no", got.ran)
	for _, r := range f.routerList {
		eventually(t, r.name+" refuses it too", func() bool {
			return call(t, r, "laredo", draftPath, poison).code == int(result.Quarantined)
		})
	}
	crashes := 0
	for _, url := range f.engineURLs {
		for _, e := range ledger(t, url) {
			if e.Outcome == upstream.Crashed {
				crashes++
			}
		}
	}
	require.LessOrEqual(t, crashes, 2)
	other := call(t, f.routerList[1], "castro", draftPath, draftBody(2, 5))
	require.Equal(t, http.StatusOK, other.status, other.body)
}

// A router that owns upstreams is frozen, as by a VM migration, while its
// grants are in use. The other routers must still use its upstreams, and the
// frozen router must not act on outdated state when it resumes.
func TestFrozenRouter(t *testing.T) {
	f := startStandardFleet(t)
	f.routerList[0].freeze()
	var drafts requestGroup
	for i := range 24 {
		drafts.send(t.Context(), f.routerList[1+i%3], "laredo", draftPath, draftBody(i, 20))
	}
	for _, got := range drafts.wait() {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	f.routerList[0].thaw()
	eventually(t, "the resumed router serves", func() bool {
		return call(t, f.routerList[0], "castro", draftPath, draftBody(1000, 5)).status == http.StatusOK
	})
}

// A router is killed while requests of other routers run on upstreams that it
// owned. Only callers of the killed router lose their connections. All other
// answers must be complete, and the next owner must use the slots.
func TestKilledRouter(t *testing.T) {
	f := startStandardFleet(t)
	var drafts requestGroup
	for i := range 16 {
		drafts.send(t.Context(), f.routerList[1+i%3], "laredo", draftPath, draftBody(i, 200))
	}
	eventually(t, "all slots are busy", func() bool {
		return runningCount(t, f.engineURLs[0])+runningCount(t, f.engineURLs[1]) == 8
	})
	f.routerList[0].kill()
	for _, got := range drafts.wait() {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// An engine asks for no new work, which only its load report shows. New
// requests to it would be cut off, so routers must send none. Its running
// requests are completed.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startStandardFleet(t)
	send(t, http.MethodPut, f.engineURLs[0]+"/drain", map[string]bool{"draining": true})
	eventually(t, "the owner has seen the load report", func() bool {
		for _, r := range f.routerList {
			for _, u := range status(t, r).Owned {
				if u.Name == "engine-1" && u.Leaving {
					return true
				}
			}
		}
		return false
	})
	before := len(ledger(t, f.engineURLs[0]))
	var drafts requestGroup
	for i := range 24 {
		drafts.send(t.Context(), f.routerList[i%4], "laredo", draftPath, draftBody(i, 20))
	}
	for _, got := range drafts.wait() {
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	require.Len(t, ledger(t, f.engineURLs[0]), before)
}

// Two operators change the same object at the same time. One change must be
// applied completely; the other operator must receive a conflict error.
func TestConcurrentOperatorChangesConflict(t *testing.T) {
	f := startStandardFleet(t)
	before := status(t, f.routerList[0]).Versions["config/teams/valle"]
	type outcome struct {
		out  string
		code int
	}
	outcomes := make(chan outcome, 2)
	for i, weight := range []string{"3", "4"} {
		go func() {
			out, code := f.runCLI(f.routerList[i], operatorToken, "workspace", "set-weight", "ramales", weight, "--expect", fmt.Sprint(before))
			outcomes <- outcome{out, code}
		}()
	}
	first, second := <-outcomes, <-outcomes
	require.ElementsMatch(t, []int{0, 4}, []int{first.code, second.code}, "%s\n%s", first.out, second.out)
}

// A caller leaves while its answer is being generated. The engine must be told
// to stop, as it would otherwise generate tokens that no caller reads. The
// workspace is charged for the tokens generated so far.
func TestWorkStopsWhenCallerLeaves(t *testing.T) {
	f := startStandardFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	var drafts requestGroup
	drafts.send(ctx, f.routerList[0], "laredo", draftPath, draftBody(1, 100000))
	eventually(t, "the draft is being written", func() bool {
		return runningCount(t, f.engineURLs[0])+runningCount(t, f.engineURLs[1]) == 1
	})
	cancel()
	drafts.wait()
	eventually(t, "the engine stopped", func() bool {
		return runningCount(t, f.engineURLs[0])+runningCount(t, f.engineURLs[1]) == 0
	})
	eventually(t, "the work is charged", func() bool {
		return chargedCost(status(t, f.routerList[3]), "redaccion-figstile", "laredo") > 0
	})
}
