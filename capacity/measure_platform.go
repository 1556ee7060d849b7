package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/standin/worker"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/daemon"
	"github.com/figstile/figstile/transport/upstream"

	standin "github.com/figstile/figstile/standin/upstream"
)

// Slopes of whole daemons and pollers in real time, beside stand-ins.
const (
	PlatformWatches SlopeName = "platform.watches"
	PlatformVMs     SlopeName = "platform.vms"
	PlatformChanges SlopeName = "platform.changes"
	PollBytes       SlopeName = "poll.bytes"
	PollTime        SlopeName = "poll.time"
	ProgressReports SlopeName = "progress.reports"
)

const (
	// idleWindow holds three waiting watches.
	idleWindow = 16 * time.Second
	// changeWindow holds enough changes that the first and last call weigh
	// little.
	changeWindow = 6 * time.Second
	// pollWindow holds a dozen polls of each upstream.
	pollWindow = 3 * time.Second
	// changeRouters share a platform while settings change.
	changeRouters = 2
)

func platformMeasurements() []measurement {
	routers := []int{1, 2, 4}
	targets := []int{4, 16, 64}
	idleCalls := make(map[int]platform.Calls)
	return []measurement{
		{
			name: PlatformWatches, unit: "watches/s of the fleet", sizeUnit: "routers", sizes: routers,
			measure: func(ctx context.Context, n int) (float64, error) {
				var err error
				idleCalls[n], err = countPlatformCalls(ctx, n, 0, idleWindow)
				return float64(idleCalls[n].Watch) / idleWindow.Seconds(), err
			},
		},
		{
			name: PlatformVMs, unit: "reads/s of the fleet", sizeUnit: "routers", sizes: routers,
			measure: func(_ context.Context, n int) (float64, error) {
				return float64(idleCalls[n].VMs) / idleWindow.Seconds(), nil
			},
		},
		{
			name: PlatformChanges, unit: "watches/s of one router", sizeUnit: "changes a second", sizes: []int{1, 2, 4},
			measure: func(ctx context.Context, n int) (float64, error) {
				calls, err := countPlatformCalls(ctx, changeRouters, n, changeWindow)
				return float64(calls.Watch) / changeWindow.Seconds() / changeRouters, err
			},
		},
		{
			name: PollBytes, unit: "B/s both ways", sizeUnit: "upstreams polled", sizes: targets,
			measure: func(ctx context.Context, n int) (float64, error) {
				cost, err := pollingCost(ctx, n)
				return cost.bytes, err
			},
		},
		{
			name: PollTime, unit: "ns/s of both ends", sizeUnit: "upstreams polled", machineDependent: true, sizes: targets,
			measure: func(ctx context.Context, n int) (float64, error) {
				cost, err := pollingCost(ctx, n)
				return cost.cpuNanoseconds, err
			},
		},
		{
			name: ProgressReports, unit: "reports", sizeUnit: "seconds of a stream", sizes: []int{1, 2, 4},
			measure: countProgressReports,
		},
	}
}

// processCPUTime is the processor time of this process so far.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countPlatformCalls counts what daemons without requests ask of the platform.
func countPlatformCalls(ctx context.Context, routers, changes int, window time.Duration) (platform.Calls, error) {
	p := platform.New(platform.Options{})
	url, stop, err := p.Start("127.0.0.1:0")
	if err != nil {
		return platform.Calls{}, err
	}
	defer stop()
	if _, err := p.Store().Put(ctx, config.RootKey, rootObject(1, 0), 0); err != nil {
		return platform.Calls{}, err
	}
	finish, err := startDaemons(ctx, url, routers)
	if err != nil {
		return platform.Calls{}, err
	}
	defer finish()
	if err := awaitWatches(ctx, p, int64(routers)); err != nil {
		return platform.Calls{}, err
	}
	before := p.Calls()
	if err := writeChanges(ctx, p.Store(), changes, window); err != nil {
		return platform.Calls{}, err
	}
	after := p.Calls()
	return platform.Calls{Watch: after.Watch - before.Watch, VMs: after.VMs - before.VMs}, nil
}

