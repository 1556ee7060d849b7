package objects

import (
	"context"
	"net"
	"net/http"
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
	return s, platform.NewStore(server.Listener.Addr().String(), 0, (&net.Dialer{}).DialContext)
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

// blockedWriter is the answer to a caller that does not read.
type blockedWriter struct {
	*httptest.ResponseRecorder
	began, release chan struct{}
}

func (w blockedWriter) Write(p []byte) (int, error) {
	close(w.began)
	<-w.release
	return len(p), nil
}

// A caller that stands still does not read its answer. The store must go on
// answering all others.
func TestCallerThatDoesNotReadDelaysNobody(t *testing.T) {
	store := New()
	request := func() *http.Request { return httptest.NewRequest(http.MethodGet, "/objects/servers", nil) }
	blocked := blockedWriter{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	go store.ServeHTTP(blocked, request())
	<-blocked.began
	answered := make(chan struct{})
	go func() {
		store.ServeHTTP(httptest.NewRecorder(), request())
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(time.Minute):
		t.Fatal("no answer while another caller does not read")
	}
	close(blocked.release)
}
