package metrics

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/stretchr/testify/require"
)

func TestHistogramsPerWorkspaceAndClass(t *testing.T) {
	m := New("r1", "sala-laredo")
	s := m.For("laredo", "guide")
	s.Dispatched(3 * time.Millisecond)
	s.Finished(result.New(result.OK, ""), time.Second, 12*state.CostUnit)
	require.NoError(t, m.Close())

	page := httptest.NewRecorder()
	m.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, page.Body.String(), `figstile_queue_wait_seconds_bucket{class="guide",data_centre="sala-laredo",router="r1",workspace="laredo",le="0.004"} 1`)
	require.Contains(t, page.Body.String(), `result="ok"`)
}

// A caller invents a new class with every request. Without a bound the
// router's memory grows until it is killed and every caller loses its answer.
func TestInventedClassesShareOneSeries(t *testing.T) {
	m := New("r1", "dc")
	for i := range 10 * MaxSeries {
		m.For("ws", fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(m.series), MaxSeries+1)
	require.Same(t, m.For("ws", "another"), m.For("ws", "yet another"))
	require.NoError(t, m.Close())
}
