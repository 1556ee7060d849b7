package orders

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	// DefaultTick is a third of the gap that the decider takes for a pause.
	DefaultTick = time.Second
	// connectTimeout is the share of the lease's margin meant for connecting.
	connectTimeout = 2 * time.Second
	// eventBacklog holds reports and ticks while one event is handled.
	eventBacklog = 16
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
	// Tick is the pace of the decider's clock.
	Tick time.Duration
	// Clock reads both clocks of the process; SystemClock if nil.
	Clock func() fencing.Instant
	Log   zerolog.Logger
}

// Controller gives one engine the orders that bring it to what is wanted.
type Controller struct {
	opts   Options
	holder *fencing.Holder
	events chan fencing.Event
	ended  chan struct{}
}

// New returns a controller that wants nothing yet.
func New(opts Options) *Controller {
	if opts.HTTPClient == nil {
		opts.HTTPClient = newHTTPClient()
	}
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Tick <= 0 {
		opts.Tick = DefaultTick
	}
	if opts.Clock == nil {
		opts.Clock = SystemClock()
	}
	opts.Log = opts.Log.With().Str("upstream", string(opts.Upstream)).Logger()
	return &Controller{
		opts:   opts,
		holder: fencing.NewHolder(opts.Holder, opts.Clock()),
		events: make(chan fencing.Event, eventBacklog),
		ended:  make(chan struct{}),
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

// Want replaces what the engine is to hold; nil gives the engine up. It waits
// for Run to take it, and does nothing once Run has ended.
func (c *Controller) Want(wish *fencing.Wish) { c.post(fencing.Wanted{Wish: wish}) }

// Report passes on a load report of the engine that was read just now. It is
// dropped if Run is behind, for another one follows.
func (c *Controller) Report(report state.LoadReport) {
	select {
	case c.events <- fencing.Reported{Report: report}:
	default:
	}
}

func (c *Controller) post(event fencing.Event) {
	select {
	case c.events <- event:
	case <-c.ended:
	}
}

// Run gives orders until the context ends, and returns its error. It must be
// called once. A lease that is held then lapses by itself; Want(nil) beforehand
// releases it.
func (c *Controller) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	defer close(c.ended)
	ticker := time.NewTicker(c.opts.Tick)
	defer ticker.Stop()
	for {
		event, err := c.next(ctx, ticker.C)
		if err != nil {
			return err
		}
		for _, action := range c.holder.Step(c.opts.Clock(), event) {
			calls.Go(func() { c.post(c.perform(ctx, action)) })
		}
	}
}

func (c *Controller) next(ctx context.Context, ticks <-chan time.Time) (fencing.Event, error) {
	select {
	case event := <-c.events:
		return event, nil
	case <-ticks:
		return fencing.Tick{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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
