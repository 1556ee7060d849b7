package orders

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/fencing"
	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/objectstore"
	poll "github.com/figstile/figstile/transport/upstream"
)

// waitTimeout limits waits for conditions; no outcome depends on it.
const waitTimeout = 20 * time.Second

// controllerFixture is an engine, a store and a clock that only the test
// advances.
type controllerFixture struct {
	t             *testing.T
	engine        *engine.Engine
	url           string
	store         objectstore.Store
	now           fencing.Instant
	checksFencing bool
}

func newControllerFixture(t *testing.T, checksFencing bool) *controllerFixture {
	t.Helper()
	e := engine.New(engine.Options{ChecksFencing: checksFencing})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return &controllerFixture{
		t: t, engine: e, url: server.URL, checksFencing: checksFencing,
		store: platform.NewStore(platform.StoreOptions{}),
		now:   fencing.Instant{Wall: time.Unix(1_000_000, 0)},
	}
}

func (b *controllerFixture) controller(name state.Router, client *http.Client) *Controller {
	return New(Options{
		Upstream: "engine", BaseURL: b.url, Store: b.store, HTTPClient: client,
		Holder: fencing.Config{Self: name, Incarnation: 1, ChecksFencing: b.checksFencing, Timing: fencing.DefaultTiming()},
		Clock:  func() fencing.Instant { return b.now },
		Log:    zerolog.Nop(),
	})
}

// runStep passes an event to a controller, and performs all resulting actions
// at once.
func (b *controllerFixture) runStep(c *Controller, event fencing.Event) {
	for _, action := range c.holder.Step(b.now, event) {
		b.runStep(c, c.perform(b.t.Context(), action))
	}
}

// advanceSecond advances the clock by one second and passes the engine's load
// report to a controller.
func (b *controllerFixture) advanceSecond(c *Controller) {
	b.now.Monotonic += time.Second
	b.now.Wall = b.now.Wall.Add(time.Second)
	b.runStep(c, fencing.ReportReceived{Report: b.engine.Load()})
}

// delayedTransport is a transport that calls beforeFirst before it sends the
// first order.
type delayedTransport struct{ beforeFirst func() }

func (d *delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if d.beforeFirst != nil {
		d.beforeFirst()
		d.beforeFirst = nil
	}
	return http.DefaultTransport.RoundTrip(r)
}

// TestPausedHolderResumes pauses router r1 before it sends an order under its
// lease; r2 takes over and loads "new". An engine that checks fencing numbers
// rejects r1's late order; for others r1 must find by its clock that it is too
// late. Only "new" may stay loaded, and r1 must read the lease before it acts.
func TestPausedHolderResumes(t *testing.T) {
	for name, checks := range map[string]bool{"engine checks fencing numbers": true, "engine ignores fencing numbers": false} {
		t.Run(name, func(t *testing.T) {
			b := newControllerFixture(t, checks)
			second := b.controller("r2", nil)
			transport := &delayedTransport{beforeFirst: func() {
				b.runStep(second, fencing.DesiredChanged{Desired: &fencing.DesiredState{Models: []state.Model{"new"}}})
				for range 20 {
					b.advanceSecond(second)
				}
			}}
			first := b.controller("r1", &http.Client{Transport: transport})
			b.runStep(first, fencing.DesiredChanged{Desired: &fencing.DesiredState{Models: []state.Model{"old"}}})
			b.advanceSecond(first)

			require.Nil(t, transport.beforeFirst, "the order was not delayed")
			require.Equal(t, []state.Model{"new"}, b.engine.Models())
			require.Zero(t, first.holder.Number())
			received := b.engine.Orders().Orders
			if !checks {
				require.Len(t, received, 1)
				return
			}
			require.Len(t, received, 2)
			require.False(t, received[1].Applied)
		})
	}
}

