package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCoolDownDoublesUpToACap(t *testing.T) {
	now := time.Unix(1000, 0)
	var d Detector
	require.False(t, d.Failed())
	require.False(t, d.Failed())
	require.True(t, d.Failed())
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		require.Equal(t, want*time.Second, d.CoolDown(now))
		require.True(t, d.Cooling(now.Add(want*time.Second-1)))
		require.False(t, d.Cooling(now.Add(want*time.Second)))
		require.True(t, d.Failed(), "a relapse")
	}
	d.Served()
	require.False(t, d.Failed())
}
