package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

func TestBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget()
	require.False(t, b.Allow(now, "w", false, 1), "a request that is not repeatable is not retried")
	require.False(t, b.Allow(now, "w", true, MaxDispatches))
	for range retryBurst {
		require.True(t, b.Allow(now, "w", true, 1))
	}
	require.False(t, b.Allow(now, "w", true, 1))
	require.True(t, b.Allow(now, "v", true, 1), "each workspace has its own bucket")
	require.True(t, b.Allow(now.Add(time.Second), "w", true, 1))
	for i := range 2 * maxWorkspaces {
		b.Allow(now, state.Workspace(fmt.Sprint(i)), true, 1)
	}
	require.LessOrEqual(t, len(b.limiters), maxWorkspaces)
}
