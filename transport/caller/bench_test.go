package caller

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/upstream"
)

var benchEvent = []byte(`data: {"id":"chatcmpl-1","object":"chat.completion.chunk","model":"guide","choices":[{"index":0,"delta":{"content":"valley "},"finish_reason":null}],"usage":null}` + "\n\n")

// BenchmarkScanToken measures the cost of scanning and counting one token
// event.
func BenchmarkScanToken(b *testing.B) {
	var s eventScanner
	b.ReportAllocs()
	b.SetBytes(int64(len(benchEvent)))
	for b.Loop() {
		s.feed(benchEvent)
	}
}

// immediateScheduler dispatches each request at once.
type immediateScheduler struct{}

func (immediateScheduler) NextID() state.RequestID { return 1 }

func (immediateScheduler) Submit(scheduler.Request) <-chan scheduler.Action {
	actions := make(chan scheduler.Action, 1)
	actions <- scheduler.Dispatch{ID: 1, Upstream: "one", Attempt: 1}
	return actions
}

func (immediateScheduler) Withdraw(state.RequestID)                                 {}
func (immediateScheduler) ReportProgress(state.RequestID, state.Cost)               {}
func (immediateScheduler) ReportEnd(state.RequestID, state.Cost, scheduler.Outcome) {}

// discardResponseWriter stands for a caller that reads the whole answer without
// delay.
type discardResponseWriter struct{ header http.Header }

func (d *discardResponseWriter) Header() http.Header         { return d.header }
func (d *discardResponseWriter) WriteHeader(int)             {}
func (d *discardResponseWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardResponseWriter) Flush()                      {}

func (d *discardResponseWriter) SetReadDeadline(time.Time) error  { return nil }
func (d *discardResponseWriter) SetWriteDeadline(time.Time) error { return nil }

func benchHandler(b *testing.B, worker http.HandlerFunc) (*Handler, string) {
	b.Helper()
	up := httptest.NewServer(worker)
	b.Cleanup(up.Close)
	client := upstream.NewClient(upstream.ClientOptions{})
	b.Cleanup(client.Close)
	ups := []config.Upstream{{Name: "one", URL: up.URL}}
	view := fakeView{services: map[state.Service]config.Service{
		"pages":  {Name: "pages", Kind: config.KindWorker, Repeatable: true, Upstreams: ups},
		"drafts": {Name: "drafts", Kind: config.KindEngine, Repeatable: true, Upstreams: ups},
	}}
	return NewHandler(Options{Router: "r", Scheduler: immediateScheduler{}, Settings: view, Client: client, Log: zerolog.Nop()}), up.URL
}

func benchRequest(method, path, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	return r
}

func servePage(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "a map") }

// BenchmarkPage sends one short request through the handler. BenchmarkPagePlain
// runs the same exchange directly against the upstream; the difference between
// the two is the cost of the router.
func BenchmarkPage(b *testing.B) {
	h, _ := benchHandler(b, servePage)
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(&discardResponseWriter{header: http.Header{}}, benchRequest(http.MethodGet, "/pages/map", ""))
	}
}

func BenchmarkPagePlain(b *testing.B) {
	_, url := benchHandler(b, servePage)
	transport := &http.Transport{}
	b.Cleanup(transport.CloseIdleConnections)
	b.ReportAllocs()
	for b.Loop() {
		_ = benchRequest(http.MethodGet, "/pages/map", "")
		req, err := http.NewRequest(http.MethodGet, url+"/map", nil)
		require.NoError(b, err)
		resp, err := transport.RoundTrip(req)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// BenchmarkStream relays streams of two lengths. The difference between the two
// results, divided by the difference in tokens, is the cost of one token.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{10, 1010} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			draft := append(bytes.Repeat(benchEvent, tokens), "data: [DONE]\n\n"...)
			h, _ := benchHandler(b, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for rest := draft; len(rest) > 0; {
					n := min(len(benchEvent), len(rest))
					_, _ = w.Write(rest[:n])
					_ = http.NewResponseController(w).Flush()
					rest = rest[n:]
				}
			})
			b.ReportAllocs()
			for b.Loop() {
				h.ServeHTTP(&discardResponseWriter{header: http.Header{}}, benchRequest(http.MethodPost, "/drafts/v1/chat/completions", chatBody))
			}
		})
	}
}
