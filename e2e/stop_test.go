package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A router is stopped while a caller's request arrives slowly. It must refuse the request
// even if it accepts no connections any more. http.Server.Shutdown closed such
// connections without calling a handler: in two stops of each router, 25 requests from
// 3.0 s after SIGTERM got no answer and no log line, next to 5 refused with result 2005.
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

// acceptsConnections reports whether a TCP connection to the address can be
// opened.
func acceptsConnections(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// An operator repeats the stop signal until the process ends, which must still
// exit with code 0. It used to stop catching signals before it had written its
// last log lines, so a signal in its last milliseconds killed it and the lines
// were missing.
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

// terminateUntilExit sends stop signals without a pause until the process ends.
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
