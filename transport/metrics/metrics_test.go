package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/stretchr/testify/require"
)

func TestHistogramsPerWorkspaceAndClass(t *testing.T) {
	m := New("r1", "sala-laredo")
	s := m.SeriesFor("laredo", "guide")
	s.RecordDispatch(3 * time.Millisecond)
	s.RecordResult(result.New(result.OK, ""), time.Second, 12*state.CostUnit)
	require.NoError(t, m.Close())

	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, response.Body.String(), `figstile_queue_wait_seconds_bucket{class="guide",data_centre="sala-laredo",router="r1",workspace="laredo",le="0.004"} 1`)
	require.Contains(t, response.Body.String(), `result="ok"`)
}

// TestInventedClassesShareOneSeries guards against running out of memory when a
// caller sends a new class with every request.
func TestInventedClassesShareOneSeries(t *testing.T) {
	m := New("r1", "dc")
	for i := range 10 * MaxSeries {
		m.SeriesFor("ws", fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(m.series), MaxSeries+1)
	require.Same(t, m.SeriesFor("ws", "another"), m.SeriesFor("ws", "yet another"))
	require.NoError(t, m.Close())
}

func TestCountersByUpstreamAndDecision(t *testing.T) {
	m := New("r1", "dc")
	m.CountDecision("drafts", "overload")
	m.AddAdmissionCost("small", "over-share", 1200)
	m.AddAdmissionCost("small", "over-share", 300)
	m.CountAttempt("e1", "broken")
	m.CountAttempt("e1", "broken")
	m.SetViewAge("configuration", 1500*time.Millisecond)
	require.NoError(t, m.Close())

	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, response.Body.String(), `figstile_decisions{data_centre="dc",decision="overload",router="r1",service="drafts"} 1`)
	require.Contains(t, response.Body.String(), `figstile_admission_cost{data_centre="dc",decision="over-share",router="r1",workspace="small"} 1500`)
	require.Contains(t, response.Body.String(), `figstile_upstream_attempts{data_centre="dc",outcome="broken",router="r1",upstream="e1"} 2`)
	require.Contains(t, response.Body.String(), `figstile_view_age_seconds{data_centre="dc",router="r1",view="configuration"} 1.5`)
}

// TestReplacedUpstreamsShareOneCounter guards against running out of
// memory when upstreams are replaced again and again, each with a new ID.
func TestReplacedUpstreamsShareOneCounter(t *testing.T) {
	m := New("r1", "dc")
	for i := range 3 * maxSubjects {
		m.CountAttempt(state.Upstream(fmt.Sprint(i)), "answered")
	}
	require.LessOrEqual(t, len(m.attempts.subjects), maxSubjects+1)
	require.NoError(t, m.Close())
}

// TestShortFamiliesComeFirst guards against collectors that read only the
// beginning of an answer and miss the state of the router.
func TestShortFamiliesComeFirst(t *testing.T) {
	m := New("r1", "dc")
	for i := range 50 {
		m.SeriesFor(state.Workspace(fmt.Sprint(i)), "guide").RecordEventGap(time.Millisecond)
		m.AddAdmissionCost(state.Workspace(fmt.Sprint(i)), "admitted", 10)
	}
	m.SetGauge("ready", 1)
	require.NoError(t, m.Close())
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	body := response.Body.String()
	ready, cost := strings.Index(body, "figstile_ready{"), strings.Index(body, "figstile_admission_cost{")
	require.Positive(t, ready)
	require.Less(t, ready, cost)
	require.Less(t, cost, strings.Index(body, "figstile_between_tokens_seconds_bucket{"))
}
