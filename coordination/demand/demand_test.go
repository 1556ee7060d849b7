package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

func TestOldestFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	k := Key{Workspace: "w"}
	b := New()
	b.Set(k, Entry{Router: "r", Waiting: 2, Head: now.Add(-10 * time.Second)})
	b.Set(k, Entry{Router: "q", Waiting: 1, Head: now.Add(-8 * time.Second)})
	var order []state.Router
	for backlogged := true; backlogged; {
		e, _ := b.Oldest(k)
		order = append(order, e.Router)
		backlogged = b.Take(now, k, e.Router)
	}
	require.Equal(t, []state.Router{"r", "q", "r"}, order)
	require.Empty(t, b.lines)
	require.Empty(t, b.keys)
	b.Set(k, Entry{Router: "r", Waiting: 2})
	require.Equal(t, []Key{k}, b.Keys("r"))
	require.False(t, b.Set(k, Entry{Router: "r"}))
}
