package loadgen

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const smallWorkload = `{
  "name": "small", "seed": 7, "seconds": 20,
  "classes": [
    {"name": "page", "service": "kiosco-web", "kind": "worker", "path": "/page", "busy": {"median": 20, "sigma": 0.5, "max": 100}},
    {"name": "booking", "service": "kiosco-web", "kind": "worker", "path": "/book", "busy": {"median": 20, "sigma": 0, "max": 20},
     "keyed": 1, "resent": 1, "resend_after_ms": 50}
  ],
  "workspaces": [
    {"name": "laredo", "token": "t", "share": 3, "targets": [1], "arrivals": [{"class": "page", "process": "poisson", "rate": 50}]},
    {"name": "castro", "token": "t", "share": 1, "arrivals": [
      {"class": "page", "process": "onoff", "rate": 50, "on_seconds": 1, "off_seconds": 3},
      {"class": "booking", "process": "bursts", "rate": 4, "burst": 5}]}
  ]
}`

func TestScheduleIsRepeatable(t *testing.T) {
	w, err := Parse([]byte(smallWorkload))
	require.NoError(t, err)
	calls := w.Schedule()
	require.Equal(t, calls, w.Schedule())
	counts := make(map[int]int)
	bodies := make(map[string]int)
	for _, c := range calls {
		counts[c.WorkspaceIndex]++
		bodies[c.Body]++
		if c.WorkspaceIndex == 1 && c.ClassIndex == 0 {
			require.Less(t, c.SendAt%(4*time.Second), time.Second, "a request arrived in an off period")
		}
		if c.Resent {
			require.Equal(t, 2, bodies[c.Body])
		}
	}
	require.InDelta(t, 1000, counts[0], 150)
	require.InDelta(t, 250+160, counts[1], 120)
}

func TestInvalidWorkloadsAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": `{"seconds": 1, "colour": "red"}`,
		"trailing data": smallWorkload + "{}",
		"no class":      `{"seconds": 1, "workspaces": [{"name": "a", "share": 1, "arrivals": [{"class": "x", "process": "poisson", "rate": 1}]}]}`,
		"no rate":       `{"seconds": 1, "workspaces": [{"name": "a", "share": 0}]}`,
	} {
		_, err := Parse([]byte(text))
		require.Error(t, err, name)
	}
}

func TestFairnessGap(t *testing.T) {
	g := newGapTracker([]float64{0.5, 0.25, 0.25})
	firstTwoWaiting := []bool{true, true, false}
	require.Zero(t, g.observe([]float64{0, 0, 0}, firstTwoWaiting))
	require.Zero(t, g.observe([]float64{10, 5, 90}, firstTwoWaiting), "the two waiting workspaces are served by their shares; the third has no requests waiting")
	require.InDelta(t, 10*4/3.0, g.observe([]float64{10, 15, 90}, firstTwoWaiting), 1e-9)
	require.InDelta(t, 15*4/3.0, g.observe([]float64{40, 15, 90}, firstTwoWaiting), 1e-9, "the gap adds the lead of either workspace over the other")
	require.Zero(t, g.observe([]float64{40, 25, 90}, []bool{true, false, false}))
	require.Zero(t, g.observe([]float64{40, 25, 90}, firstTwoWaiting), "the gap starts at zero when both have requests waiting again")
	require.Less(t, g.servedWhileWaiting[0]/g.dueWhileWaiting[0], 1.0)
}

func TestPercentilesCountFromTheIntendedTime(t *testing.T) {
	w, err := Parse([]byte(smallWorkload))
	require.NoError(t, err)
	records := []Record{{Workspace: "laredo", Class: "page", Status: 200, Complete: true, IntendedAt: time.Second, SentAt: 3 * time.Second, HeaderAt: 4 * time.Second, FirstByteAt: 4 * time.Second, EndedAt: 5 * time.Second}}
	g := groupRecords(w, records)
	require.Len(t, g, 1)
	require.InEpsilon(t, 3000, g[0].HeaderLatency.P50, 0.01)
	require.InEpsilon(t, 4000, g[0].TotalLatency.Max, 0.01)
}
