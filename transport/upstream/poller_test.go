package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
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

// TestPollerFollowsItsTargets polls a changing set of upstreams and checks that
// reports and failures are distinguished. A report under another upstream's
// name is a failure.
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

// An engine sends invalid reports and gets no requests. Operators who search
// for the reason must find one log line, not four thousand an hour.
func TestRejectedReportsAreLoggedOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"upstream":"u","boot":"1","running":-1}`))
	}))
	defer server.Close()
	var log strings.Builder
	events := make(chan scheduler.Event)
	p := NewPoller(PollerOptions{
		Log:  zerolog.New(&log),
		Wait: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	}, func(ev scheduler.Event) {
		select {
		case events <- ev:
		case <-t.Context().Done():
		}
	})
	p.SetTargets([]Target{{Upstream: "u", BaseURL: server.URL}})
	for range 3 {
		require.Equal(t, scheduler.Unreachable{Upstream: "u"}, <-events)
	}
	p.SetTargets(nil)
	go func() {
		for range events {
		}
	}()
	p.Close()
	close(events)
	require.Equal(t, 1, strings.Count(log.String(), "load_report_missing"), log.String())
	require.Contains(t, log.String(), "negative count")
}
