package e2e

import (
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/transport/edge"
)

// startEdgeFleet starts two routers and one engine.
func startEdgeFleet(t *testing.T) (*objectStore, *edgeEngine, []*edgeRouter) {
	t.Helper()
	s := startObjectStore(t)
	s.put(edge.KindConfig, "main", edgeConfig(1, "k1"))
	e := startEdgeEngine(t, s, "i-1")
	first := startEdgeRouter(t, s, 0)
	second := startEdgeRouter(t, s, 1, first.peerAddress)
	routers := []*edgeRouter{first, second}
	for _, r := range routers {
		r.awaitReady(t)
		await(t, func() bool { return r.postStatus(t, "/pages/now", "k1") == http.StatusOK })
	}
	return s, e, routers
}

func TestEdgeServesByRouteAndKey(t *testing.T) {
	_, _, routers := startEdgeFleet(t)
	for _, r := range routers {
		response, err := r.post(t, "/pages/now", "k1")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, "page", string(body))
		require.Equal(t, "sig-i-1", response.Header.Get("Server-Signature"))
		require.Equal(t, "a1", response.Header.Get("Attempt-Id"))
		require.Equal(t, http.StatusUnauthorized, r.postStatus(t, "/pages/now", "wrong"))
		require.Equal(t, http.StatusNotFound, r.postStatus(t, "/none/", "k1"))
	}
}

// An operator revokes a key. All routers must refuse the key afterwards,
// whichever of them reads the store.
func TestEdgeAppliesChangesOnEveryRouter(t *testing.T) {
	s, _, routers := startEdgeFleet(t)
	s.put(edge.KindConfig, "main", edgeConfig(2, "k2"))
	for _, r := range routers {
		await(t, func() bool { return r.postStatus(t, "/pages/now", "k1") == http.StatusUnauthorized })
		require.Equal(t, http.StatusOK, r.postStatus(t, "/pages/now", "k2"))
	}
}

// A router starts while the store is unavailable. It must obtain the
// configuration and the list of upstreams from a peer and serve requests.
func TestEdgeStartsWithoutTheStore(t *testing.T) {
	s, _, routers := startEdgeFleet(t)
	s.SetUnavailable(true)
	lateRouter := startEdgeRouter(t, s, 2, routers[0].peerAddress)
	lateRouter.awaitReady(t)
	await(t, func() bool { return lateRouter.postStatus(t, "/pages/now", "k1") == http.StatusOK })
	for _, r := range routers {
		require.Equal(t, http.StatusOK, r.postStatus(t, "/pages/now", "k1"))
	}
}

// An operator evacuates the data centre of the only upstream, and then the store
// fails. No router may send anything there, not even one that starts meanwhile.
// After the evacuation all of them serve again.
func TestEdgeSendsNothingToAnEvacuatedDataCentre(t *testing.T) {
	s, _, routers := startEdgeFleet(t)
	s.put(edge.KindEvacuation, "z1", map[string]any{})
	for _, r := range routers {
		await(t, func() bool { return r.postStatus(t, "/pages/now", "k1") == http.StatusServiceUnavailable })
	}
	s.SetUnavailable(true)
	routers = append(routers, startEdgeRouter(t, s, 2, routers[0].peerAddress))
	routers[2].awaitReady(t)
	for _, r := range routers {
		response, err := r.post(t, "/pages/now", "k1")
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	s.SetUnavailable(false)
	s.Remove(edge.KindEvacuation, "z1")
	for _, r := range routers {
		await(t, func() bool { return r.postStatus(t, "/pages/now", "k1") == http.StatusOK })
	}
}

// An engine starts beside a busy one, and both routers see it idle. While it is
// cold they must not send it more than it bears, and once it is warm it gets its
// part.
func TestEdgeSendsNoRushToAColdEngine(t *testing.T) {
	const maxPerSecond = 4*1.5 + 5
	s, _, routers := startEdgeFleet(t)
	cold := startColdEdgeEngine(t, s, "i-2", 2*time.Second)
	begin := time.Now()
	await(t, func() bool {
		before := cold.received.Load()
		for _, r := range routers {
			require.Equal(t, http.StatusOK, r.postStatus(t, "/pages/now", "k1"))
		}
		received := cold.received.Load()
		if time.Since(begin) < time.Second {
			require.LessOrEqual(t, received, int64(maxPerSecond))
		}
		return received > before && received > maxPerSecond
	})
}

// A router is stopped while a caller reads a stream. The stream must end
// complete, the router must report that it is not ready meanwhile, and the
// process must exit with code 0.
func TestEdgeStopCompletesStreams(t *testing.T) {
	_, e, routers := startEdgeFleet(t)
	r := routers[0]
	response, err := r.post(t, "/guides/x", "k1")
	require.NoError(t, err)
	defer response.Body.Close()
	<-e.started
	r.terminate()
	await(t, func() bool { return !r.isReady() })
	e.release <- struct{}{}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", string(body))
	<-r.done
	require.NoError(t, r.err)
}

// By default SIGHUP ends a process. The router must reload its settings
// instead.
func TestEdgeReloadsAtHangup(t *testing.T) {
	_, _, routers := startEdgeFleet(t)
	require.NoError(t, routers[0].cmd.Process.Signal(syscall.SIGHUP))
	routers[0].awaitValue(t, "seeds")
	require.Equal(t, http.StatusOK, routers[0].postStatus(t, "/pages/now", "k1"))
}

// A router is killed, so it announces nothing to its peer. The peer must
// continue and receive changes of the configuration, whether or not it read the
// store through the killed router.
func TestEdgeSurvivesAKilledPeer(t *testing.T) {
	s, _, routers := startEdgeFleet(t)
	routers[0].kill()
	s.put(edge.KindConfig, "main", edgeConfig(3, "k3"))
	await(t, func() bool { return routers[1].postStatus(t, "/pages/now", "k3") == http.StatusOK })
}

// Runs "figstile dev --platform --once", which starts routers on stand-ins,
// floods them, removes an engine and a key, makes the store unavailable and
// checks the results of callers and upstreams. It needs nothing outside this
// repository.
func TestDevPlatformTrialHoldsEveryPromise(t *testing.T) {
	out, err := exec.Command(cliBinary, "dev", "--platform", "--once").CombinedOutput()
	require.NoError(t, err, string(out))
	require.Equal(t, 8, strings.Count(string(out), "held    "), string(out))
}
