package ingress

import (
	"context"
	"io"
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
