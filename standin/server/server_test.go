package server

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/platform"
	"github.com/figstile/figstile/transport/ingress"
)

func send(t *testing.T, ctx context.Context, url, attempt string, to ingress.Outbound) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	require.NoError(t, err)
	platform.SetCallerHeaders(request.Header, platform.CallerHeaders{Attempt: attempt, Deadline: time.Second})
	platform.Dialect{}.Outbound(request.Header, to)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func TestServerRunsRejectsAndKeepsALedger(t *testing.T) {
	s := New(Options{ID: "u", Slots: 1})
	httpServer := httptest.NewServer(s)
	defer httpServer.Close()
	to := ingress.Outbound{Upstream: "u", Workspace: "w", Deadline: time.Second}
	response := send(t, context.Background(), httpServer.URL, "a", to)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, Page("a"), string(body))
	require.Equal(t, ingress.AnswerHead{Signed: true}, platform.Dialect{}.Answer(response.StatusCode, response.Header))

	to.Upstream = "another"
	response = send(t, context.Background(), httpServer.URL, "b", to)
	require.True(t, platform.Dialect{}.Answer(response.StatusCode, response.Header).NotRun)

	runs := s.Runs()
	require.Len(t, runs, 1)
	require.Equal(t, "a", runs[0].Attempt)
	require.EqualValues(t, "w", runs[0].Workspace)
	require.True(t, runs[0].Whole)
	require.False(t, s.Leaked())
}

func TestHeldStreamEndsWithItsCaller(t *testing.T) {
	s := New(Options{ID: "u", Slots: 1, Events: 3})
	httpServer := httptest.NewServer(s)
	defer httpServer.Close()
	ctx, cancel := context.WithCancel(context.Background())
	response := send(t, ctx, httpServer.URL+HeldPath, "a", ingress.Outbound{Upstream: "u", Deadline: time.Second})
	first := make([]byte, len(Event("a", 1)))
	_, err := io.ReadFull(response.Body, first)
	require.NoError(t, err)
	require.Equal(t, Event("a", 1), string(first))
	cancel()
	require.Eventually(t, func() bool {
		runs := s.Runs()
		return runs[0].Ended && !runs[0].Whole
	}, 5*time.Second, time.Millisecond)
}
