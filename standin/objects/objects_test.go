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

func open(t *testing.T) (*Store, *platform.Store) {
	t.Helper()
	s := New()
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		s.SetAway(true)
		server.Close()
	})
	return s, platform.NewStore(server.Listener.Addr().String(), (&net.Dialer{}).DialContext)
}

func TestListAndWatch(t *testing.T) {
	s, client := open(t)
	ctx := context.Background()
	s.Put(edge.KindUpstream, "a", []byte(`{"x":1}`))
	s.Put(edge.KindConfig, "main", []byte(`{}`))
	listed, at, err := client.List(ctx, edge.KindUpstream)
	require.NoError(t, err)
	require.Equal(t, []edge.Object{{Name: "a", Revision: 2, Spec: []byte(`{"x":1}`)}}, listed)

	none, again, err := client.Watch(ctx, edge.KindUpstream, at, 10*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, none)
	require.Equal(t, at, again)

	s.Remove(edge.KindUpstream, "a")
	changes, _, err := client.Watch(ctx, edge.KindUpstream, at, time.Minute)
	require.NoError(t, err)
	require.Len(t, changes, 1)
	require.True(t, changes[0].Removed)
	listed, _, err = client.List(ctx, edge.KindUpstream)
	require.NoError(t, err)
	require.Empty(t, listed)
}

func TestStoreThatIsAwayRefuses(t *testing.T) {
	s, client := open(t)
	s.SetAway(true)
	_, _, err := client.List(context.Background(), edge.KindConfig)
	require.ErrorIs(t, err, edge.ErrUnavailable)
	_, _, err = client.Watch(context.Background(), edge.KindConfig, 99, time.Minute)
	require.ErrorIs(t, err, edge.ErrUnavailable)
}
