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

// orderManager runs a controller of orders for each engine that this router owns
// and whose settings say what it shall hold.
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

// orderManagerOptions sets up an orderManager.
type orderManagerOptions struct {
	Router      state.Router
	Incarnation state.Incarnation
	Store       objectstore.Store
	// Timing is that of the leases.
	Timing fencing.Timing
	// Settings returns the view in force, nil if there is none, and the
	// version of its root.
	Settings func() (*config.View, uint64)
	Log      zerolog.Logger
}

// engineOrders is one engine's controller and what it was told.
type engineOrders struct {
	controller      *orders.Controller
	target          orderTarget
	models          []state.Model
	settingsVersion uint64
	draining        bool
	// invalidReports is set while the engine's load reports cannot be right.
	invalidReports bool
}

// orderTarget is what a controller cannot change while it runs.
type orderTarget struct {
	upstream      state.Upstream
	url           string
	checksFencing bool
}

// desiredModels is what one engine shall hold.
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

// onSettings compares the controllers with new settings.
func (o *orderManager) onSettings() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reconcile()
}

// onReport passes a load report on to the engine's controller. A report that
// cannot be right is dropped: it would bring orders against a sound engine. The
// first of a row is logged, as an engine is polled once a second.
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

// reconcile brings the controllers in line with ownership and settings.
func (o *orderManager) reconcile() {
	desired, version := o.desired()
	for name, e := range o.engines {
		if w, ok := desired[name]; !ok || w.target != e.target {
			o.drainEngine(e)
		}
	}
	for _, w := range desired {
		o.applyDesired(w, version)
	}
}

// desired returns what the owned engines shall hold, and the version of the
// settings that say so.
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

// applyDesired tells an engine's controller the wish if it is news, and starts one
// if there is none. One that is leaving may still wait for the end of its last
// order; a second beside it would give the engine two at a time. The next one
// starts when it has ended.
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

// updateController passes on what is news. Every change of the settings brings a version,
// few bring a wish.
func (e *engineOrders) updateController(models []state.Model, version uint64) {
	switch {
	case !slices.Equal(e.models, models):
		e.controller.SetWish(&fencing.DesiredState{Models: models}, version)
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

// run ends when the engine is given up, and then looks whether it is wanted
// again.
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

// drain gives up every engine and waits until orders under way have ended and
// the leases are released, so that the next owner need not wait for their end.
// When the context ends it breaks off what is left.
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

// errOrdersAborted says that orders under way were broken off by a stop.
var errOrdersAborted = errors.New("daemon: orders to engines were broken off")

// close breaks everything off at once.
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

// orderSettings returns the view in force and the version of its root. A root
// that arrives between the two reads gives a version that does not fit the
// view; the notice of that change follows at once and puts it right.
func orderSettings(source *settings.Source) (*config.View, uint64) {
	view := source.View()
	return view, source.Versions()[config.RootKey]
}

// onLoadEvent hands a load report to the orders and to the scheduler.
func (d *Daemon) onLoadEvent(event scheduler.Event) {
	if reported, ok := event.(scheduler.Reported); ok {
		d.orders.onReport(reported.Report)
	}
	d.post(event)
}
