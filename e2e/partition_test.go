package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state/result"
	"github.com/stretchr/testify/require"
)

// A data centre loses its connection to the platform, but not to the other data
// centre. Its routers must still receive a changed share through peers and
// accept issued keys. After reconnecting, no router may revert, which is
// checked at the end of every test.
func TestDataCentreCutFromPlatform(t *testing.T) {
	f := startStandardFleet(t)
	f.links["sala-laredo"].cut()

	before := status(t, f.routerList[0]).Versions["config/root"]
	out, code := f.runCLI(f.routerList[2], operatorToken, "team", "set-share", "valle", "5")
	require.Zero(t, code, out)
	for _, r := range f.routerList {
		eventually(t, r.name+" has the new share", func() bool {
			return status(t, r).Versions["config/root"] > before
		})
	}
	out, code = f.runCLI(f.routerList[0], operatorToken, "team", "set-share", "valle", "6")
	require.Equal(t, 5, code, "the platform is unavailable to this router: %s", out)

	key := issueKey(t, f.routerList[0], "laredo")
	got := call(t, f.routerList[0], "laredo", "/kiosco-web/book", `{"busy_ms":1,"seat":1}`, "Idempotency-Key", key)
	require.Equal(t, http.StatusOK, got.status, got.body)

	f.links["sala-laredo"].heal()
	eventually(t, "the cut-off router writes again", func() bool {
		_, code := f.runCLI(f.routerList[0], operatorToken, "team", "set-share", "valle", "6")
		return code == 0
	})
}

// The platform loses a claim or the answer to it, so the router doesn't know
// whether it holds the claim. If it guessed, it could run a booking twice or
// refuse one that may run. It must read its claim back and run the booking
// exactly once.
func TestLostAnswerToClaim(t *testing.T) {
	f := startStandardFleet(t)
	for i, faults := range []platform.Faults{{LoseAnswers: 1}, {LoseWrites: 1}} {
		send(t, http.MethodPost, f.platformURL+"/v1/faults", faults)
		key := fmt.Sprintf("lost-%d", i)
		body := fmt.Sprintf(`{"busy_ms":1,"seat":%d}`, i)
		var codes []int
		for _, r := range f.routerList {
			codes = append(codes, call(t, r, "laredo", "/kiosco-web/book", body, "Idempotency-Key", key).code)
		}
		require.Equal(t, 1, startedWithKey(t, f.workerURL, key), "codes %v", codes)
		require.Contains(t, codes, int(result.OK))
	}
}

// A lagging replica of the platform answers reads with old settings. A router
// that applied them would revert a share that an operator has changed.
func TestStalePlatformReads(t *testing.T) {
	f := startStandardFleet(t)
	send(t, http.MethodPost, f.platformURL+"/v1/faults", platform.Faults{StaleReads: true})
	staleVersion := status(t, f.routerList[0]).Versions["config/root"]
	out, code := f.runCLI(f.routerList[0], operatorToken, "team", "set-share", "valle", "7")
	require.Contains(t, []int{0, 6}, code, out)
	eventually(t, "the writer has the new share", func() bool {
		return status(t, f.routerList[0]).Versions["config/root"] > staleVersion
	})
	f.links["sala-laredo"].cut()
	f.links["sala-laredo"].heal()
	for _, r := range f.routerList {
		eventually(t, r.name+" has the new share", func() bool {
			return status(t, r).Versions["config/root"] > staleVersion
		})
	}
}

// One workspace sends more requests than its queue holds. Requests of another
// workspace must not wait behind them, and requests beyond the queue's limit
// must be refused at once with a retry time.
func TestFloodStarvesNoWorkspace(t *testing.T) {
	f := startStandardFleet(t)
	var flood requestGroup
	for i := range 1200 {
		flood.send(t.Context(), f.routerList[i%4], "laredo", draftPath, draftBody(i, 10))
	}
	eventually(t, "the flood is queued", func() bool { return status(t, f.routerList[0]).Waiting > 100 })
	for i := range 10 {
		got := call(t, f.routerList[0], "ramales", draftPath, draftBody(10_000+i, 10))
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	stillWaiting := status(t, f.routerList[0]).Waiting
	require.Positive(t, stillWaiting, "ten small requests were served while the flood still waited")

	var codes []int
	for _, got := range flood.wait() {
		codes = append(codes, got.code)
		if got.code == int(result.QueueFull) {
			require.Equal(t, "no", got.ran)
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	slices.Sort(codes)
	require.Subset(t, []int{int(result.OK), int(result.QueueFull), int(result.DeadlineTooShort)}, slices.Compact(codes))
}

// An engine sends a caller the answer to another request. The answer names
// another attempt, so the router must drop it. As drafts are repeatable, the
// router then tries again elsewhere.
func TestCrossedAnswers(t *testing.T) {
	f := startStandardFleet(t)
	setFaults(t, f.engineURLs[0], upstream.Faults{CrossAnswers: 4})
	for _, got := range f.sendDrafts(24) {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// An engine cuts answers off after they have begun. The caller must see a
// broken connection instead of a normal end of the answer.
func TestTruncatedAnswers(t *testing.T) {
	f := startStandardFleet(t)
	for _, url := range f.engineURLs {
		setFaults(t, url, upstream.Faults{TruncateAnswers: 2})
	}
	broken := 0
	for _, got := range f.sendDrafts(24) {
		if got.err != nil {
			broken++
			require.NotContains(t, got.body, "[DONE]")
		}
	}
	require.Equal(t, 4, broken)
}

// sendDrafts sends short drafts through all routers and returns their answers.
func (f *standardFleet) sendDrafts(count int) []answer {
	var sent requestGroup
	for i := range count {
		sent.send(f.t.Context(), f.routerList[i%len(f.routerList)], "laredo", draftPath, draftBody(i, 10))
	}
	return sent.wait()
}

// All requests wait at one router and fill every slot. Upstreams that other
// routers own must not stay idle: their owners must send grants to the router
// where the requests wait.
func TestOneRouterUsesAllUpstreams(t *testing.T) {
	f := startStandardFleet(t)
	var drafts requestGroup
	for i := range 40 {
		drafts.send(t.Context(), f.routerList[3], "laredo", draftPath, draftBody(i, 400))
	}
	eventually(t, "all slots of both engines are busy", func() bool {
		return runningCount(t, f.engineURLs[0]) == 4 && runningCount(t, f.engineURLs[1]) == 4
	})
	for _, got := range drafts.wait() {
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// Callers of several workspaces send more to one router than its memory can
// hold. Without a limit on the total the process would be killed and all
// answers lost. It must refuse the excess at once, state that it did not run,
// and serve the requests that it accepted.
func TestRouterRefusesBeyondItsQueueLimit(t *testing.T) {
	const limit = 20
	f := startStandardFleet(t)
	small := f.startRouter("router-5", "sala-laredo", "--max-queued", strconv.Itoa(limit))
	f.awaitReady(small)
	var flood requestGroup
	for i := range 300 {
		flood.send(t.Context(), small, []string{"laredo", "castro", "ramales"}[i%3], draftPath, draftBody(i, 50))
	}
	served, refused := 0, 0
	for _, got := range flood.wait() {
		if got.code == int(result.OK) {
			served++
			continue
		}
		refused++
		require.Equal(t, int(result.TooManyRequests), got.code, got.body)
		require.Equal(t, "no", got.ran)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	}
	require.Positive(t, refused)
	require.GreaterOrEqual(t, served, limit)
}
