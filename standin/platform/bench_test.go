package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/figstile/figstile/transport/objectstore"
)

// BenchmarkWatchFanOut measures one write of a kilobyte, from the write until
// every watcher has received it, and reports the calls and the bytes of answers
// per write. A current deployment has 8 watchers; the fleet is planned for 730.
func BenchmarkWatchFanOut(b *testing.B) {
	for _, watchers := range []int{8, 64, 730} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) { benchFanOut(b, watchers) })
	}
}

func benchFanOut(b *testing.B, watchers int) {
	p := New(Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	transport := &http.Transport{MaxIdleConnsPerHost: watchers}
	defer transport.CloseIdleConnections()
	client := objectstore.NewClient(objectstore.ClientOptions{BaseURL: server.URL, HTTPClient: &http.Client{Transport: transport}})
	ctx, cancel := context.WithCancel(b.Context())
	seen := make(chan struct{}, watchers)
	var running sync.WaitGroup
	for range watchers {
		w := objectstore.NewWatcher(objectstore.WatcherOptions{
			Store: client, Prefix: "settings/", WatchInterval: 1,
			Deliver: func([]objectstore.Object) { seen <- struct{}{} },
		})
		running.Go(func() { _ = w.Run(ctx) })
		<-seen
	}
	value := make([]byte, 1024)
	version := objectstore.Version(0)
	before := p.Calls()
	b.ResetTimer()
	for range b.N {
		version, _ = p.store.Put(ctx, "settings/root", value, version)
		for range watchers {
			<-seen
		}
	}
	b.StopTimer()
	after := p.Calls()
	b.ReportMetric(float64(after.Watch-before.Watch)/float64(b.N), "calls/op")
	b.ReportMetric(float64(after.Bytes-before.Bytes)/float64(b.N), "answer-B/op")
	cancel()
	running.Wait()
}