// TestOrderBeingSentIsNotLate covers an order whose time runs out while its
// bytes are being sent. It has been given, so it must not be reported as never
// sent.
func TestOrderBeingSentIsNotLate(t *testing.T) {
	var now fencing.Instant
	var late atomic.Bool
	body := &guardedBody{
		Reader: strings.NewReader("order"), late: &late,
		order: fencing.SendOrder{Within: time.Second},
		clock: func() fencing.Instant { return now },
	}
	_, err := body.Read(make([]byte, 2))
	require.NoError(t, err)
	now.Monotonic = time.Minute
	rest, err := io.ReadAll(body)
	require.NoError(t, err)
	require.Equal(t, "der", string(rest))
	require.False(t, late.Load())
}

// TestNoOrderWithoutAnAnsweredLease loses the answer to the write that takes
// the lease; then the store is unavailable. No order may be sent meanwhile.
// Afterwards the engine must reach the desired state.
func TestNoOrderWithoutAnAnsweredLease(t *testing.T) {
	b := newControllerFixture(t, false)
	p := platform.New(platform.Options{Faults: platform.Faults{LoseAnswers: 1}})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	b.store = objectstore.NewClient(objectstore.ClientOptions{BaseURL: server.URL})
	c := b.controller("r1", nil)
	b.runStep(c, fencing.DesiredChanged{Desired: &fencing.DesiredState{Models: []state.Model{"m"}, Role: "decode"}})
	b.advanceSecond(c)
	p.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	for range 10 {
		b.advanceSecond(c)
	}
	require.Empty(t, b.engine.Orders().Orders)
	p.SetFaults(platform.Faults{})
	for range 10 {
		b.advanceSecond(c)
	}
	require.Equal(t, []state.Model{"m"}, b.engine.Models())
	require.Equal(t, "decode", b.engine.Orders().Role)
	require.Zero(t, c.holder.Number(), "the lease is released")
}

func TestRunLoadsWantedModels(t *testing.T) {
	e := engine.New(engine.Options{Options: upstream.Options{Name: "engine", Models: []state.Model{"surplus"}}})
	url, stop, err := e.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer stop()
	timing := fencing.DefaultTiming()
	timing.MaxReportAge = 0
	c := New(Options{
		Upstream: "engine", BaseURL: url, Store: platform.NewStore(platform.StoreOptions{}),
		Holder: fencing.Config{Self: "r1", Incarnation: 1, Timing: timing}, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	c.SetDesired(&fencing.DesiredState{Models: []state.Model{"m"}}, 1)
	require.Eventually(t, func() bool {
		report, err := poll.FetchReport(ctx, http.DefaultClient, url, "engine")
		require.NoError(t, err)
		c.Report(report)
		models := e.Models()
		return len(models) == 1 && models[0] == "m"
	}, waitTimeout, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	c.SetDesired(nil, 1)
}

// TestHolderWithOldSettingsWaits has "old" replaced by "new" while router r1 is
// cut off; r2 does it and releases the lease. r1 comes back with the old
// settings and finds the lease free. It must give no order until it has
// received the new settings, and must then follow them.
func TestHolderWithOldSettingsWaits(t *testing.T) {
	b := newControllerFixture(t, true)
	old, second := b.controller("r1", nil), b.controller("r2", nil)
	want := func(c *Controller, settings uint64, model state.Model) {
		for _, action := range c.handleInput(input{event: fencing.DesiredChanged{Desired: &fencing.DesiredState{Models: []state.Model{model}}}, settingsVersion: settings}) {
			b.runStep(c, c.perform(b.t.Context(), action))
		}
	}
	seconds := func(c *Controller) {
		for range 12 {
			b.advanceSecond(c)
		}
	}
	want(second, 2, "new")
	seconds(second)
	require.Zero(t, second.holder.Number(), "the lease is released")
	want(old, 1, "old")
	seconds(old)
	require.Equal(t, []state.Model{"new"}, b.engine.Models())
	require.Len(t, b.engine.Orders().Orders, 1)
	want(old, 3, "newer")
	seconds(old)
	require.Equal(t, []state.Model{"newer"}, b.engine.Models())
}
