package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/figstile/figstile/coordination/drain"
	"github.com/figstile/figstile/coordination/queue"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/caller"
	"github.com/figstile/figstile/transport/claims"
	"github.com/figstile/figstile/transport/host"
	"github.com/figstile/figstile/transport/metrics"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/peer"
	"github.com/figstile/figstile/transport/settings"
	"github.com/figstile/figstile/transport/upstream"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Daemon is one router with all its parts.
type Daemon struct {
	options     Options
	log         zerolog.Logger
	incarnation state.Incarnation

	store     objectstore.Store
	source    *settings.Source
	follower  *settings.Follower
	scheduler *scheduler.Scheduler
	// stepper is the scheduler, wrapped in a recorder if a trace is recorded.
	stepper           host.Stepper
	host              *host.Host
	mesh              *peer.Mesh
	poller            *upstream.Poller
	pollTargets       pollTargets
	orders            *orderManager
	metrics           *metrics.Metrics
	peers             peerSet
	adminURLs         adminURLs
	link              *countingLink
	announcedVersions announcedVersions
	claims            *claims.Ledger
	writer            *settings.Writer
	started           time.Time
	trace             traceFile

	callerListener listener
	adminListener  listener

	stopServing    context.CancelFunc
	drainRequested chan struct{}
	draining       atomic.Bool
	drained        chan struct{}
}

// New opens the listeners and connects the parts of the router. It serves no
// request before Run.
func New(options Options, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		options:        options,
		log:            log.With().Str("router", options.Router).Logger(),
		incarnation:    state.Incarnation(time.Now().UnixNano()),
		metrics:        metrics.New(options.router(), options.dataCentre()),
		drainRequested: make(chan struct{}, 1),
		drained:        make(chan struct{}),
		started:        time.Now(),
	}
	d.openSettings()
	for _, open := range []func() error{d.openScheduler, d.listen, d.openHost, d.openClaims} {
		if err := open(); err != nil {
			d.close()
			return nil, err
		}
	}
	d.buildServers()
	return d, nil
}

// openSettings prepares the parts that follow and change the tree of settings.
func (d *Daemon) openSettings() {
	d.store = objectstore.NewClient(objectstore.ClientOptions{BaseURL: d.options.Platform, Token: d.options.PlatformToken})
	d.source = settings.NewSource(settings.SourceOptions{OnChange: d.onSettings, Log: d.log})
	d.writer = settings.NewWriter(settings.WriterOptions{Store: d.store, Source: d.source, Log: d.log})
	d.follower = settings.NewFollower(settings.FollowerOptions{Store: d.store, Source: d.source, Log: d.log})
}

// openScheduler creates the scheduler, with a trace of its decisions if the
// options ask for one.
func (d *Daemon) openScheduler() error {
	options := scheduler.Options{
		Self:   d.self(),
		Seed:   uint64(d.incarnation),
		Queues: queue.Limits{Requests: d.options.MaxQueued, Bytes: d.options.MaxQueuedBytes},
	}
	d.scheduler = scheduler.New(options)
	var err error
	d.stepper, err = d.openTrace(options)
	return err
}

// openHost starts the scheduler's host and connects it to peers, callers and
// upstreams.
func (d *Daemon) openHost() error {
	d.link = &countingLink{mesh: d.mesh, peers: func() int { return len(d.peers.others(d.options.router())) }}
	d.openOrders()
	d.poller = upstream.NewPoller(upstream.PollerOptions{Seed: uint64(d.incarnation), Log: d.log}, d.onLoadEvent)
	d.pollTargets.setTargets = d.poller.SetTargets
	d.host = host.New(host.Options{
		Scheduler:          d.stepper,
		Peers:              d.link,
		SetPolledUpstreams: d.onOwned,
		OnDrained:          func() { close(d.drained) },
		OnPanic:            d.failStop,
	})
	return nil
}

// openClaims starts the ledger of idempotency keys.
func (d *Daemon) openClaims() error {
	keys := claims.NewHost(claims.Options{
		Router:      d.options.router(),
		Incarnation: d.incarnation,
		Store:       d.store,
		System:      d.host.System(),
		Log:         d.log,
	})
	var err error
	d.claims, err = claims.NewLedger(keys, d.options.dataCentre())
	return err
}

