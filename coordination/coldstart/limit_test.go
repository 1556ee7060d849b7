package coldstart

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Two senders that know nothing of each other must keep within the limit in
// every second, whatever the limit is.
func TestPaceOfTwoSendersIsWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Factor: rapid.Float64Range(0, 3).Draw(t, "factor"),
			Extra:  rapid.Float64Range(0, 20).Draw(t, "extra"),
		}
		rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
		interval, ok := limit.Interval(rate)
		if !ok {
			return
		}
		perSecond := math.Floor(float64(time.Second)/float64(interval)) + 1
		if 2*perSecond > rate*limit.Factor+limit.Extra {
			t.Fatalf("two senders send %g requests in one second", 2*perSecond)
		}
	})
}

func TestLimitTooLowForTwoSendersAllowsNoRequest(t *testing.T) {
	_, ok := Limit{Factor: 1}.Interval(3)
	require.False(t, ok)
	interval, ok := Limit{Factor: 1.5, Extra: 5}.Interval(9.8)
	require.True(t, ok)
	require.Equal(t, 125*time.Millisecond, interval)
}
