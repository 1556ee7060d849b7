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
	// memoryShare of the VM's memory is what Go's runtime aims to stay
	// within; stacks of the kernel's sockets count on top.
	memoryShare = 0.7
	// upstreamKeep is how long an unused connection to an upstream is kept.
	// It is short, because a request that meets the upstream's own close is
	// lost with an unknown outcome.
	upstreamKeep = 2 * time.Second
	// upstreamIdle bounds unused connections to one upstream: all routers
	// share what it accepts.
	upstreamIdle = 8
	// headerTimeout and headerBytes bound callers' heads before the
	// configuration's own limit is looked at.
	headerTimeout = 5 * time.Second
	headerBytes   = 64 << 10
	// flushTimeout bounds the end of the sessions with peers at a stop. Little is
	// left of the grace period by then: beside one peer that does not read, such
	// as one that stops as well, the process was killed and its last log lines
	// were lost.
	flushTimeout = 150 * time.Millisecond
	// fleetName keeps routers apart that talk to different stores.
	fleetName = "edge"
)

// Router is one router.
type Router struct {
	settings   Settings
	log        zerolog.Logger
	dispatcher *dispatcher
	catalogue  *catalogue
	fleet      *fleet
	mesh       *peer.Mesh
	followers  []*follower
	metrics    *metrics.Metrics
	handler    *ingress.Handler
	pressure   *pressure
	conns      *conntrack.Tracker
	// logged is the work that was told of, pausedBefore the time of pauses; used by
	// tend alone.
	logged       workload.Totals
	pausedBefore time.Duration

	callers *callerListener
	ready   net.Listener
	figures net.Listener
}

// New opens the listeners and wires a router.
func New(settings Settings, platform Platform, log zerolog.Logger) (*Router, error) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
	r := &Router{
		settings:   settings,
		log:        log,
		dispatcher: newDispatcher(settings, boottime.Now),
		conns:      conntrack.New(boottime.Now),
		metrics:    metrics.New(settings.Router, settings.DataCentre),
	}
	r.catalogue = newCatalogue(platform, r.dispatcher, log, boottime.Now)
	r.pressure = r.dispatcher.pressure
	r.fleet = newFleet(scheduler.Peer{Router: settings.Router, DataCentre: settings.DataCentre}, r.dispatcher, r.catalogue, log, boottime.Now)
	r.fleet.readDelay = readDelay(settings)
	incarnation := state.Incarnation(time.Now().UnixNano())
	r.fleet.join(membership.Member{
		Router: settings.Router, DataCentre: settings.DataCentre, Incarnation: incarnation, Address: settings.Addresses.Peers,
		Capacity: capacity(settings),
	})
	r.openCallers(platform)
	for _, kind := range []Kind{KindConfig, KindUpstream} {
		r.followers = append(r.followers, &follower{
			kind: kind, store: platform, catalogue: r.catalogue, log: log,
			reads: r.fleet.reads, onAnswer: r.fleet.onAnswer, onFailure: r.fleet.onFailure, onNews: r.fleet.publishObjects,
			retryPause: r.fleet.retryPause,
		})
	}
	if err := r.listen(incarnation); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// readDelay returns how long a router waits for its peers before it reads the
// store. Seeds have nobody to wait for.
func readDelay(settings Settings) time.Duration {
	switch {
	case len(settings.Seeds) == 0 || slices.Contains(settings.Seeds, settings.Addresses.Peers):
		return 0
	case settings.FirstStart:
		return firstReadDelay
	default:
		return startReadDelay
	}
}

func (r *Router) openCallers(platform Platform) {
	r.handler = ingress.NewHandler(ingress.Options{
		Dialect:    platform,
		Dispatcher: r.dispatcher,
		Client: upstream.NewClient(upstream.ClientOptions{
			Dial:            r.pressure.dial(NewDialer().DialContext),
			EchoHeader:      platform.AttemptHeader(),
			KeepIdle:        upstreamKeep,
			IdlePerUpstream: upstreamIdle,
			AcceptUnframed:  true,
		}),
		Observer: observer{metrics: r.metrics, pressure: r.pressure},
		Log:      r.log,
		Now:      boottime.Now,
		Crowded:  r.pressure.crowded,
		Left:     callerLeft,
		Waited:   r.pressure.arrivals.waited,
	})
}

