package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A router stops while an engine prefills a prompt. At the end of the grace
// period, 7.5 s after SIGTERM, the server was closed while its handlers ran.
// Three callers lost their connections without an answer, and so could not tell
// whether their requests had run on the engine.
func TestStopAnswersUnfinishedRequests(t *testing.T) {
	engine, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer engine.Close()
	reached := make(chan net.Conn, 1)
	go func() {
		conn, err := engine.Accept()
		if err == nil {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
		}
		reached <- conn
	}()
	router, stop := runRouter(t, engine.Addr().String(), 8, 4*time.Second)
	caller, err := net.Dial("tcp", router.callerListener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	_, err = io.WriteString(caller, "POST /a/ HTTP/1.1\r\nHost: h\r\nAttempt: x\r\nContent-Length: 5\r\n\r\nhello")
	require.NoError(t, err)
	defer (<-reached).Close()

	go stop()
	answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	require.Equal(t, http.StatusBadGateway, answer.StatusCode, "the request may have run")
	require.Empty(t, answer.Header.Get("Retry-After"))
	_, err = io.ReadAll(answer.Body)
	require.NoError(t, err)
}
