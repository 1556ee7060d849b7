package platform

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/upstream"
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

// The development fleet controls the platform from another process, so faults
// and VMs must be changeable over HTTP.
func TestControlOverHTTP(t *testing.T) {
	p := New(Options{})
	url, stop, err := p.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer stop()
	control := func(method, path, body string) int {
		status, _, err := upstream.Control(t.Context(), http.DefaultClient, method, url+path, body)
		require.NoError(t, err)
		return status
	}
	require.Equal(t, http.StatusOK, control(http.MethodPut, "/v1/vms/vm1", `{"role":"router"}`))
	require.Equal(t, http.StatusOK, control(http.MethodPost, "/v1/faults", `{"outage":"refuse"}`))
	require.Equal(t, http.StatusServiceUnavailable, control(http.MethodGet, "/v1/vms", ""))
	require.Equal(t, http.StatusOK, control(http.MethodPost, "/v1/faults", `{}`))
	vms, err := p.Store().VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, []objectstore.VM{{Name: "vm1", Role: "router"}}, vms)
	require.Equal(t, http.StatusNoContent, control(http.MethodDelete, "/v1/vms/vm1", ""))
	require.Equal(t, http.StatusBadRequest, control(http.MethodGet, "/v1/watch?after=x", ""))
	require.EqualValues(t, 2, p.Calls().Total())
}
