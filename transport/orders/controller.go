package orders

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/fencing"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/objectstore"
)

// Defaults of Options.
const (
	// DefaultTimeout is how long an engine may take to load a model: a large
	// read from a rate-limited weight store.
	DefaultTimeout = 10 * time.Minute
	// DefaultTickInterval is a third of the gap that the decider takes for a pause.
	DefaultTickInterval = time.Second
	// connectTimeout is the share of the lease's margin meant for connecting.
	connectTimeout = 2 * time.Second
	// inputBuffer holds reports and ticks while one event is handled.
	inputBuffer = 16
)

// Options sets up a Controller.
type Options struct {
	Upstream state.Upstream
	// BaseURL is the engine's address.
	BaseURL string
	Store   objectstore.Store
	Holder  fencing.Config
	// HTTPClient sends orders; a client that opens a connection for each
	// order if nil.
	HTTPClient *http.Client
	// Timeout bounds one order.
	Timeout time.Duration
	// TickInterval is the pace of the decider's clock.
	TickInterval time.Duration
	// Clock reads both clocks of the process; SystemClock if nil.
	Clock func() fencing.Instant
	Log   zerolog.Logger
}

// Controller gives one engine the orders that bring it to what is wanted.
type Controller struct {
	opts   Options
	holder *fencing.Holder
	inputs chan input
	done   chan struct{}

	// settingsVersion is the version that the present wish is in force by.
	settingsVersion atomic.Uint64
	// storeUnavailable is set while the store gives no answer.
	storeUnavailable atomic.Bool
	// draining is set once the engine is given up.
	draining atomic.Bool
	// pendingActions counts the actions without an answer; only Run touches it.
	pendingActions int
}

// input is what Run takes: an event and what comes with it.
type input struct {
	event fencing.Event
	// settingsVersion is the version that the wish is in force by; zero if the event
	// tells nothing of it.
	settingsVersion uint64
	// completesAction is set if the event is the answer to an action.
	completesAction bool
	// startsDrain is set if the engine is given up.
	startsDrain bool
}

// New returns a controller that wants nothing yet.
func New(opts Options) *Controller {
	if opts.HTTPClient == nil {
		opts.HTTPClient = newHTTPClient()
	}
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.TickInterval <= 0 {
		opts.TickInterval = DefaultTickInterval
	}
	if opts.Clock == nil {
		opts.Clock = SystemClock()
	}
	opts.Log = opts.Log.With().Str("upstream", string(opts.Upstream)).Logger()
	return &Controller{
		opts:   opts,
		holder: fencing.NewHolder(opts.Holder, opts.Clock()),
		inputs: make(chan input, inputBuffer),
		done:   make(chan struct{}),
	}
}

// newHTTPClient returns a client that keeps no connections: a kept one may be
// cut without notice, and the kernel would hold an order back and deliver it
// after the lease's end.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

// SystemClock returns a reader of the machine's clocks.
func SystemClock() func() fencing.Instant {
	start := time.Now()
	return func() fencing.Instant {
		now := time.Now()
		// Round strips the monotonic reading, which would hide from the wall
		// clock what the monotonic one does not see.
		return fencing.Instant{Monotonic: now.Sub(start), Wall: now.Round(0)}
	}
}

// SetWish replaces what the engine is to hold; nil leaves it as it is. The
// settings are the version that the wish was read from. Want waits for Run to
// take it, and does nothing once Run has ended.
func (c *Controller) SetWish(wish *fencing.DesiredState, settings uint64) {
	c.post(input{event: fencing.DesiredChanged{Desired: wish}, settingsVersion: settings})
}

// ConfirmSettings says that the present wish stands in later settings too. It is not
// wanted anew, which would end the back-off of orders that fail.
func (c *Controller) ConfirmSettings(settings uint64) {
	c.post(input{event: fencing.Tick{}, settingsVersion: settings})
}

// Drain has Run end as soon as the order under way has ended and the lease is
// released. No further order is given.
func (c *Controller) Drain() { c.post(input{event: fencing.DesiredChanged{}, startsDrain: true}) }

// Report passes on a load report of the engine that was read just now. It is
// dropped if Run is behind, for another one follows.
func (c *Controller) Report(report state.LoadReport) {
	select {
	case c.inputs <- input{event: fencing.ReportReceived{Report: report}}:
	default:
	}
}

func (c *Controller) post(in input) {
	select {
	case c.inputs <- in:
	case <-c.done:
	}
}

// Run gives orders until the context ends, and returns its error, or until
// the engine is given up, and returns nil. It must be called once. If the
// context ends, an order under way is broken off and a lease that is held
// lapses by itself.
func (c *Controller) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	defer close(c.done)
	ticker := time.NewTicker(c.opts.TickInterval)
	defer ticker.Stop()
	for !c.isDrained() {
		in, err := c.nextInput(ctx, ticker.C)
		if err != nil {
			return err
		}
		for _, action := range c.handleInput(in) {
			calls.Go(func() { c.post(input{event: c.perform(ctx, action), completesAction: true}) })
		}
	}
	return nil
}

// isDrained reports whether a given-up engine needs nothing more: no call is
// under way, and the lease is not held. A lease that cannot be released is left
// to its end: waiting for a store that is away would hold up the router's stop.
func (c *Controller) isDrained() bool {
	if !c.draining.Load() || c.pendingActions > 0 {
		return false
	}
	return c.holder.Number() == 0 || c.storeUnavailable.Load()
}

func (c *Controller) nextInput(ctx context.Context, ticks <-chan time.Time) (input, error) {
	select {
	case in := <-c.inputs:
		return in, nil
	case <-ticks:
		return input{event: fencing.Tick{}}, nil
	case <-ctx.Done():
		return input{}, ctx.Err()
	}
}

// handleInput lets the decider see an input and counts what it asks for.
func (c *Controller) handleInput(in input) []fencing.Action {
	if in.completesAction {
		c.pendingActions--
	}
	if in.settingsVersion > 0 {
		c.settingsVersion.Store(in.settingsVersion)
	}
	if in.startsDrain {
		c.draining.Store(true)
	}
	actions := c.holder.Step(c.opts.Clock(), in.event)
	c.pendingActions += len(actions)
	return actions
}

// perform does one action and returns the event that answers it.
func (c *Controller) perform(ctx context.Context, action fencing.Action) fencing.Event {
	switch a := action.(type) {
	case fencing.ReadLease:
		return c.readLease(ctx)
	case fencing.WriteLease:
		return c.writeLease(ctx, a)
	case fencing.SendOrder:
		return c.sendOrder(ctx, a)
	default:
		return fencing.Tick{}
	}
}
