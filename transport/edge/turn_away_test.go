package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/transport/problem"
)

// listenFull returns the address of a listener without capacity that turns
// requests away.
func listenFull(t *testing.T, p *pressure) string {
	t.Helper()
	applyLoad(p, 1)
	listener, err := listenCallers("127.0.0.1:0", p, newTurnAway(&fakePlatform{}), zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
			t.Error("a connection was admitted")
		}
	}()
	return listener.Addr().String()
}

func exchangeText(t *testing.T, address, request string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

// Guards against callers that give up because a full router does not accept
// their connection, although another router would serve them.
func TestFullRouterRefusesWithATimeToRetry(t *testing.T) {
	address := listenFull(t, newPressure(0, smallVMCores, time.Now))
	long := strings.Repeat("x", 60_000)
	for name, request := range map[string]string{
		"no body": "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"length":  "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + long,
		"chunked": "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n" + long + "\r\n0\r\n\r\n",
	} {
		response, body := exchangeText(t, address, request)
		require.Equal(t, http.StatusTooManyRequests, response.StatusCode, name)
		require.Equal(t, "no", response.Header.Get(problem.HeaderRan), name)
		require.True(t, response.Close, name)
		require.Contains(t, body, "too-many-requests", name)
	}
}

// A connection whose request is not readable gets no answer: nothing may claim
// to be one.
func TestUnreadableRequestIsNotAnswered(t *testing.T) {
	address := listenFull(t, newPressure(0, smallVMCores, time.Now))
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "what\r\n\r\n")
	require.NoError(t, err)
	answer, _ := io.ReadAll(conn)
	require.Empty(t, answer)
}

// Guards against a flooded router that spends all its CPU time on refusals.
func TestRefusingIsLimitedToAPartOfTheBudget(t *testing.T) {
	now := frozen()
	p := newPressure(0, smallVMCores, func() time.Time { return now })
	refused := 0
	for range 50 {
		for p.tryTurnAway() {
			refused++
		}
		require.False(t, p.canTurnAway())
		now = now.Add(100 * time.Millisecond)
	}
	require.InDelta(t, 0.25*0.85*smallVMCores*5/45e-6, refused, 300)
	require.Greater(t, p.cpuBudget.RemainingFraction(now), 0.5, "the rest is left for streams")
}
