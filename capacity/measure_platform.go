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

// These slopes measure whole daemons and pollers in real time, connected to
// stand-ins.
const (
	PlatformWatches SlopeName = "platform.watches"
	PlatformVMs     SlopeName = "platform.vms"
	PlatformChanges SlopeName = "platform.changes"
	PollBytes       SlopeName = "poll.bytes"
	PollTime        SlopeName = "poll.time"
	ProgressReports SlopeName = "progress.reports"
)

const (
	// idleWindow is long enough for three watches that wait until they time out
	// at the platform.
	idleWindow = 16 * time.Second
	// changeWindow contains enough changes that the first and the last call
	// have little effect on the mean.
	changeWindow = 6 * time.Second
	// pollWindow is long enough for a dozen polls of each upstream.
	pollWindow = 3 * time.Second
	// changeRouters is the number of routers that share the platform in the
	// measurement of changes of the settings.
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

// processCPUTime returns the CPU time that this process has used so far.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countPlatformCalls returns the number of calls that daemons without requests
// make to the platform within the window.
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

// awaitWatches returns when every router has listed the settings and is
// watching them, or with an error after sessionTimeout.
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

// writeChanges writes the object of a team the given number of times per
// second.
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

// startDaemons runs n complete routers in this process. The returned function
// stops them.
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

// pollingCost returns the cost per second of fetching the load reports of n
// upstreams.
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
	bytesBefore, cpuBefore := server.bytes.Load(), processCPUTime()
	time.Sleep(pollWindow)
	seconds := pollWindow.Seconds()
	return resourceCost{
		bytes:          float64(server.bytes.Load()-bytesBefore) / seconds,
		cpuNanoseconds: float64((processCPUTime() - cpuBefore).Nanoseconds()) / seconds,
	}, nil
}

// loadReportHandler returns a handler that answers every path with the load
// report of a stand-in worker.
func loadReportHandler() http.Handler {
	w := worker.New(worker.Options{Options: standin.Options{Name: upstreamName(0), Slots: slotsPerUpstream}})
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		r.URL.Path = "/load"
		w.Handler().ServeHTTP(rw, r)
	})
}

// countingServer counts the bytes that its connections read and write.
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

// targets returns n upstreams at the same address. The poller accepts a report
// only if it names the upstream that was polled, so all have the same name and
// differ in their paths.
func (s *countingServer) targets(n int) []upstream.Target {
	targets := make([]upstream.Target, n)
	for i := range targets {
		targets[i] = upstream.Target{Upstream: upstreamName(0), BaseURL: fmt.Sprintf("http://%s/%d", s.Addr(), i)}
	}
	return targets
}

// Accept returns the next connection, wrapped so that its bytes are counted.
func (s *countingServer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &s.bytes}, err
}

// countingConn adds the bytes of a connection to a shared counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
