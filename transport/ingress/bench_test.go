package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/upstream"
)

// benchEvents is the number of events of a typical stream in large deployments.
const benchEvents = 60

// BenchmarkStream relays a whole stream through the handler. The upstream and
// the caller are plain loops over sockets, so most of the time is the router's:
// 0.36 ms for a request of sixty events, most of it in system calls.
func BenchmarkStream(b *testing.B) {
	address := startRawEngine(b)
	dispatcher := newScriptedDispatcher(benchTable())
	dispatcher.add("u", address)
	server := httptest.NewServer(NewHandler(Options{
		Dialect:    plainDialect{},
		Dispatcher: dispatcher,
		Client:     upstream.NewClient(upstream.ClientOptions{EchoHeader: "Attempt"}),
		Log:        zerolog.Nop(),
		Now:        time.Now,
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(b, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(conn, "POST /a/ HTTP/1.1\r\nHost: h\r\nAttempt: x\r\nContent-Length: 5\r\n\r\nhello")
		require.NoError(b, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(b, err)
	}
}

func benchTable() *routing.Table {
	return routing.NewTable(routing.Config{
		Version:  1,
		Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/a/", Kind: routing.Stream, Backends: []routing.Backend{{Service: "s", Weight: 1}}, MaxAttempts: 1, Public: true}},
		Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 1000}}},
	})
}

// startRawEngine starts an engine that answers each request with a stream and
// writes its events one by one.
func startRawEngine(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	var events []string
	for id := range benchEvents {
		events = append(events, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 59))))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, events)
		}
	}()
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, events []string) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: 1\r\nAttempt: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, event := range events {
			if _, err := io.WriteString(conn, event); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}
