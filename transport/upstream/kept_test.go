package upstream

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStatedIdleTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=10":          10 * time.Second,
		"max=5, Timeout=7":    7 * time.Second,
		"timeout=0":           0,
		"timeout=-3":          0,
		"timeout=99999999999": 0,
		"":                    0,
	} {
		got, ok := statedIdleTime(value)
		require.Equal(t, want > 0, ok, value)
		if ok {
			require.Equal(t, want, got, value)
		}
	}
}

func statement(seconds int) http.Header {
	return http.Header{"Keep-Alive": {fmt.Sprintf("timeout=%d", seconds)}}
}

// Connections are kept for a part of the time that each upstream states. A lost
// connection and an answer without a statement return to the default.
func TestIdleConnectionsAreKeptAsStated(t *testing.T) {
	k := newKeptConnections(ClientOptions{KeepIdle: 2 * time.Second}.withDefaults())
	idle := func() time.Duration { return k.transportTo("http://u").IdleConnTimeout }
	require.Equal(t, 2*time.Second, idle())
	k.recordAnswer("http://u", statement(10))
	require.Equal(t, 6*time.Second, idle())
	require.Equal(t, 6*time.Second, k.transportTo("http://other").IdleConnTimeout, "the same is assumed for others")
	k.recordLoss("http://u")
	require.Equal(t, 2*time.Second, idle())
	k.recordAnswer("http://u", statement(1))
	require.Equal(t, time.Second, idle())
	k.recordAnswer("http://u", statement(3600))
	require.Equal(t, maxKeepIdle, idle())
	require.Equal(t, time.Second, k.transportTo("http://other").IdleConnTimeout, "the shortest statement is assumed")
	k.recordAnswer("http://u", http.Header{})
	require.Equal(t, 2*time.Second, idle())
	require.LessOrEqual(t, len(k.transports), 4)
}

// An upstream that states nothing may be of the same kind as those that have not
// answered yet, so that the default is assumed for these.
func TestAnswerWithoutAStatementLimitsTheAssumedIdleTime(t *testing.T) {
	k := newKeptConnections(ClientOptions{KeepIdle: 2 * time.Second}.withDefaults())
	k.recordAnswer("http://u", statement(10))
	k.recordAnswer("http://v", http.Header{})
	require.Equal(t, 6*time.Second, k.transportTo("http://u").IdleConnTimeout)
	require.Equal(t, 2*time.Second, k.transportTo("http://other").IdleConnTimeout)
}

func TestStatementsAreBounded(t *testing.T) {
	k := newKeptConnections(ClientOptions{}.withDefaults())
	for i := range maxStatedUpstreams + 10 {
		k.recordAnswer(fmt.Sprint(i), statement(10))
	}
	require.LessOrEqual(t, len(k.keepIdle), maxStatedUpstreams)
}

// Guards against a new connection for each request to an upstream that gets few
// requests, although the upstream keeps connections for longer than the default.
func TestConnectionIsReusedAfterTheDefaultIdleTime(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=10")
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := NewClient(ClientOptions{KeepIdle: time.Millisecond})
	defer client.Close()
	for range 4 {
		answer, err := client.Send(t.Context(), Attempt{BaseURL: server.URL, Target: "/", Method: http.MethodGet})
		require.NoError(t, err)
		answer.Close()
	}
	require.EqualValues(t, 2, connections.Load(), "the first connection was opened before the upstream stated its idle time")
}
