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

// These are the defaults of Options.
const (
	// DefaultTimeout is the time that an engine may take to load a model, which
	// is a large read from a rate-limited weight store.
	DefaultTimeout = 10 * time.Minute
	// DefaultTickInterval is a third of the gap between events (3 s by default)
	// after which the state machine assumes that the process was paused.
	DefaultTickInterval = time.Second
	// connectTimeout is the part of the lease's safety margin that is meant for
	// connecting to the engine.
	connectTimeout = 2 * time.Second
	// inputBuffer is the number of reports and ticks that can wait while one
	// event is handled.
	inputBuffer = 16
)

// Options configure a Controller.
type Options struct {
	Upstream state.Upstream
	// BaseURL is the engine's address.
	BaseURL string
	Store   objectstore.Store
	Holder  fencing.Config
	// HTTPClient sends orders; nil means a client that opens a connection for
	// each order.
	HTTPClient *http.Client
	// Timeout limits one order.
	Timeout time.Duration
	// TickInterval is the interval of the state machine's ticks.
	TickInterval time.Duration
	// Clock reads the monotonic and the wall clock; nil means SystemClock.
	Clock func() fencing.Instant
	Log   zerolog.Logger
}

// Controller gives orders to one engine until it has the desired models and
// role.
type Controller struct {
	opts   Options
	holder *fencing.Holder
	inputs chan input
	done   chan struct{}

	// settingsVersion is the version of the settings that contain the current
	// desired state.
	settingsVersion atomic.Uint64
	// storeUnavailable is set while calls to the store fail.
	storeUnavailable atomic.Bool
	// draining is set once Run has received the input of Drain.
	draining atomic.Bool
	// pendingActions counts the actions that have not been answered yet; only
	// Run uses it.
	pendingActions int
}

// input is one input of Run: an event for the state machine with additional
// values.
type input struct {
	event fencing.Event
	// settingsVersion is the version of the settings that contain the desired
	// state; zero if the input does not change it.
	settingsVersion uint64
	// completesAction is set if the event is the answer to an action.
	completesAction bool
	// startsDrain is set if the controller should drain.
	startsDrain bool
}

// New returns a controller without a desired state.
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

// newHTTPClient returns a client that does not reuse connections. A reused
// connection may be cut without notice; the kernel would then keep an order and
// deliver it after the lease has ended.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxAnswerHeadBytes}}
}

// SystemClock returns a function that reads the machine's clocks.
func SystemClock() func() fencing.Instant {
	start := time.Now()
	return func() fencing.Instant {
		now := time.Now()
		// Round strips the monotonic reading. With it, the difference between
		// two wall times would be computed from the monotonic clock, and a
		// pause that only the wall clock shows would be missed.
		return fencing.Instant{Monotonic: now.Sub(start), Wall: now.Round(0)}
	}
}

// SetDesired replaces the desired state of the engine; nil leaves the engine as
// it is. settingsVersion is the version of the settings that contain the desired
// state. SetDesired waits until Run accepts the change, and does nothing once
// Run has ended.
func (c *Controller) SetDesired(desired *fencing.DesiredState, settingsVersion uint64) {
	c.post(input{event: fencing.DesiredChanged{Desired: desired}, settingsVersion: settingsVersion})
}

// ConfirmSettings reports that later settings contain the same desired state.
// It does not set the desired state again, because that would end the back-off
// of failing orders.
func (c *Controller) ConfirmSettings(settingsVersion uint64) {
	c.post(input{event: fencing.Tick{}, settingsVersion: settingsVersion})
}

// Drain makes Run end as soon as the current order has ended and the lease is
// released. No further order is given.
func (c *Controller) Drain() { c.post(input{event: fencing.DesiredChanged{}, startsDrain: true}) }

// Report passes on a load report that was just read from the engine. If Run is
// behind, the report is dropped, as another one follows soon.
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

// Run gives orders until the context ends, in which case it returns the
// context's error, or until the controller has drained, in which case it
// returns nil. It must be called once. If the context ends, an order in
// progress is aborted, and a lease that this router holds is left to expire.
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

// isDrained reports whether a draining controller has finished: no call is in
// progress, and this router does not hold the lease. If the lease cannot be
// released, it is left to expire, because waiting for an unavailable store
// would delay the router's stop.
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

// handleInput passes an input to the state machine and counts the actions that
// it returns.
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

// perform performs one action and returns the event that answers it.
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
