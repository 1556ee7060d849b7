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

// requestGroup is a set of requests under way.
type requestGroup struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []answer
	errs    []error
}

// send starts a request without waiting for its answer.
func (f *requestGroup) send(ctx context.Context, r *router, workspace, path, body string, header ...string) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		got, err := tryCall(ctx, r, workspace, path, body, header...)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.answers = append(f.answers, got)
		f.errs = append(f.errs, err)
	}()
}

// wait waits for all answers.
func (f *requestGroup) wait() []answer {
	f.wg.Wait()
	return f.answers
}

// runningCount counts the requests that an upstream has started and not ended.
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

// runningWithTokens counts the running requests of which an upstream has generated that
// many tokens.
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

// A councillor's long guide is half written when the router's VM is replaced.
// The platform asks the router to stop; a careless one would close its
// sockets and the guide would be lost. Two routers of different data centres
// are stopped at once, and then the last one of a data centre.
func TestPlannedStopCompletesRequests(t *testing.T) {
	f := startStandardFleet(t)
	var drafts requestGroup
	for i := range 12 {
		drafts.send(t.Context(), f.routerList[i%4], "laredo", draftPath, draftBody(i, 300))
	}
	eventually(t, "guides are being written", func() bool {
		return runningCount(t, f.engineURLs[0])+runningCount(t, f.engineURLs[1]) == 8
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

// A router draining still answers, but refuses new work at once and says that
// it did not run and when to come back: the balancer sends some requests its
// way until its health check has seen the change.
func TestDrainingRouterRefusesAtOnce(t *testing.T) {
	f := startStandardFleet(t)
	var drafts requestGroup
	drafts.send(t.Context(), f.routerList[0], "laredo", draftPath, draftBody(1, 400))
	eventually(t, "the guide is being written", func() bool {
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

// An engine is killed while it writes. The caller has part of the answer and
// must not take it for the whole: the connection breaks, the answer has no
// end, and nobody is told that it did not run.
func TestUpstreamKilledMidAnswer(t *testing.T) {
	f := startStandardFleet(t)
	var drafts requestGroup
	for i := range 8 {
		drafts.send(t.Context(), f.routerList[i%4], "laredo", draftPath, draftBody(i, 4000))
	}
	eventually(t, "all callers have part of their answer", func() bool {
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
	require.Equal(t, 4, broken, "what the engine had begun is broken off, the rest is whole")
}

// crash takes an upstream down; it comes back at once with nothing in memory.
func crash(baseURL string) {
	resp, err := http.Post(baseURL+"/crash", "", nil)
	if err == nil {
		resp.Body.Close()
	}
}

// A booking is sent through two routers at the same moment, because an
// impatient client sends it again elsewhere. Both routers know nothing of each
// other's request; only one may run it, and the other caller hears the truth.
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

// The platform is away. A booking with a key cannot be recorded and must not
// run; the caller hears so at once and is told when to come back. Work without
// a key goes on, and so does a booking whose key this router issued itself. A
// router that starts cold takes its settings from its peers.
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
	require.NotEqual(t, int(result.OK), got.code, "a key of another router must not run here")
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

// A malformed booking crashes each worker that runs it, and the client sends
// it again and again. Without a guard it would take down the whole fleet, one
// engine after the other.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := startStandardFleet(t)
	for _, url := range f.engineURLs {
		setFaults(t, url, upstream.Faults{CrashMarker: "poison"})
	}
	poison := strings.Replace(draftBody(1, 5), "guide", "poison", 1)
	var got answer
	eventually(t, "the request is refused for good", func() bool {
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

// A router that owns upstreams is frozen, as by a VM migration, with grants
// out. The others must not leave its upstreams idle while work waits, and when
// it wakes it must not act on what it believed before.
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
	eventually(t, "the woken router serves", func() bool {
		return call(t, f.routerList[0], "castro", draftPath, draftBody(1000, 5)).status == http.StatusOK
	})
}

// A router is killed while requests of others run on upstreams it owned. Its
// own callers lose their connections; everybody else's answers are whole, and
// the next owner uses the slots.
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

// An engine says that it leaves, and nobody else knows yet. New work that
// reaches it would be cut off; the routers must see its load report and send
// none, while what it runs is finished.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startStandardFleet(t)
	send(t, http.MethodPut, f.engineURLs[0]+"/drain", map[string]bool{"draining": true})
	eventually(t, "the owner has seen it", func() bool {
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

// Two operators change the same object at the same moment. One wins; the other
// is told that it lost and to whom, and no change is half made.
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

// A caller leaves while its guide is being written. The engine must be told
// to stop, or it goes on writing for nobody, and the workspace is charged for
// what was written.
func TestWorkStopsWhenCallerLeaves(t *testing.T) {
	f := startStandardFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	var drafts requestGroup
	drafts.send(ctx, f.routerList[0], "laredo", draftPath, draftBody(1, 100000))
	eventually(t, "the guide is being written", func() bool {
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
