package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/fencing"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/orders"
	"github.com/figstile/figstile/transport/settings"
	"github.com/figstile/figstile/transport/upstream"
)

// orderManager runs a controller for each engine that this router owns and for
// which the settings list wanted models. A controller gives an engine orders to
// load or unload models.
type orderManager struct {
	options            orderManagerOptions
	ctx                context.Context
	cancel             context.CancelFunc
	runningControllers sync.WaitGroup

	mu      sync.Mutex
	owned   []state.Upstream
	closed  bool
	engines map[state.Upstream]*engineOrders
}

// orderManagerOptions configure an orderManager.
type orderManagerOptions struct {
	Router      state.Router
	Incarnation state.Incarnation
	Store       objectstore.Store
	// Timing contains the durations of the leases.
	Timing fencing.Timing
	// Settings returns the view in force, or nil if there is none, and the
	// version of its root.
	Settings func() (*config.View, uint64)
	Log      zerolog.Logger
}

// engineOrders is the controller of one engine, with the settings last passed
// to it.
type engineOrders struct {
	controller      *orders.Controller
	target          orderTarget
	models          []state.Model
	settingsVersion uint64
	draining        bool
	// invalidReports is set while the engine's load reports are invalid.
	invalidReports bool
}

// orderTarget holds the settings that cannot change while a controller runs.
type orderTarget struct {
	upstream      state.Upstream
	url           string
	checksFencing bool
}

// desiredModels lists the models that an engine should have loaded.
type desiredModels struct {
	target orderTarget
	models []state.Model
}

func newOrderManager(options orderManagerOptions) *orderManager {
	ctx, cancel := context.WithCancel(context.Background())
	return &orderManager{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		engines: make(map[state.Upstream]*engineOrders),
	}
}

// setOwned replaces the upstreams that this router owns.
func (o *orderManager) setOwned(owned []state.Upstream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owned = slices.Clone(owned)
	o.reconcile()
}

// onSettings adapts the controllers to new settings.
func (o *orderManager) onSettings() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reconcile()
}

// onReport passes a load report to the engine's controller. It drops an invalid
// report, which would lead to orders that the engine does not need. Only the
// first invalid report in a row is logged, because an engine is polled once a
// second.
func (o *orderManager) onReport(report state.LoadReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.engines[report.Upstream]
	if e == nil || e.draining {
		return
	}
	err := upstream.CheckReport(report.Upstream, report)
	if err != nil && !e.invalidReports {
		o.options.Log.Warn().Err(err).Msg("order_report_refused")
	}
	e.invalidReports = err != nil
	if err == nil {
		e.controller.Report(report)
	}
}

// reconcile starts, updates and drains controllers according to ownership and
// settings.
func (o *orderManager) reconcile() {
	desired, version := o.desired()
	for name, e := range o.engines {
		if wanted, ok := desired[name]; !ok || wanted.target != e.target {
			o.drainEngine(e)
		}
	}
	for _, wanted := range desired {
		o.applyDesired(wanted, version)
	}
}

// desired returns the wanted models of the owned engines, and the version of
// the settings that list them.
func (o *orderManager) desired() (map[state.Upstream]desiredModels, uint64) {
	desired := make(map[state.Upstream]desiredModels)
	view, version := o.options.Settings()
	if view == nil || o.closed {
		return desired, version
	}
	for _, u := range ownedUpstreams(view.Settings(), o.owned) {
		if len(u.WantedModels) > 0 {
			desired[u.Name] = desiredModelsOf(u)
		}
	}
	return desired, version
}

func desiredModelsOf(u config.Upstream) desiredModels {
	target := orderTarget{upstream: u.Name, url: u.URL, checksFencing: u.ChecksFencing}
	return desiredModels{target: target, models: u.WantedModels}
}

// applyDesired passes changes to an engine's controller, and starts a
// controller if there is none. A draining controller may still wait for the end
// of its last order; a second controller beside it would give the engine two
// orders at a time. The next one is therefore started when the draining one has
// ended.
func (o *orderManager) applyDesired(desired desiredModels, version uint64) {
	e := o.engines[desired.target.upstream]
	if e == nil {
		e = o.start(desired.target)
	}
	if e.draining {
		return
	}
	e.updateController(desired.models, version)
}

// updateController passes changes to the controller. Every change of the
// settings has a new version, but few change the wanted models.
func (e *engineOrders) updateController(models []state.Model, version uint64) {
	switch {
	case !slices.Equal(e.models, models):
		e.controller.SetDesired(&fencing.DesiredState{Models: models}, version)
	case e.settingsVersion != version:
		e.controller.ConfirmSettings(version)
	}
	e.models = models
	e.settingsVersion = version
}

func (o *orderManager) start(target orderTarget) *engineOrders {
	e := &engineOrders{target: target, controller: orders.New(orders.Options{
		Upstream: target.upstream,
		BaseURL:  target.url,
		Store:    o.options.Store,
		Holder: fencing.Config{
			Self:          o.options.Router,
			Incarnation:   o.options.Incarnation,
			ChecksFencing: target.checksFencing,
			Timing:        o.options.Timing,
		},
		Log: o.options.Log,
	})}
	o.engines[target.upstream] = e
	o.runningControllers.Go(func() { o.run(e) })
	return e
}

// run runs a controller until it has drained, and then starts a new one if the
// engine is wanted again.
func (o *orderManager) run(e *engineOrders) {
	err := e.controller.Run(o.ctx)
	o.options.Log.Info().Str("upstream", string(e.target.upstream)).Err(err).Msg("orders_ended")
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.engines, e.target.upstream)
	o.reconcile()
}

func (o *orderManager) drainEngine(e *engineOrders) {
	if e.draining {
		return
	}
	e.draining = true
	e.controller.Drain()
}

// drain drains all controllers, and waits until orders in progress have ended
// and the leases are released, so that the next owner need not wait for the
// leases to expire. When the context ends, it aborts the remaining orders.
func (o *orderManager) drain(ctx context.Context) error {
	o.mu.Lock()
	o.closed = true
	o.reconcile()
	o.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		o.runningControllers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		o.cancel()
		<-ended
		return errOrdersAborted
	}
}

// errOrdersAborted reports that a stop aborted orders in progress.
var errOrdersAborted = errors.New("daemon: orders to engines were aborted")

// close aborts all orders and waits for the controllers to end.
func (o *orderManager) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.runningControllers.Wait()
}

func (d *Daemon) openOrders() {
	d.orders = newOrderManager(orderManagerOptions{
		Router:      d.options.router(),
		Incarnation: d.incarnation,
		Store:       d.store,
		Timing:      fencing.DefaultTiming(),
		Settings:    func() (*config.View, uint64) { return orderSettings(d.source) },
		Log:         d.log,
	})
}

// orderSettings returns the view in force and the version of its root. If a
// root arrives between the two reads, the version does not match the view. The
// notification of that change follows at once and corrects it.
func orderSettings(source *settings.Source) (*config.View, uint64) {
	view := source.View()
	return view, source.Versions()[config.RootKey]
}

// onLoadEvent passes an event of the load poller to the order manager and to
// the scheduler.
func (d *Daemon) onLoadEvent(event scheduler.Event) {
	if reported, ok := event.(scheduler.Reported); ok {
		d.orders.onReport(reported.Report)
	}
	d.post(event)
}