var errNoWatch = errors.New("capacity: routers do not follow the platform")

// awaitWatches returns once every router has listed and watches.
func awaitWatches(ctx context.Context, p *platform.Platform, routers int64) error {
	deadline := time.Now().Add(sessionTimeout)
	for p.Calls().Watch < routers {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errNoWatch
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// writeChanges writes a team's object so many times a second.
func writeChanges(ctx context.Context, store *platform.Store, perSecond int, window time.Duration) error {
	if perSecond == 0 {
		time.Sleep(window)
		return nil
	}
	key := config.TeamKey(teamNamed(0))
	for range perSecond * int(window.Seconds()) {
		time.Sleep(time.Second / time.Duration(perSecond))
		current, _ := store.Get(ctx, key)
		if _, err := store.Put(ctx, key, teamObject(0, 1), current.Version); err != nil {
			return err
		}
	}
	return nil
}

// startDaemons runs whole routers in this process.
func startDaemons(ctx context.Context, platformURL string, n int) (finish func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	finish = func() {
		cancel()
		running.Wait()
	}
	for i := range n {
		d, err := daemon.New(daemonOptions(i, platformURL), zerolog.Nop())
		if err != nil {
			finish()
			return nil, err
		}
		running.Go(func() { _ = d.Run(ctx) })
	}
	return finish, nil
}

func daemonOptions(i int, platformURL string) daemon.Options {
	const anyPort = "127.0.0.1:0"
	return daemon.Options{
		Router: fmt.Sprintf("router-%04d", i), DataCentre: string(centreNamed(0)), Fleet: "figstile",
		Listen: anyPort, AdminListen: anyPort, PeerListen: anyPort, Platform: platformURL,
		MaxConnections: 1000, MaxHeaderBytes: 32 << 10, MaxQueued: 50_000, MaxQueuedBytes: 256 << 20,
	}
}

// pollingCost fetches load reports of so many upstreams for a while.
func pollingCost(ctx context.Context, n int) (resourceCost, error) {
	server, err := newCountingServer(loadReportHandler())
	if err != nil {
		return resourceCost{}, err
	}
	defer server.close()
	var reports atomic.Int64
	poller := upstream.NewPoller(upstream.PollerOptions{Seed: 1}, func(ev scheduler.Event) {
		if _, ok := ev.(scheduler.Reported); ok {
			reports.Add(1)
		}
	})
	defer poller.Close()
	poller.SetTargets(server.targets(n))
	for reports.Load() < int64(n) {
		if ctx.Err() != nil {
			return resourceCost{}, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
	bytes, cpu := server.bytes.Load(), processCPUTime()
	time.Sleep(pollWindow)
	seconds := pollWindow.Seconds()
	return resourceCost{
		bytes:          float64(server.bytes.Load()-bytes) / seconds,
		cpuNanoseconds: float64((processCPUTime() - cpu).Nanoseconds()) / seconds,
	}, nil
}

// loadReportHandler answers every path with a stand-in's load report.
func loadReportHandler() http.Handler {
	w := worker.New(worker.Options{Options: standin.Options{Name: upstreamName(0), Slots: slotsPerUpstream}})
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		r.URL.Path = "/load"
		w.Handler().ServeHTTP(rw, r)
	})
}

// countingServer counts the bytes of its connections both ways.
type countingServer struct {
	net.Listener
	server *http.Server
	bytes  atomic.Int64
}

func newCountingServer(handler http.Handler) (*countingServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &countingServer{Listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: sessionTimeout}}
	go func() { _ = s.server.Serve(s) }()
	return s, nil
}

func (s *countingServer) close() { _ = s.server.Close() }

// targets are upstreams behind the same address. The poller takes a report
// only from the upstream it asked, so all bear one name and differ in their
// paths.
func (s *countingServer) targets(n int) []upstream.Target {
	targets := make([]upstream.Target, n)
	for i := range targets {
		targets[i] = upstream.Target{Upstream: upstreamName(0), BaseURL: fmt.Sprintf("http://%s/%d", s.Addr(), i)}
	}
	return targets
}

// Accept counts the next connection.
func (s *countingServer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &s.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
