package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/daemon"

	standin "github.com/figstile/figstile/standin/upstream"
)

// routerBenchmark is one router with one engine, both in this process.
type routerBenchmark struct {
	directURL, routedURL string
	client               *http.Client
}

func newRouterBenchmark(b *testing.B, tokenDelay time.Duration) *routerBenchmark {
	b.Helper()
	e := engine.New(engine.Options{Options: standin.Options{Name: "engine-1", Slots: 1024}, TokenDelay: tokenDelay})
	engineURL, stop, err := e.Start("127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(stop)
	p := platform.New(platform.Options{})
	platformURL, stopPlatform, err := p.Start("127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(stopPlatform)
	put := func(key string, object any) {
		value, err := json.Marshal(object)
		require.NoError(b, err)
		_, err = p.Store().Put(b.Context(), key, value, 0)
		require.NoError(b, err)
	}
	digest := func(token string) []string { return []string{config.DigestOf(token).String()} }
	put(config.TeamKey("costa"), config.Subtree{Team: "costa", Workspaces: []config.Workspace{{Name: "laredo", Weight: 1, Tokens: digest("caller")}}})
	put(config.RootKey, config.Root{
		OperatorTokens: digest("operator"),
		Teams:          []config.TeamShare{{Name: "costa", Share: 1, Tokens: digest("team")}},
		Services: []config.Service{{
			Name: "drafts", Kind: config.KindEngine, Repeatable: true,
			Upstreams: []config.Upstream{{Name: "engine-1", URL: engineURL, DataCentre: "sala-laredo"}},
		}},
	})
	d, err := daemon.New(daemon.Options{
		Router: "router-1", DataCentre: "sala-laredo", Fleet: "figstile", Platform: platformURL,
		Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		MaxConnections: 20_000, MaxHeaderBytes: 32 << 10, MaxQueued: 50_000, MaxQueuedBytes: 256 << 20,
	}, zerolog.Nop())
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = d.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	bn := &routerBenchmark{
		directURL: engineURL + "/v1/chat/completions",
		routedURL: "http://" + d.Addresses().Callers + "/drafts/v1/chat/completions",
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
	require.Eventually(b, func() bool { return bn.stream(bn.routedURL, 1).status == http.StatusOK }, 10*time.Second, 10*time.Millisecond)
	return bn
}

// streamTimes holds the times that a caller measures on one stream.
type streamTimes struct {
	status     int
	firstToken time.Duration
	gaps       []time.Duration
	tokens     int
}

func (bn *routerBenchmark) stream(url string, tokens int) streamTimes {
	body := `{"stream":true,"figstile_tokens":` + strconv.Itoa(tokens) + `,"messages":[{"role":"user","content":"Laredo in spring"}]}`
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return streamTimes{}
	}
	req.Header.Set("Authorization", "Bearer caller")
	req.Header.Set("Content-Type", "application/json")
	startedAt := time.Now()
	resp, err := bn.client.Do(req)
	if err != nil {
		return streamTimes{}
	}
	defer resp.Body.Close()
	s := streamTimes{status: resp.StatusCode}
	lastAt := startedAt
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if bytes.Contains(line, []byte(`"content"`)) {
			now := time.Now()
			s.tokens++
			if s.tokens == 1 {
				s.firstToken = now.Sub(startedAt)
			} else {
				s.gaps = append(s.gaps, now.Sub(lastAt))
			}
			lastAt = now
		}
		if err != nil {
			break
		}
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return s
}

// streamSamples collects the times of many streams.
type streamSamples struct {
	mu                sync.Mutex
	firstTokens, gaps []time.Duration
}

func (t *streamSamples) add(s streamTimes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstTokens = append(t.firstTokens, s.firstToken)
	t.gaps = append(t.gaps, s.gaps...)
}

func quantile(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[int(q*float64(len(list)-1))].Microseconds())
}

// BenchmarkAddedTime streams through the router and directly from the engine.
// Half of the streams use the router first and half the engine first, so that
// both see the same conditions on the machine. The difference is the time that
// the router adds.
func BenchmarkAddedTime(b *testing.B) {
	const (
		tokens     = 20
		tokenDelay = 2 * time.Millisecond
	)
	for _, streams := range []int{1, 64} {
		b.Run("streams="+strconv.Itoa(streams), func(b *testing.B) {
			bn := newRouterBenchmark(b, tokenDelay)
			var direct, routed streamSamples
			round := 0
			for b.Loop() {
				bn.runConcurrently(streams, func(i int) {
					if i%2 == round%2 {
						direct.add(bn.stream(bn.directURL, tokens))
						routed.add(bn.stream(bn.routedURL, tokens))
						return
					}
					routed.add(bn.stream(bn.routedURL, tokens))
					direct.add(bn.stream(bn.directURL, tokens))
				})
				round++
			}
			for _, q := range []struct {
				name string
				at   float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				b.ReportMetric(quantile(direct.firstTokens, q.at), "direct-first-"+q.name+"-µs")
				b.ReportMetric(quantile(routed.firstTokens, q.at), "routed-first-"+q.name+"-µs")
				b.ReportMetric(quantile(direct.gaps, q.at), "direct-gap-"+q.name+"-µs")
				b.ReportMetric(quantile(routed.gaps, q.at), "routed-gap-"+q.name+"-µs")
			}
		})
	}
}

// runConcurrently runs f n times at once and waits for all calls.
func (bn *routerBenchmark) runConcurrently(n int, f func(i int)) {
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { f(i) })
	}
	running.Wait()
}

