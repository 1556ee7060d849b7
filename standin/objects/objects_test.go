package objects

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/platform"
	"github.com/figstile/figstile/transport/edge"
)

func startStore(t *testing.T) (*Store, *platform.Store) {
	t.Helper()
	s := New()
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		s.SetUnavailable(true)
		server.Close()
	})
	return s, platform.NewStore(server.Listener.Addr().String(), (&net.Dialer{}).DialContext)
}

func TestListAndWatch(t *testing.T) {
	s, client := startStore(t)
	ctx := context.Background()
	s.Put(edge.KindUpstream, "a", []byte(`{"x":1}`))
	s.Put(edge.KindConfig, "main", []byte(`{}`))
	listed, revision, err := client.List(ctx, edge.KindUpstream)
	require.NoError(t, err)
	require.Equal(t, []edge.Object{{Name: "a", Revision: 2, Spec: []byte(`{"x":1}`)}}, listed)

	noChanges, sameRevision, err := client.Watch(ctx, edge.KindUpstream, revision, 10*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, noChanges)
	require.Equal(t, revision, sameRevision)

	s.Remove(edge.KindUpstream, "a")
	changes, _, err := client.Watch(ctx, edge.KindUpstream, revision, time.Minute)
	require.NoError(t, err)
	require.Len(t, changes, 1)
	require.True(t, changes[0].Removed)
	listed, _, err = client.List(ctx, edge.KindUpstream)
	require.NoError(t, err)
	require.Empty(t, listed)
}

func TestUnavailableStoreRejectsCalls(t *testing.T) {
	s, client := startStore(t)
	s.SetUnavailable(true)
	_, _, err := client.List(context.Background(), edge.KindConfig)
	require.ErrorIs(t, err, edge.ErrUnavailable)
	_, _, err = client.Watch(context.Background(), edge.KindConfig, 99, time.Minute)
	require.ErrorIs(t, err, edge.ErrUnavailable)
}