func (d *Daemon) self() scheduler.Peer {
	return scheduler.Peer{
		Router:      d.options.router(),
		DataCentre:  d.options.dataCentre(),
		Incarnation: d.incarnation,
	}
}

func (d *Daemon) listen() error {
	peerTLS, err := d.options.peerTLS()
	if err != nil {
		return err
	}
	d.mesh, err = peer.New(peer.Options{
		Self: peer.Self{
			Peer: peer.Peer{
				Router:      d.options.router(),
				DataCentre:  d.options.dataCentre(),
				Incarnation: d.incarnation,
			},
			Fleet: d.options.Fleet,
		},
		Listen:    d.options.PeerListen,
		Advertise: d.options.AdvertisePeer,
		Seeds:     d.options.Peers,
		TLS:       peerTLS,
		Dial:      d.options.DialPeer,
		Handler:   func(from peer.Peer, env *peerpb.Envelope, _ time.Time) { d.onEnvelope(from, env) },
		OnPeers:   d.onPeers,
		OnSession: d.onSession,
		Log:       d.log,
	})
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	if d.callerListener.Listener, err = net.Listen("tcp", d.options.Listen); err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	if d.adminListener.Listener, err = net.Listen("tcp", d.options.AdminListen); err != nil {
		return fmt.Errorf("administration listener: %w", err)
	}
	return nil
}

// buildServers builds the HTTP servers for callers and for administration.
func (d *Daemon) buildServers() {
	limits := caller.ServerOptions{
		MaxHeaderBytes: d.options.MaxHeaderBytes,
		MaxConnections: d.options.MaxConnections,
	}
	handler := caller.NewHandler(caller.Options{
		Router:      d.options.router(),
		Incarnation: d.incarnation,
		Scheduler:   d.host,
		Settings:    callerSettings{source: d.source},
		Claims:      d.claims,
		Client:      upstream.NewClient(upstream.ClientOptions{}),
		Observer:    observer{metrics: d.metrics},
		Log:         d.log,
		MaxRequests: d.options.MaxQueued,
		BodyBudget:  d.options.MaxQueuedBytes,
	})
	keys := &caller.KeysHandler{
		Router:     d.options.router(),
		DataCentre: d.options.dataCentre(),
		Settings:   callerSettings{source: d.source},
		Issuer:     d.claims,
	}
	d.callerListener.buildServer(d.closeWhileDraining(withKeys(keys, handler)), limits)
	d.callerListener.Listener = caller.LimitListener(d.callerListener.Listener, limits)
	d.adminListener.buildServer(d.closeWhileDraining(d.adminHandler()), caller.ServerOptions{})
}

// Addresses holds the addresses on which a router listens.
type Addresses struct {
	Callers string
	Admin   string
	Peers   string
}

// Addresses returns the router's addresses, including the ports that the system
// chose for listen addresses with port 0.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Callers: d.callerListener.Addr().String(),
		Admin:   d.adminListener.Addr().String(),
		Peers:   d.mesh.Addr(),
	}
}

// Run serves until the context ends or an operator drains the router. It then
// finishes the admitted requests and returns the first error of a server.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	d.stopServing = stop
	group, workCtx := errgroup.WithContext(workCtx)
	addresses := d.Addresses()
	d.log.Info().
		Str("callers", addresses.Callers).
		Str("admin", addresses.Admin).
		Str("peers", addresses.Peers).
		Str("data_centre", d.options.DataCentre).
		Uint64("incarnation", uint64(d.incarnation)).
		Msg("started")
	group.Go(func() error { return d.mesh.Run(workCtx) })
	group.Go(func() error { d.follower.Run(workCtx); return nil })
	group.Go(func() error { d.followVMs(workCtx); return nil })
	group.Go(func() error { d.tick(workCtx); return nil })
	group.Go(func() error { return d.callerListener.run(d.options) })
	group.Go(func() error { return d.adminListener.run(d.options) })
	group.Go(func() error { return d.awaitStop(ctx, workCtx) })
	err := group.Wait()
	d.log.Info().Err(err).Msg("stopped")
	return err
}

