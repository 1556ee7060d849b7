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
	b := New()
	b.Set(k, Entry{Router: "r", Waiting: 2, OldestArrival: now.Add(-10 * time.Second)})
	b.Set(k, Entry{Router: "q", Waiting: 1, OldestArrival: now.Add(-8 * time.Second)})
	var order []state.Router
	for backlogged := true; backlogged; {
		e, _ := b.Oldest(k)
		order = append(order, e.Router)
		backlogged = b.RecordGrant(now, k, e.Router)
	}
	require.Equal(t, []state.Router{"r", "q", "r"}, order)
	require.Empty(t, b.byKey)
	require.Empty(t, b.keysByRouter)
	b.Set(k, Entry{Router: "r", Waiting: 2})
	require.Equal(t, []Key{k}, b.Keys("r"))
	require.False(t, b.Set(k, Entry{Router: "r"}))
}

// The owner's own request goes first while it has waited at least half as long
// as the oldest one, whether that is milliseconds or minutes; a peer's oldest
// request is never passed over for longer.
func TestLocalRequestGoesFirstWithinHalfTheWait(t *testing.T) {
	now := time.Unix(1000, 0)
	k := Key{Workspace: "w"}
	for _, unit := range []time.Duration{time.Millisecond, time.Minute} {
		b := New()
		b.Set(k, Entry{Router: "peer", Waiting: 1, OldestArrival: now.Add(-10 * unit)})
		chosen, _ := b.Choose(now, k, "near")
		require.Equal(t, state.Router("peer"), chosen.Router)
		b.Set(k, Entry{Router: "near", Waiting: 1, OldestArrival: now.Add(-4 * unit)})
		chosen, _ = b.Choose(now, k, "near")
		require.Equal(t, state.Router("peer"), chosen.Router)
		b.Set(k, Entry{Router: "near", Waiting: 1, OldestArrival: now.Add(-5 * unit)})
		chosen, _ = b.Choose(now, k, "near")
		require.Equal(t, state.Router("near"), chosen.Router)
	}
	_, ok := New().Choose(now, k, "near")
	require.False(t, ok)
}
