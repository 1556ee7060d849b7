package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

func loadServer(t *testing.T, name state.Upstream) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/load" {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(state.LoadReport{Upstream: name, Boot: "b1", Slots: 4})
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// TestPollerFollowsItsTargets polls a changing set and tells reports from
// failures, a report under another upstream's name among them.
func TestPollerFollowsItsTargets(t *testing.T) {
	events := make(chan scheduler.Event)
	rounds := make(chan struct{})
	poller := NewPoller(PollerOptions{Wait: func(ctx context.Context, d time.Duration) error {
		require.InDelta(t, float64(PollInterval), float64(d), pollJitter*float64(PollInterval))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rounds:
			return nil
		}
	}}, func(e scheduler.Event) { events <- e })
	defer poller.Close()
	url := loadServer(t, "worker-1")

	poller.SetTargets([]Target{{Upstream: "worker-1", BaseURL: url}})
	want := scheduler.Reported{Report: state.LoadReport{Upstream: "worker-1", Boot: "b1", Slots: 4}}
	require.Equal(t, want, <-events)
	rounds <- struct{}{}
	require.Equal(t, want, <-events)

	poller.SetTargets([]Target{{Upstream: "worker-2", BaseURL: url}})
	require.Equal(t, scheduler.Unreachable{Upstream: "worker-2"}, <-events)
	poller.SetTargets([]Target{{Upstream: "worker-3", BaseURL: url + "/missing"}})
	require.Equal(t, scheduler.Unreachable{Upstream: "worker-3"}, <-events)
}
