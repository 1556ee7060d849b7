package pause

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForGivesUpWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, For(ctx, time.Nanosecond))
	require.NoError(t, For(ctx, -time.Hour))
	cancel()
	require.ErrorIs(t, For(ctx, time.Hour), context.Canceled)
	require.ErrorIs(t, For(ctx, 0), context.Canceled)
}
