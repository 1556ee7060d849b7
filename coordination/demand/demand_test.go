package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

func TestOldestRequestIsGrantedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	k := Key{Workspace: "w"}
	table := New()
	table.Set(k, Entry{Router: "r", Waiting: 2, OldestArrival: now.Add(-10 * time.Second)})
	table.Set(k, Entry{Router: "q", Waiting: 1, OldestArrival: now.Add(-8 * time.Second)})
	var order []state.Router
	for backlogged := true; backlogged; {
		e, _ := table.Oldest(k)
		order = append(order, e.Router)
		backlogged = table.RecordGrant(now, k, e.Router)
	}
	require.Equal(t, []state.Router{"r", "q", "r"}, order)
	require.Empty(t, table.byKey)
	require.Empty(t, table.keysByRouter)
	table.Set(k, Entry{Router: "r", Waiting: 2})
	require.Equal(t, []Key{k}, table.Keys("r"))
	require.False(t, table.Set(k, Entry{Router: "r"}))
}

// The owner's own request goes first if it has waited at least half as long as
// the oldest one, whether that is milliseconds or minutes. A peer's oldest
// request is not passed over for longer than that.
func TestLocalRequestGoesFirstWithinHalfTheWait(t *testing.T) {
	now := time.Unix(1000, 0)
	k := Key{Workspace: "w"}
	for _, unit := range []time.Duration{time.Millisecond, time.Minute} {
		table := New()
		table.Set(k, Entry{Router: "peer", Waiting: 1, OldestArrival: now.Add(-10 * unit)})
		chosen, _ := table.Choose(now, k, "near")
		require.Equal(t, state.Router("peer"), chosen.Router)
		table.Set(k, Entry{Router: "near", Waiting: 1, OldestArrival: now.Add(-4 * unit)})
		chosen, _ = table.Choose(now, k, "near")
		require.Equal(t, state.Router("peer"), chosen.Router)
		table.Set(k, Entry{Router: "near", Waiting: 1, OldestArrival: now.Add(-5 * unit)})
		chosen, _ = table.Choose(now, k, "near")
		require.Equal(t, state.Router("near"), chosen.Router)
	}
	_, ok := New().Choose(now, k, "near")
	require.False(t, ok)
}
