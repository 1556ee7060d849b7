package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1000, 0)
	limits = Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
)

// While every upstream fails, all routers together must stay within the
// operators' budget in any window, however requests arrive and are repeated.
// The budget is computed from the requests of that window, of the window that
// ends half a window earlier, or of the preceding window, whichever is largest.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 20).Draw(t, "routers")
		budgets := make([]Budget, routers)
		var requests, repeats []time.Time
		now := start
		for range 250 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b := &budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			b.RecordRequest(now, limits)
			requests = append(requests, now)
			for b.TryRepeat(now, limits, routers) {
				repeats = append(repeats, now)
			}
		}
		within := func(times []time.Time, end time.Time) (n int) {
			for _, at := range times {
				if !at.After(end) && at.After(end.Add(-limits.Window)) {
					n++
				}
			}
			return n
		}
		for _, end := range repeats {
			maxRequests := max(within(requests, end), within(requests, end.Add(-limits.Window/2)), within(requests, end.Add(-limits.Window)))
			allowed := limits.Ratio*float64(maxRequests) + limits.Slack
			if n := within(repeats, end); float64(n) > allowed {
				t.Fatalf("%d repeats, %.1f allowed", n, allowed)
			}
		}
	})
}

func TestBudgetRecoversAfterWindow(t *testing.T) {
	var b Budget
	for b.TryRepeat(start, limits, 1) {
	}
	require.False(t, b.TryRepeat(start.Add(time.Second), limits, 1))
	require.True(t, b.TryRepeat(start.Add(limits.Window+time.Second), limits, 1))
}

func TestZeroWindowAllowsAllRepeats(t *testing.T) {
	var b Budget
	b.RecordRequest(start, Limits{})
	require.True(t, b.TryRepeat(start, Limits{}, 1))
}