// capacity returns the processor share of the VM in hundredths of a core.
func capacity(settings Settings) uint32 { return uint32(math.Round(settings.Processors * 100)) }

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
			Capacity: capacity(r.settings),
		},
		SoleProcess: true,
		Listen:      r.settings.Addresses.Peers,
		Seeds:       r.settings.Seeds,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		FlushTimeout:     flushTimeout,
		Handler:          r.fleet.onEnvelope,
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
	if r.callers, err = listenCallers(r.settings.Addresses.Callers, r.pressure, r.log); err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	if r.ready, err = net.Listen("tcp", r.settings.Addresses.Ready); err != nil {
		return fmt.Errorf("readiness listener: %w", err)
	}
	if r.settings.Addresses.Metrics == "" {
		return nil
	}
	if r.figures, err = net.Listen("tcp", r.settings.Addresses.Metrics); err != nil {
		return fmt.Errorf("metrics listener: %w", err)
	}
	return nil
}

func (r *Router) close() {
	if r.callers != nil {
		_ = r.callers.Close()
	}
	for _, l := range []net.Listener{r.ready, r.figures} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// AddSeeds adds peer addresses that new settings name.
func (r *Router) AddSeeds(addresses []string) { r.mesh.AddSeeds(addresses) }

// Run serves until the context ends, then finishes what it has within the
// grace period.
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
	group.Go(func() error { r.probe(inner); return nil })
	group.Go(func() error { r.tend(inner); return nil })
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

// server is one HTTP server with its open socket.
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

// servers returns the HTTP servers, that of callers first.
func (r *Router) servers() []server {
	callers := &http.Server{
		Handler:           r.handler,
		ReadHeaderTimeout: headerTimeout,
		ConnState: func(conn net.Conn, state http.ConnState) {
			r.pressure.changed(conn, state)
			r.conns.StateChanged(conn, state)
		},
		BaseContext:    r.conns.BaseContext,
		ConnContext:    r.pressure.arrivals.withArrival,
		MaxHeaderBytes: headerBytes,
	}
	all := []server{
		{r.conns.Listener(r.callers), callers},
		{r.ready, &http.Server{Handler: r.readiness(), ReadHeaderTimeout: headerTimeout}},
	}
	if r.figures != nil {
		all = append(all, server{r.figures, &http.Server{Handler: r.metrics.Handler(), ReadHeaderTimeout: headerTimeout}})
	}
	return all
}

// readiness answers whether new callers are welcome, whatever the path.
func (r *Router) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.dispatcher.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

const (
	// stopPoll is how often a stop looks at the clock. It counts a VM's
	// suspension, which a sleep does not.
	stopPoll = 10 * time.Millisecond
	// leastAnswers is kept to answer what a stop cuts off, even if the VM was
	// suspended until its end.
	leastAnswers = 100 * time.Millisecond
)

// stop lets balancers and callers move on, waits for what runs, and answers what
// has not ended in time.
func (r *Router) stop() {
	r.log.Info().Msg("stopping")
	course := r.dispatcher.beginDrain()
	for course.Accepting(boottime.Now()) {
		time.Sleep(stopPoll)
	}
	_ = r.callers.Close()
	if r.conns.Drain(func() bool { return course.RunTimeLeft(boottime.Now()) <= 0 }) {
		return
	}
	r.log.Warn().Int64("requests", r.handler.Running()).Int("connections", r.conns.Busy()).
		Msg("requests cut off at the end of the grace period")
	r.conns.CutOff()
	now := boottime.Now()
	until := now.Add(max(course.AnswerTimeLeft(now), leastAnswers))
	r.conns.Drain(func() bool { return !boottime.Now().Before(until) })
}