// resourceUse is the CPU time and the number of allocations of this process so
// far.
type resourceUse struct {
	cpu     time.Duration
	mallocs uint64
}

func currentUse() resourceUse {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUse{time.Duration(r.Utime.Nano() + r.Stime.Nano()), m.Mallocs}
}

// BenchmarkCPU compares the CPU time and allocations of streams of two lengths
// through the router with those of the same streams directly from the engine.
// The difference is the cost of the router.
func BenchmarkCPU(b *testing.B) {
	const (
		short, long = 1, 201
		streams     = 16
	)
	bn := newRouterBenchmark(b, 0)
	// sums is indexed by route (direct, routed) and length (short, long).
	var sums [2][2]resourceUse
	for b.Loop() {
		for route, url := range []string{bn.directURL, bn.routedURL} {
			for length, tokens := range []int{short, long} {
				before := currentUse()
				bn.runConcurrently(streams, func(int) { bn.stream(url, tokens) })
				after := currentUse()
				sums[route][length].cpu += after.cpu - before.cpu
				sums[route][length].mallocs += after.mallocs - before.mallocs
			}
		}
	}
	n := float64(b.N * streams)
	cpu := func(length int) float64 {
		return float64((sums[1][length].cpu - sums[0][length].cpu).Nanoseconds()) / n
	}
	allocs := func(length int) float64 {
		return (float64(sums[1][length].mallocs) - float64(sums[0][length].mallocs)) / n
	}
	perToken := (cpu(1) - cpu(0)) / (long - short)
	b.ReportMetric(cpu(0)/1e3, "cpu-µs/request")
	b.ReportMetric(perToken/1e3, "cpu-µs/token")
	b.ReportMetric(1e9/cpu(0), "requests/s/core")
	b.ReportMetric(1e9/perToken, "tokens/s/core")
	b.ReportMetric(allocs(0), "allocs/request")
	b.ReportMetric((allocs(1)-allocs(0))/(long-short), "allocs/token")
}

// BenchmarkRoutedStreams runs only streams through the router, for profiles.
func BenchmarkRoutedStreams(b *testing.B) {
	const (
		tokens  = 100
		streams = 32
	)
	bn := newRouterBenchmark(b, 0)
	for b.Loop() {
		bn.runConcurrently(streams, func(int) { bn.stream(bn.routedURL, tokens) })
	}
}
