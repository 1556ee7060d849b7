package edge

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/memory"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/coordination/workload"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/boottime"
	"github.com/figstile/figstile/transport/conntrack"
	"github.com/figstile/figstile/transport/ingress"
	"github.com/figstile/figstile/transport/metrics"
	"github.com/figstile/figstile/transport/peer"
	"github.com/figstile/figstile/transport/upstream"
)

const (
	// memoryShare is the fraction of the VM's memory that is set as the Go
	// runtime's memory limit. The kernel's socket buffers come on top of it.
	memoryShare = 0.7
	// answerMemoryShare is the fraction of the VM's memory that answers may hold
	// until they can be passed on.
	answerMemoryShare = 0.125
	// bodyMemoryShare is the fraction of the VM's memory that callers' bodies may
	// use.
	bodyMemoryShare = 0.25
	// maxAnswerBytes limits the size of an answer.
	maxAnswerBytes = 64 << 20
	// longAnswerBytesPerCore is the rate in bytes per second and core at which
	// long answers are relayed. It leaves most of the processor to other
	// callers, however fast an upstream sends.
	longAnswerBytesPerCore = 32 << 20
	// upstreamKeepIdle is how long an idle connection to an upstream is kept.
	// It is short because a request that crosses the upstream's own close of
	// the connection is lost with an unknown outcome.
	upstreamKeepIdle = 2 * time.Second
	// maxIdlePerUpstream limits the idle connections to one upstream, since all
	// routers share the connections that it accepts.
	maxIdlePerUpstream = 8
	// headerTimeout and maxHeaderBytes limit callers' request heads before the
	// configured limit applies.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// peerFlushTimeout limits the time to close the sessions with peers at a
	// stop. Little is left of the grace period by then. When one peer did not
	// read, for example because it was stopping as well, the process was killed
	// and its last log lines were lost.
	peerFlushTimeout = 150 * time.Millisecond
	// fleetName separates routers that use different stores.
	fleetName = "edge"
)

// Router is a router of the fleet.
type Router struct {
	settings    Settings
	log         zerolog.Logger
	dispatcher  *dispatcher
	catalogue   *catalogue
	fleet       *fleet
	mesh        *peer.Mesh
	followers   []*follower
	metrics     *metrics.Metrics
	handler     *ingress.Handler
	pressure    *pressure
	connTracker *conntrack.Tracker
	watchdog    *watchdog
	// loggedTotals is the work that was logged so far, and loggedClosedTime the
	// time for which the port was closed until then. Only runHousekeeping uses
	// them.
	loggedTotals     workload.Totals
	loggedClosedTime time.Duration

	callerListener  *callerListener
	readyListener   net.Listener
	metricsListener net.Listener
}

// New creates a router and opens its listeners.
func New(settings Settings, platform Platform, log zerolog.Logger) (*Router, error) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
	r := &Router{
		settings:    settings,
		log:         log,
		dispatcher:  newDispatcher(settings, boottime.Now),
		connTracker: conntrack.New(boottime.Now),
		metrics:     metrics.New(settings.Router, settings.DataCentre),
		watchdog:    &watchdog{log: log},
	}
	r.catalogue = newCatalogue(platform, r.dispatcher, log, boottime.Now)
	r.pressure = r.dispatcher.pressure
	r.fleet = newFleet(scheduler.Peer{Router: settings.Router, DataCentre: settings.DataCentre}, r.dispatcher, r.catalogue, log, boottime.Now)
	r.fleet.progressed = r.watchdog.watch("fleet")
	r.fleet.storeReadDelay = storeReadDelay(settings)
	incarnation := state.Incarnation(time.Now().UnixNano())
	r.fleet.join(membership.Member{
		Router: settings.Router, DataCentre: settings.DataCentre, Incarnation: incarnation, Address: settings.Addresses.Peers,
		Capacity: cpuHundredths(settings),
	})
	r.newHandler(platform)
	r.followers = newFollowers(settings, platform, r.fleet, boottime.Now)
	if err := r.listen(incarnation); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// storeReadDelay returns how long a router waits for its peers before it reads
