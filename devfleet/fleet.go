package devfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/standin/worker"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/daemon"
	"github.com/figstile/figstile/transport/objectstore"
)

// Options configures a Fleet.
type Options struct {
	Sample Sample
	// EngineSlots and WorkerSlots are the slots of each engine and of each
	// worker. Zero selects the defaults.
	EngineSlots int
	WorkerSlots int
	// TokenDelay is the delay of an engine before each token; DefaultTokenDelay
	// if zero.
	TokenDelay time.Duration
	// WithoutRouters starts the stand-ins only.
	WithoutRouters bool
	Log            zerolog.Logger
}

// Defaults of Options.
const (
	DefaultEngineSlots = 8
	DefaultWorkerSlots = 8
	// DefaultTokenDelay is the time per token of a typical engine whose batch
	// is full.
	DefaultTokenDelay = 25 * time.Millisecond
)

const (
	// prefillDelay is the time that an engine takes to prefill a short prompt.
	prefillDelay = 10 * time.Millisecond
	// loadLag is the minimum age of the stand-ins' load reports.
	loadLag = 100 * time.Millisecond
	// drainTimeout limits how long a stopping router waits for long answers.
	drainTimeout = 10 * time.Second
	// maxConnections, maxHeaderBytes, maxQueued and maxQueuedBytes are the
	// defaults of the daemon's flags, which apply only on its command line.
	maxConnections = 20000
	maxHeaderBytes = 32 << 10
	maxQueued      = 50000
	maxQueuedBytes = 256 << 20
)

const (
	loopback   = "127.0.0.1:0"
	fleetToken = "fleet-token"
	seedRouter = 0
)

// Fleet is a running fleet.
type Fleet struct {
	options     Options
	PlatformURL string
	Routers     []*daemon.Daemon

	engines   []*engine.Engine
	workers   []*worker.Worker
	ledgers   map[state.Upstream]*upstream.Ledger
	services  map[state.Upstream]state.Service
	upstreams map[state.Service][]config.Upstream
	stops     []func()
	routers   *errgroup.Group
	cancel    context.CancelFunc
}

// Start starts the stand-ins and the routers. It waits until every router has
// its settings and is connected to the others.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		options:   options.withDefaults(),
		ledgers:   make(map[state.Upstream]*upstream.Ledger),
		services:  make(map[state.Upstream]state.Service),
		upstreams: make(map[state.Service][]config.Upstream),
	}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (o Options) withDefaults() Options {
	if o.EngineSlots == 0 {
		o.EngineSlots = DefaultEngineSlots
	}
	if o.WorkerSlots == 0 {
		o.WorkerSlots = DefaultWorkerSlots
	}
	if o.TokenDelay == 0 {
		o.TokenDelay = DefaultTokenDelay
	}
	return o
}

func (f *Fleet) start(ctx context.Context) error {
	url, stop, err := platform.New(platform.Options{}).Start(loopback)
	if err != nil {
		return err
	}
	f.PlatformURL = url
	f.stops = append(f.stops, stop)
	if err := f.startUpstreams(); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	if f.options.WithoutRouters {
		return nil
	}
	if err := f.startRouters(); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) startUpstreams() error {
	for i := range engineCount {
		if err := f.startEngine(i); err != nil {
			return err
		}
	}
	for i := range workerCount {
		if err := f.startWorker(i); err != nil {
			return err
		}
	}
	return nil
}

// standIn holds the methods that the stand-ins of engines and of workers share.
type standIn interface {
	Start(addr string) (baseURL string, stop func(), err error)
	Ledger() *upstream.Ledger
}

func (f *Fleet) startEngine(i int) error {
	name := state.Upstream(fmt.Sprintf("engine-%02d", i+1))
	e := engine.New(engine.Options{
		Options:      upstream.Options{Name: name, Slots: f.options.EngineSlots, LoadLag: loadLag},
		PrefillDelay: prefillDelay,
		TokenDelay:   f.options.TokenDelay,
	})
	f.engines = append(f.engines, e)
	return f.startUpstream(f.options.Sample.Engines, name, i, e)
}

func (f *Fleet) startWorker(i int) error {
	name := state.Upstream(fmt.Sprintf("worker-%d", i+1))
	w := worker.New(worker.Options{
		Options: upstream.Options{Name: name, Slots: f.options.WorkerSlots, LoadLag: loadLag},
	})
	f.workers = append(f.workers, w)
	return f.startUpstream(f.options.Sample.Workers, name, i, w)
}

func (f *Fleet) startUpstream(service state.Service, name state.Upstream, i int, s standIn) error {
	url, stop, err := s.Start(loopback)
	if err != nil {
		return err
	}
	f.stops = append(f.stops, stop)
	f.ledgers[name] = s.Ledger()
	f.services[name] = service
	f.upstreams[service] = append(f.upstreams[service], config.Upstream{Name: name, URL: url, DataCentre: f.dataCentre(i)})
	return nil
}