// Drain begins a planned stop, as a termination signal does.
func (d *Daemon) Drain() {
	select {
	case d.drainRequested <- struct{}{}:
	default:
	}
}

// awaitStop waits for a stop and carries it out as a drain. It announces the
// drain to peers, ends admission and waits for the admitted requests. Only then
// does it close the listeners, first that of callers.
func (d *Daemon) awaitStop(ctx, workCtx context.Context) error {
	defer d.stopServing()
	select {
	case <-ctx.Done():
	case <-d.drainRequested:
	case <-workCtx.Done():
		return nil
	}
	d.log.Info().Msg("draining")
	d.draining.Store(true)
	d.mesh.SetDraining(true)
	d.claims.StopIssuing()
	d.post(scheduler.Drain{})
	finishCtx, answersCtx, cancel := d.drainContexts()
	defer cancel()
	select {
	case <-d.drained:
	case <-finishCtx.Done():
		d.log.Warn().Msg("drain timed out")
	}
	if err := d.orders.drain(finishCtx); err != nil {
		d.log.Warn().Err(err).Msg("drain timed out")
	}
	err := errors.Join(d.callerListener.drain(finishCtx, answersCtx), d.adminListener.drain(finishCtx, answersCtx))
	d.closeClaims()
	return err
}

// claimsTimeout limits the last write of claim outcomes at a stop. A key whose
// outcome could not be written is later treated as unknown and is not run
// again, so waiting longer for an unavailable platform would gain little.
const claimsTimeout = 10 * time.Second

func (d *Daemon) closeClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), claimsTimeout)
	defer cancel()
	if err := d.claims.Close(ctx); err != nil {
		d.log.Warn().Err(err).Msg("claims not written")
	}
}

// drainContexts returns two contexts: finishCtx ends when requests may no
// longer run, and answersCtx ends when cancelled requests may no longer be
// answered.
func (d *Daemon) drainContexts() (finishCtx, answersCtx context.Context, cancel context.CancelFunc) {
	if d.options.DrainTimeout == 0 {
		unlimited, cancel := context.WithCancel(context.Background())
		return unlimited, unlimited, cancel
	}
	now := time.Now()
	plan := drain.Begin(now, d.options.DrainTimeout)
	answersCtx, cancelAnswers := context.WithTimeout(context.Background(), plan.AnswerTimeLeft(now))
	finishCtx, cancelFinish := context.WithTimeout(answersCtx, plan.RunTimeLeft(now))
	return finishCtx, answersCtx, func() {
		cancelFinish()
		cancelAnswers()
	}
}

func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(scheduler.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.post(scheduler.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) post(ev scheduler.Event) { d.host.Post(ev) }

func (d *Daemon) onSettings(view *config.View) {
	d.trace.recordVersions(d.self(), d.source.Versions())
	d.pollTargets.setSettings(view.Settings())
	d.post(scheduler.Configured{Settings: view.Settings()})
	d.orders.onSettings()
	d.announceSettings()
}

// failStop ends the process. A scheduler that panicked may have lost track of
// its grants; a router that continued to serve could break them without notice.
func (d *Daemon) failStop(err error) {
	d.log.Error().Err(err).Bytes("stack", debug.Stack()).Msg("scheduler failed")
	os.Exit(exitPanic)
}

// exitPanic is the exit code after a panic of the scheduler.
const exitPanic = 70

// close releases everything that New opened. Parts that were not opened are
// nil.
func (d *Daemon) close() {
	if d.poller != nil {
		d.poller.Close()
	}
	if d.host != nil {
		d.host.Stop()
	}
	if d.orders != nil {
		d.orders.close()
	}
	for _, l := range []listener{d.callerListener, d.adminListener} {
		if l.server != nil {
			_ = l.server.Close()
		}
		if l.Listener != nil {
			_ = l.Listener.Close()
		}
	}
	_ = d.metrics.Close()
	if err := d.trace.close(); err != nil {
		d.log.Warn().Err(err).Msg("trace not whole")
	}
}