// the store. Seeds do not wait.
func storeReadDelay(settings Settings) time.Duration {
	switch {
	case len(settings.Seeds) == 0 || slices.Contains(settings.Seeds, settings.Addresses.Peers):
		return 0
	case settings.FirstStart:
		return firstStartStoreReadDelay
	default:
		return startStoreReadDelay
	}
}

func (r *Router) newHandler(platform Platform) {
	r.handler = ingress.NewHandler(ingress.Options{
		Dialect:    platform,
		Dispatcher: r.dispatcher,
		Client: upstream.NewClient(upstream.ClientOptions{
			Dial:            r.pressure.dial(newUpstreamDialer().DialContext),
			EchoHeader:      platform.AttemptHeader(),
			KeepIdle:        upstreamKeepIdle,
			IdlePerUpstream: maxIdlePerUpstream,
			AcceptUnframed:  true,
			MaxAnswerBytes:  maxAnswerBytes,
			LongAnswerRate:  int64(longAnswerBytesPerCore * r.settings.CPUCores),
		}),
		BodyMemory:   memory.NewBudget(int64(bodyMemoryShare * float64(r.settings.MemoryBytes))),
		AnswerMemory: memory.NewBudget(int64(answerMemoryShare * float64(r.settings.MemoryBytes))),
		Observer:     observer{metrics: r.metrics, pressure: r.pressure},
		Log:          r.log,
		Now:          boottime.Now,
		ShouldClose:  r.pressure.shouldCloseCallers,
		CallerClosed: callerClosed,
		ReadDelay:    r.pressure.readDelay.requestDelay,
	})
}

// cpuHundredths returns the VM's CPU share in hundredths of a core.
func cpuHundredths(settings Settings) uint32 { return uint32(math.Round(settings.CPUCores * 100)) }

func (r *Router) listen(incarnation state.Incarnation) error {
	var err error
	dialer := NewDialer()
	r.mesh, err = peer.New(peer.Options{
		Self: peer.Self{
			Peer: peer.Peer{
				Router:      r.settings.Router,
				DataCentre:  r.settings.DataCentre,
				Incarnation: incarnation,
			},
			Fleet:    fleetName,
			Capacity: cpuHundredths(r.settings),
		},
		SoleProcess: true,
		Listen:      r.settings.Addresses.Peers,
		Seeds:       r.settings.Seeds,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		FlushTimeout:     peerFlushTimeout,
		Handler:          r.fleet.onMessage,
		Clock:            bootClock{},
		OnPeers:          r.fleet.onPeers,
		OnSession:        r.fleet.onSession,
		OnSessionEnd:     r.fleet.onSessionEnd,
		SelectiveDialing: true,
		Log:              r.log,
	})
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	r.fleet.mesh = r.mesh
	if r.callerListener, err = listenCallers(r.settings.Addresses.Callers, r.pressure, r.log); err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	if r.readyListener, err = net.Listen("tcp", r.settings.Addresses.Ready); err != nil {
		return fmt.Errorf("readiness listener: %w", err)
	}
	if r.settings.Addresses.Metrics == "" {
		return nil
	}
	if r.metricsListener, err = net.Listen("tcp", r.settings.Addresses.Metrics); err != nil {
		return fmt.Errorf("metrics listener: %w", err)
	}
	return nil
}

