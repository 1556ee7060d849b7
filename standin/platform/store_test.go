package platform

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/objectstore/objectstoretest"
)

func TestStoreConforms(t *testing.T) {
	objectstoretest.Run(t, func(*testing.T) objectstore.Store { return NewStore(StoreOptions{}) })
}

func TestWatchBeyondHistoryIsTooOld(t *testing.T) {
	store := NewStore(StoreOptions{History: 2})
	version := objectstore.Version(0)
	for range 4 {
		var err error
		version, err = store.Put(t.Context(), "a", nil, version)
		require.NoError(t, err)
	}
	_, _, err := store.Watch(t.Context(), "a", 1)
	require.ErrorIs(t, err, objectstore.ErrTooOld)
	objects, _, err := store.Watch(t.Context(), "a", 2)
	require.NoError(t, err)
	require.Len(t, objects, 1)
}
