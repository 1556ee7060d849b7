package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A router hears of an upstream's leaving from a peer, then an old answer of
// the store arrives that still lists it. It must not come back.
func TestOlderRevisionDoesNotRestoreAnEntry(t *testing.T) {
	d := New()
	ready := Entry{Revision: 5, Present: true, Upstream: Upstream{ID: "u"}}
	removed := Entry{Revision: 9}
	require.True(t, d.Apply("u", ready))
	require.False(t, d.Apply("u", ready), "the same is no news")
	require.True(t, d.Apply("u", removed))
	require.False(t, d.Apply("u", ready))
	held, ok := d.Entry("u")
	require.True(t, ok)
	require.False(t, held.Present)
}

// A removal is told with the revision of the entry that it removed.
func TestRemovalAppliesAtTheRevisionItRemoves(t *testing.T) {
	d := New()
	require.True(t, d.Apply("u", Entry{Revision: 5, Present: true}))
	require.True(t, d.Apply("u", Entry{Revision: 5}))
	require.False(t, d.Apply("u", Entry{Revision: 5}))
	require.True(t, d.Apply("u", Entry{Revision: 6, Present: true}), "it registered again")
}