func (f *Fleet) dataCentre(i int) state.DataCentre {
	all := f.options.Sample.DataCentres
	return all[i%len(all)]
}

// configure writes the settings directly to the platform, as the first settings
// can't be written through a router.
func (f *Fleet) configure(ctx context.Context) error {
	sample := f.options.Sample
	for _, team := range sample.Teams {
		if err := f.putObject(ctx, config.TeamKey(team.Name), team.subtree()); err != nil {
			return err
		}
	}
	return f.putObject(ctx, config.RootKey, sample.root(f.upstreams[sample.Engines], f.upstreams[sample.Workers]))
}

func (f *Fleet) putObject(ctx context.Context, key string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	store := objectstore.NewClient(objectstore.ClientOptions{BaseURL: f.PlatformURL})
	_, err = store.Put(ctx, key, body, 0)
	return err
}

func (f *Fleet) startRouters() error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.routers = &errgroup.Group{}
	for i := range routersPerDataCentre * len(f.options.Sample.DataCentres) {
		router, err := daemon.New(f.routerOptions(i), f.options.Log)
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, router)
		f.routers.Go(func() error { return router.Run(ctx) })
	}
	return nil
}

func (f *Fleet) routerOptions(i int) daemon.Options {
	options := daemon.Options{
		Router:         fmt.Sprintf("router-%d", i+1),
		DataCentre:     string(f.dataCentre(i / routersPerDataCentre)),
		Fleet:          "figstile",
		Listen:         loopback,
		AdminListen:    loopback,
		PeerListen:     loopback,
		Platform:       f.PlatformURL,
		Secrets:        daemon.Secrets{FleetToken: fleetToken},
		MaxConnections: maxConnections,
		MaxHeaderBytes: maxHeaderBytes,
		MaxQueued:      maxQueued,
		MaxQueuedBytes: maxQueuedBytes,
		DrainTimeout:   drainTimeout,
		LogLevel:       "warn",
	}
	if i > seedRouter {
		options.Peers = []string{f.Routers[seedRouter].Addresses().Peers}
	}
	return options
}

// readyInterval is the interval between checks of whether a starting fleet is
// ready.
const readyInterval = 50 * time.Millisecond

// awaitReady waits until each router has settings and sees all others, and
// until every upstream has an owner with a fresh load report. Before that,
// routers would refuse requests.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !f.isReady() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(errors.New("devfleet: the fleet did not become ready"), ctx.Err())
		}
	}
	return nil
}

func (f *Fleet) isReady() bool {
	usable := 0
	for _, router := range f.Routers {
		status := router.Status()
		if len(status.Peers) != len(f.Routers)-1 || len(status.Versions) != len(f.options.Sample.Teams)+1 {
			return false
		}
		for _, u := range status.Owned {
			if u.Fresh {
				usable++
			}
		}
	}
	return usable == engineCount+workerCount
}

// Stop drains the routers and stops the stand-ins.
func (f *Fleet) Stop() {
	if f.cancel != nil {
		f.cancel()
		_ = f.routers.Wait()
	}
	for _, stop := range f.stops {
		stop()
	}
}

// Describe returns the fleet's addresses for a load generator.
func (f *Fleet) Describe() loadgen.Fleet {
	description := loadgen.Fleet{StatusToken: OperatorToken}
	for i, router := range f.Routers {
		addresses := router.Addresses()
		description.Routers = append(description.Routers, loadgen.Router{
			Name:      state.Router(fmt.Sprintf("router-%d", i+1)),
			CallerURL: "http://" + addresses.Callers,
			AdminURL:  "http://" + addresses.Admin,
		})
	}
	for service, upstreams := range f.upstreams {
		for _, u := range upstreams {
			description.Upstreams = append(description.Upstreams, loadgen.Upstream{Name: u.Name, Service: service, URL: u.URL})
		}
	}
	return description
}

// Entries returns the requests that each upstream received.
func (f *Fleet) Entries() map[state.Upstream][]upstream.Entry {
	entries := make(map[state.Upstream][]upstream.Entry, len(f.ledgers))
	for name, ledger := range f.ledgers {
		entries[name] = ledger.Entries()
	}
	return entries
}

// adminURL returns the URL of a path on the admin listener of one router.
func (f *Fleet) adminURL(i int, path string) string {
	return "http://" + f.Routers[i].Addresses().Admin + path
}

func withOperatorToken(request *http.Request) *http.Request {
	request.Header.Set("Authorization", "Bearer "+OperatorToken)
	request.Header.Set("Content-Type", "application/json")
	return request
}
