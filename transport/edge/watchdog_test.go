package edge

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A part of the router hangs while the callers' server goes on. The router must
// not count as ready, and one line must name the task and what waits for a lock.
func TestHungRouterIsNotReady(t *testing.T) {
	f := evacuationFixture()
	f.catalogue.replaceEvacuations(nil, 3, sourceStore)
	f.catalogue.applyObject(KindConfig, configObject(5, 2), sourceStore)
	var log bytes.Buffer
	r := &Router{dispatcher: f.dispatcher, watchdog: &watchdog{log: zerolog.New(&log)}}
	fleetProgressed, otherProgressed := r.watchdog.watch("fleet"), r.watchdog.watch("housekeeping")
	status := func() int {
		recorder := httptest.NewRecorder()
		r.readinessHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		return recorder.Code
	}
	check := func(rounds int) {
		for range rounds {
			otherProgressed()
			r.watchdog.check()
		}
	}
	check(maxSilentChecks - 1)
	fleetProgressed()
	check(maxSilentChecks)
	require.Equal(t, http.StatusOK, status())

	f.catalogue.mu.Lock()
	waiting := make(chan struct{})
	go func() {
		defer close(waiting)
		f.catalogue.markStoreAvailable()
	}()
	require.Eventually(t, func() bool { return len(lockWaiters()) > 0 }, time.Minute, time.Millisecond)
	check(2 * maxSilentChecks)
	require.Equal(t, http.StatusServiceUnavailable, status())
	require.Equal(t, 1, bytes.Count(log.Bytes(), []byte("\n")))
	require.Contains(t, log.String(), `"tasks":["fleet"]`)
	require.Contains(t, log.String(), "catalogue.markStoreAvailable")

	f.catalogue.mu.Unlock()
	<-waiting
	fleetProgressed()
	check(1)
	require.Equal(t, http.StatusOK, status())
}
