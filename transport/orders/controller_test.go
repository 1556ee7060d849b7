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

// waitTimeout bounds waits on conditions; no outcome depends on it.
const waitTimeout = 20 * time.Second

// controllerFixture is an engine, a store and a clock that only the test moves.
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

// runStep lets a controller take an event and all that follows from it at once.
func (b *controllerFixture) runStep(c *Controller, event fencing.Event) {
	for _, action := range c.holder.Step(b.now, event) {
		b.runStep(c, c.perform(b.t.Context(), action))
	}
}

// advanceSecond lets a second pass, at whose end a controller reads the load.
func (b *controllerFixture) advanceSecond(c *Controller) {
	b.now.Monotonic += time.Second
	b.now.Wall = b.now.Wall.Add(time.Second)
	b.runStep(c, fencing.ReportReceived{Report: b.engine.Load()})
}

// delayedTransport is a transport that holds up the first order until the test has done
// something else.
type delayedTransport struct{ beforeFirst func() }

func (p *delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.beforeFirst != nil {
		p.beforeFirst()
		p.beforeFirst = nil
	}
	return http.DefaultTransport.RoundTrip(r)
}

// A router takes the lease to load model "old" and is paused before the order
// leaves it. Its lease lapses, another router takes it and loads "new". The
// first router resumes and lets its order go. An engine that checks fencing
// numbers refuses it; for one that ignores them the router finds by its own
// clock that it is late. Either way the engine holds "new" alone, and the first
// router reads who holds the lease before anything else.
func TestPausedHolderResumes(t *testing.T) {
	for name, checks := range map[string]bool{"engine checks numbers": true, "engine ignores numbers": false} {
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

			require.Nil(t, transport.beforeFirst, "the order was not held up")
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

// The time for an order runs out while its bytes go out. It has been given, so
// it must not be reported as one that was never sent.
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

// The store loses the answer to the write that takes the lease, and then is
// away. No order may go out meanwhile; afterwards the wish is fulfilled.
func TestNoOrderWithoutAnAnsweredLease(t *testing.T) {
	b := newControllerFixture(t, false)
	p := platform.New(platform.Options{Faults: platform.Faults{LoseAnswers: 1}})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	b.store = objectstore.NewClient(objectstore.ClientOptions{BaseURL: server.URL})
	c := b.controller("r1", nil)
	b.runStep(c, fencing.DesiredChanged{Desired: &fencing.DesiredState{Models: []state.Model{"m"}, Role: "decode"}})
	b.advanceSecond(c)
	p.SetFaults(platform.Faults{Outage: platform.Refuse})
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
	c.SetWish(&fencing.DesiredState{Models: []state.Model{"m"}}, 1)
	require.Eventually(t, func() bool {
		report, err := poll.FetchReport(ctx, http.DefaultClient, url, "engine")
		require.NoError(t, err)
		c.Report(report)
		models := e.Models()
		return len(models) == 1 && models[0] == "m"
	}, waitTimeout, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	c.SetWish(nil, 1)
}

// An operator has "old" replaced by "new" while router r1 is cut off. r2 does
// it and gives the lease back. r1 comes back, finds the lease free and the
// engine without "old", which it still wants. It must not touch the engine
// until the settings have reached it, and must obey them then.
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
