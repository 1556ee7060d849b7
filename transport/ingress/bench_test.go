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

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/upstream"
)

// benchEvents is the length of a usual stream of the large deployments.
const benchEvents = 60

// BenchmarkStream measures a whole stream through the handler; the upstream
// and the caller are plain loops over sockets, so that most of the time is the
// router's: 0.36 ms for a request of sixty events, most of it system calls.
func BenchmarkStream(b *testing.B) {
	address := startRawEngine(b)
	server := httptest.NewServer(NewHandler(Options{
		Dialect: plainDialect{},
		Desk:    &fixedDesk{address: address, table: benchTable()},
		Client:  upstream.NewClient(upstream.ClientOptions{EchoHeader: "Attempt"}),
		Log:     zerolog.Nop(),
		Now:     time.Now,
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

// startRawEngine answers each request with a stream whose events are written
// one by one.
func startRawEngine(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	event := fmt.Sprintf("%x\r\nid: 1\ndata: %s\n\n\r\n", 13+60, strings.Repeat("x", 60-1+0))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, event)
		}
	}()
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, event string) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range benchEvents {
			if _, err := io.WriteString(conn, event); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// plainDialect spells the few fields that tests need.
type plainDialect struct{}

func (plainDialect) Inbound(header http.Header) (Inbound, error) {
	in := Inbound{Attempt: header.Get("Attempt"), Key: header.Get("Key"), LastEvent: header.Get("Last-Event")}
	if text := header.Get("Deadline"); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil {
			return Inbound{}, err
		}
		in.Deadline = deadline
	}
	return in, nil
}

func (plainDialect) Outbound(header http.Header, out Outbound) {
	header.Del("Key")
	header.Set("Upstream", string(out.Upstream))
	if out.Workspace != "" {
		header.Set("Workspace", string(out.Workspace))
	}
	if out.LastEvent != "" {
		header.Set("Last-Event", out.LastEvent)
	}
}

func (plainDialect) Answer(_ int, header http.Header) AnswerHead {
	return AnswerHead{Signed: header.Get("Signed") != "", NotRun: header.Get("Not-Run") != ""}
}

func (plainDialect) SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

func (plainDialect) AttemptHeader() string { return "Attempt" }

// fixedDesk sends everything to one address.
type fixedDesk struct {
	address string
	table   *routing.Table
}

func (d *fixedDesk) Table() *routing.Table { return d.table }
func (d *fixedDesk) Current() bool         { return true }
func (d *fixedDesk) Admit(r admission.Request, _ bool) (admission.Verdict, *placement.Ticket) {
	estimate := placement.Estimate{Upstream: "u", Address: d.address}
	picture := placement.New("dc")
	picture.SetUpstream(directory.Upstream{ID: "u", Address: d.address, Service: r.Service})
	return admission.Verdict{Estimate: estimate}, picture.Place(time.Now(), r.Work, estimate)
}
func (d *fixedDesk) Watch(*placement.Ticket, func())                     {}
func (d *fixedDesk) Output(*placement.Ticket, bool)                      {}
func (d *fixedDesk) Told(*placement.Ticket, Load)                        {}
func (d *fixedDesk) End(*placement.Ticket, placement.Outcome)            {}
func (d *fixedDesk) Repeat(state.Service) bool                           { return true }
func (d *fixedDesk) Elapsed(*routing.Route, time.Duration) time.Duration { return 0 }
func (d *fixedDesk) Blocked(state.Fingerprint) bool                      { return false }
func (d *fixedDesk) Lost(state.Fingerprint, *placement.Ticket)           {}
func (d *fixedDesk) Served(state.Fingerprint)                            {}
func (d *fixedDesk) Draining() bool                                      { return false }
func (d *fixedDesk) Closing() bool                                       { return false }
