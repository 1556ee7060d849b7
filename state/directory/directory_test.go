package directory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A router learns from a peer that an upstream was removed. An outdated answer
// of the store that still lists the upstream must not restore it.
func TestOlderRevisionDoesNotRestoreAnEntry(t *testing.T) {
	d := New()
	ready := Entry{Revision: 5, Present: true, Upstream: Upstream{ID: "u"}}
	removed := Entry{Revision: 9}
	require.True(t, d.Apply("u", ready))
	require.False(t, d.Apply("u", ready), "an entry of the same revision must not be applied twice")
	require.True(t, d.Apply("u", removed))
	require.False(t, d.Apply("u", ready))
	entry, ok := d.Entry("u")
	require.True(t, ok)
	require.False(t, entry.Present)
}

// A removal carries the revision of the entry that it removes. It must be
// applied once, and a later registration must be applied again.
func TestRemovalAppliesAtTheRevisionItRemoves(t *testing.T) {
	d := New()
	require.True(t, d.Apply("u", Entry{Revision: 5, Present: true}))
	require.True(t, d.Apply("u", Entry{Revision: 5}))
	require.False(t, d.Apply("u", Entry{Revision: 5}))
	require.True(t, d.Apply("u", Entry{Revision: 6, Present: true}), "a later registration must be applied")
}
