package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/memory"
)

// Many callers send long bodies at once, and the router was killed for its
// memory. It has to refuse them before it reads their bodies, and serve callers
// with short ones.
func TestBodiesShareTheMemory(t *testing.T) {
	const limit = 64 << 10
	for name, length := range map[string]int64{"with a length": 0, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, writeText(completeAnswer(200, "page")))
			d := newHandlerFixture(t, nonIdempotentRoute, u)
			d.handler.BodyMemory = memory.NewBudget(limit)
			send := func(body io.Reader) (int, http.Header) {
				request := d.request(t, context.Background(), "")
				request.Body, request.ContentLength = io.NopCloser(body), length
				if text, ok := body.(*strings.Reader); ok && length == 0 {
					request.ContentLength = int64(text.Len())
				}
				response, err := http.DefaultClient.Do(request)
				require.NoError(t, err)
				defer response.Body.Close()
				return response.StatusCode, response.Header
			}
			require.True(t, d.handler.BodyMemory.TryReserve(limit-1000))
			status, header := send(strings.NewReader(strings.Repeat("x", limit/2)))
			require.Equal(t, http.StatusTooManyRequests, status)
			require.Equal(t, "no", header.Get("Figstile-Ran"))
			require.NotEmpty(t, header.Get("Retry-After"))
			status, _ = send(strings.NewReader("short"))
			require.Equal(t, http.StatusOK, status)
			d.handler.BodyMemory.Release(limit - 1000)
			status, _ = send(strings.NewReader(strings.Repeat("x", limit/4)))
			require.Equal(t, http.StatusOK, status)
			require.Eventually(t, func() bool { return d.handler.BodyMemory.Held() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// A caller stops reading a long answer and keeps its connection open. The router
// held the connection, and what had arrived of the answer, for as long.
func TestCallerThatDoesNotReadIsLeftAfterTheDeadline(t *testing.T) {
	u := startUpstream(t, writeText(completeAnswer(200, strings.Repeat("page", 8<<20))))
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	request := d.request(t, context.Background(), "")
	request.Header.Set("Deadline", "100ms")
	caller, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	require.NoError(t, err)
	defer caller.Close()
	require.NoError(t, request.Write(caller))
	require.Eventually(t, func() bool { return d.handler.Running() == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return d.handler.Running() == 0 }, 10*time.Second, time.Millisecond)
}

// The limit for one answer must not end the next one on the connection.
func TestWriteDeadlineEndsWithItsRequest(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Wait") != "" {
			time.Sleep(unreadLimit + 200*time.Millisecond)
		}
		_, _ = conn.Write([]byte(completeAnswer(200, "page")))
	})
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	for _, wait := range []string{"", "1"} {
		request := d.request(t, context.Background(), "hello")
		request.Header.Set("Deadline", "100ms")
		if wait != "" {
			request.Header.Set("Deadline", "10s")
			request.Header.Set("Wait", wait)
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		body, err := bodyOf(t, response)
		require.NoError(t, err)
		require.Equal(t, "page", body)
		_ = response.Body.Close()
	}
}

// A route whose streams cannot resume begins at the first event, whatever event
// its caller names.
func TestCallersLastEventOnARouteThatCannotResume(t *testing.T) {
	u := startUpstream(t, writeText(completeStream(1, 2)))
	d := newHandlerFixture(t, nonResumableRoute, u)
	request := d.request(t, context.Background(), "hello")
	request.Header.Set("Last-Event", "7")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, event(1)+event(2), body)
}
