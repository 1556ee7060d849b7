package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller disconnects while its request waits for the CPU. The close has
// arrived in the kernel, but the process has not read it yet. The request must
// not be sent to an upstream.
func TestClosedCallerConnectionIsDetected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request = request.WithContext(withConn(context.Background(), conn))

	require.False(t, callerClosed(request))
	_, err = io.WriteString(caller, "another request")
	require.NoError(t, err)
	require.Never(t, func() bool { return callerClosed(request) }, 50*time.Millisecond, 10*time.Millisecond)
	first := make([]byte, len("another request"))
	_, err = io.ReadFull(conn, first)
	require.NoError(t, err)
	require.Equal(t, "another request", string(first), "peeking does not consume bytes")
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return callerClosed(request) }, time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	require.True(t, callerClosed(request), "the connection is closed at this end")
	require.False(t, callerClosed(httptest.NewRequest(http.MethodGet, "/", nil)), "the request has no connection")
}
