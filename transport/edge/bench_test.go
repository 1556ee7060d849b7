package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// benchCallers is the number of concurrent streams, as many as a router of
	// a large fleet relays.
	benchCallers = 200
	// benchEvents and benchEventGap are the number of events of a typical
	// stream and the time between two events.
	benchEvents   = 55
	benchEventGap = 5 * time.Millisecond
)

// BenchmarkRouter relays paced streams through a whole router: listeners,
// decisions, metrics and log lines. Its CPU time includes that of the callers
// and the upstream, which are plain loops over sockets.
func BenchmarkRouter(b *testing.B) {
	address := startRouter(b, startPacedEngine(b))
	work := make(chan struct{})
	var callers sync.WaitGroup
	for range benchCallers {
		callers.Go(func() { sendRequests(b, address, work) })
	}
	b.ReportAllocs()
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	callers.Wait()
}

func sendRequests(b *testing.B, address string, requests <-chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Error(err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range requests {
		_, _ = io.WriteString(conn, "POST /a/ HTTP/1.1\r\nHost: h\r\nAttempt: x\r\nContent-Length: 5\r\n\r\nhello")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// refusedBodyBytes is the body size of a request with a long prompt.
const refusedBodyBytes = 12_000

// BenchmarkRefusal refuses requests because the router is at capacity. Each
// request uses a new connection, as refused callers do when they retry. Its CPU
// time includes that of the caller, which is a plain loop over sockets.
func BenchmarkRefusal(b *testing.B) {
	for name, size := range map[string]int{"short": 5, "long": refusedBodyBytes} {
		b.Run(name, func(b *testing.B) {
			address := startRouterWithFiles(b, startPacedEngine(b), reservedFiles+1)
			request := fmt.Sprintf("POST /a/ HTTP/1.1\r\nHost: h\r\nAttempt: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			require.Equal(b, http.StatusTooManyRequests, callOnce(b, address, request))
			b.ReportAllocs()
			for b.Loop() {
				_ = callOnce(b, address, request)
			}
		})
	}
}

// callOnce sends a request on a new connection and returns its status.
func callOnce(b *testing.B, address, request string) int {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	require.NoError(b, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(b, err)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func startRouter(b *testing.B, engine string) string {
	b.Helper()
	return startRouterWithFiles(b, engine, testMaxFiles)
}

// startRouterWithFiles starts a router whose process may open at most maxFiles
// descriptors.
func startRouterWithFiles(b *testing.B, engine string, maxFiles int) string {
	b.Helper()
	router, _ := runRouterWithFiles(b, engine, 2*benchCallers, time.Second, maxFiles)
	return router.callerListener.Addr().String()
}

// startPacedEngine starts an engine that answers each request with events at a
// constant interval.
func startPacedEngine(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	event := fmt.Sprintf("%x\r\nid: 1\ndata: %s\n\n\r\n", 13+60, strings.Repeat("x", 60-1))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go servePaced(conn, event)
		}
	}()
	return listener.Addr().String()
}

func servePaced(conn net.Conn, event string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	ticker := time.NewTicker(benchEventGap)
	defer ticker.Stop()
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range benchEvents {
			<-ticker.C
			if _, err := io.WriteString(conn, event); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}
