package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A router is told to stop while a caller's request comes in slowly: half of
// its head is there, the rest follows when the router takes no connections any
// more and only waits for a page to end. The caller's connection was closed
// without an answer, and no log line named the request: http.Server.Shutdown
// closes a connection whose next request it has read, and calls no handler. On
// a day with two stops of each router 25 tries ended so from 3.0 s after a
// SIGTERM on, beside 5 that were refused with 2005.
func TestStoppingEdgeAnswersPartlyReadRequest(t *testing.T) {
	_, e, routers := startEdgeFleet(t)
	r := routers[0]
	heldStatus := make(chan int, 1)
	go func() { heldStatus <- r.postStatus(t, heldPage, "k1") }()
	<-e.started
	slowConn, err := net.Dial("tcp", r.callerAddress)
	require.NoError(t, err)
	defer slowConn.Close()
	_, err = fmt.Fprint(slowConn, "GET /pages/now HTTP/1.1\r\nHost: h.example\r\n")
	require.NoError(t, err)

	r.terminate()
	await(t, func() bool { return !acceptsConnections(r.callerAddress) })
	_, err = fmt.Fprint(slowConn, "Authorization: Bearer k1\r\nAttempt-Id: a1\r\n\r\n")
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(slowConn), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
	require.True(t, answer.Close)

	e.release <- struct{}{}
	require.Equal(t, http.StatusOK, <-heldStatus)
	<-r.done
	require.NoError(t, r.err)
}

func acceptsConnections(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Operators stop a router and lose patience: they ask again and again until it
// is gone. It ended by the signal and not by itself when one came within its
// last milliseconds, so that its exit code told of a failure and its last log
// lines were missing: it had stopped to listen for signals before it had written
// them.
func TestStopIgnoresFurtherSignals(t *testing.T) {
	_, e, routers := startEdgeFleet(t)
	r := routers[0]
	heldStatus := make(chan int, 1)
	go func() { heldStatus <- r.postStatus(t, heldPage, "k1") }()
	<-e.started
	r.terminate()
	await(t, func() bool { return !acceptsConnections(r.callerAddress) })
	e.release <- struct{}{}
	terminateUntilExit(t, r.process)
	require.Equal(t, http.StatusOK, <-heldStatus)

	f := newFleet(t)
	f.writeRoot()
	terminateUntilExit(t, f.startRouter("router-1", "sala-laredo").process)
}

// terminateUntilExit asks a router to stop without a pause.
func terminateUntilExit(t *testing.T, p *process) {
	t.Helper()
	for {
		select {
		case <-p.done:
			require.NoError(t, p.err)
			return
		default:
			p.terminate()
		}
	}
}
