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
	platform.Dialect{}.SetUpstreamHeaders(request.Header, to)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func TestServerRunsRejectsAndRecordsRequests(t *testing.T) {
	s := New(Options{ID: "u", Slots: 1})
	httpServer := httptest.NewServer(s)
	defer httpServer.Close()
	to := ingress.Outbound{Upstream: "u", Workspace: "w", Deadline: time.Second}
	response := send(t, context.Background(), httpServer.URL, "a", to)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, AnswerBody("a"), string(body))
	require.Equal(t, ingress.AnswerHead{Signed: true}, platform.Dialect{}.ParseAnswerHeaders(response.StatusCode, response.Header))

	to.Upstream = "another"
	response = send(t, context.Background(), httpServer.URL, "b", to)
	require.True(t, platform.Dialect{}.ParseAnswerHeaders(response.StatusCode, response.Header).NotRun)

	runs := s.Runs()
	require.Len(t, runs, 1)
	require.Equal(t, "a", runs[0].Attempt)
	require.EqualValues(t, "w", runs[0].Workspace)
	require.True(t, runs[0].Complete)
	require.False(t, s.ReceivedCallerKey())
}

func TestHeldStreamEndsWithItsCaller(t *testing.T) {
	s := New(Options{ID: "u", Slots: 1, EventCount: 3})
	httpServer := httptest.NewServer(s)
	defer httpServer.Close()
	ctx, cancel := context.WithCancel(context.Background())
	response := send(t, ctx, httpServer.URL+HeldStreamPath, "a", ingress.Outbound{Upstream: "u", Deadline: time.Second})
	first := make([]byte, len(EventText("a", 1)))
	_, err := io.ReadFull(response.Body, first)
	require.NoError(t, err)
	require.Equal(t, EventText("a", 1), string(first))
	cancel()
	require.Eventually(t, func() bool {
		runs := s.Runs()
		return runs[0].Ended && !runs[0].Complete
	}, 5*time.Second, time.Millisecond)
}
