package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCoolDownDoublesUpToMaximum(t *testing.T) {
	now := time.Unix(1000, 0)
	var d Detector
	require.False(t, d.RecordFailure())
	require.False(t, d.RecordFailure())
	require.True(t, d.RecordFailure())
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		require.Equal(t, want*time.Second, d.StartCoolDown(now))
		require.True(t, d.InCoolDown(now.Add(want*time.Second-1)))
		require.False(t, d.InCoolDown(now.Add(want*time.Second)))
		require.True(t, d.RecordFailure(), "the first failure after a cool-down counts as a relapse")
	}
	d.RecordSuccess()
	require.False(t, d.RecordFailure())
}