func (r *Router) close() {
	if r.callerListener != nil {
		_ = r.callerListener.Close()
	}
	for _, l := range []net.Listener{r.readyListener, r.metricsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// bootClock lets the mesh measure ages that include a suspension of the VM.
type bootClock struct{}

var _ peer.Clock = bootClock{}

// Now implements peer.Clock.
func (bootClock) Now() time.Time { return boottime.Now() }

// Ticker implements peer.Clock.
func (bootClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	ticker := time.NewTicker(d)
	return ticker.C, ticker.Stop
}

// AddSeeds adds the addresses of peers that new settings name.
func (r *Router) AddSeeds(addresses []string) { r.mesh.AddSeeds(addresses) }

// Run serves until the context ends, and then finishes running requests within
// the grace period.
func (r *Router) Run(ctx context.Context) error {
	r.log.Info().Str("router", string(r.settings.Router)).Str("data_centre", string(r.settings.DataCentre)).
		Str("callers", r.settings.Addresses.Callers).Msg("started")
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers := r.servers()
	group, groupCtx := errgroup.WithContext(inner)
	for _, s := range servers {
		group.Go(s.serve)
	}
	group.Go(func() error { return r.mesh.Run(inner) })
	group.Go(func() error { r.fleet.run(inner); return nil })
	group.Go(func() error { r.probeUnreachable(inner); return nil })
	housekeepingProgressed := r.watchdog.watch("housekeeping")
	group.Go(func() error { r.runHousekeeping(inner, housekeepingProgressed); return nil })
	group.Go(func() error { r.watchdog.run(inner); return nil })
	for _, f := range r.followers {
		group.Go(func() error { f.run(inner); return nil })
	}
	select {
	case <-ctx.Done():
		r.stop()
	case <-groupCtx.Done():
	}
	cancel()
	for _, s := range servers {
		_ = s.server.Close()
	}
	err := group.Wait()
	r.log.Info().Err(err).Msg("stopped")
	return err
}

// server is an HTTP server with its open listener.
type server struct {
	listener net.Listener
	server   *http.Server
}

func (s server) serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// servers returns the HTTP servers. The callers' server is the first.
func (r *Router) servers() []server {
	callers := &http.Server{
		Handler:           r.handler,
		ReadHeaderTimeout: headerTimeout,
		ConnState: func(conn net.Conn, state http.ConnState) {
			r.pressure.connStateChanged(conn, state)
			r.connTracker.StateChanged(conn, state)
		},
		BaseContext:    r.connTracker.BaseContext,
		ConnContext:    r.pressure.readDelay.withArrival,
		MaxHeaderBytes: maxHeaderBytes,
	}
	all := []server{
		{r.connTracker.Listener(r.callerListener), callers},
		{r.readyListener, &http.Server{Handler: r.readinessHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}},
	}
	if r.metricsListener != nil {
		all = append(all, server{r.metricsListener, &http.Server{Handler: r.metrics.Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}})
	}
	return all
}

// readinessHandler returns a handler that reports, on any path, whether the
// router is ready for new callers.
func (r *Router) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if r.watchdog.hung.Load() || !r.dispatcher.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

const (
	// stopPollInterval is the interval at which a stop checks the clock. The
	// clock includes the time of a VM's suspension, which a sleep does not.
	stopPollInterval = 10 * time.Millisecond
	// minAnswerTime is the shortest time reserved for answering requests that a
	// stop cuts off, even if the VM was suspended until the end of the grace
	// period.
	minAnswerTime = 100 * time.Millisecond
)

// stop gives load balancers and callers time to use other routers, waits for
// running requests, and answers those that have not ended in time.
func (r *Router) stop() {
	r.log.Info().Msg("stopping")
	drain := r.dispatcher.beginDrain()
	for drain.Accepting(boottime.Now()) {
		time.Sleep(stopPollInterval)
	}
	_ = r.callerListener.Close()
	if r.connTracker.Drain(func() bool { return drain.RunTimeLeft(boottime.Now()) <= 0 }) {
		return
	}
	r.log.Warn().Int64("requests", r.handler.Running()).Int("connections", r.connTracker.Busy()).
		Msg("requests cut off at the end of the grace period")
	r.connTracker.CancelRequests()
	now := boottime.Now()
	until := now.Add(max(drain.AnswerTimeLeft(now), minAnswerTime))
	r.connTracker.Drain(func() bool { return !boottime.Now().Before(until) })
}
