package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDrainPhases(t *testing.T) {
	start := time.Unix(5000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var none Drain
	require.False(t, none.Begun())
	require.True(t, none.Accepting(start))
	require.Zero(t, none.Age(start))

	d := Begin(start, 8*time.Second)
	require.True(t, d.Begun())
	require.True(t, d.Accepting(start))
	require.Equal(t, 7500*time.Millisecond, d.RunTimeLeft(start))
	require.False(t, d.Accepting(at(2500*time.Millisecond)))
	require.Equal(t, 5*time.Second, d.RunTimeLeft(at(2500*time.Millisecond)))
	require.Zero(t, d.RunTimeLeft(at(7500*time.Millisecond)))
	require.Equal(t, 250*time.Millisecond, d.AnswerTimeLeft(at(7500*time.Millisecond)))
}

// With a short grace period, a router still reserves most of it for the
// requests that it has accepted, and some of it for answering the requests that
// have not ended.
func TestShortGracePeriod(t *testing.T) {
	start := time.Unix(5000, 0)
	d := Begin(start, 1200*time.Millisecond)
	require.True(t, d.Accepting(start.Add(399*time.Millisecond)))
	require.False(t, d.Accepting(start.Add(400*time.Millisecond)))
	require.Equal(t, 1050*time.Millisecond, d.RunTimeLeft(start))
}
