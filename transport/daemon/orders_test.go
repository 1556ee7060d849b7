package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
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
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/orders"
	poll "github.com/figstile/figstile/transport/upstream"
)

// orderFixture is one router's orders before one engine whose loads last until
// the test lets them end.
type orderFixture struct {
	t           *testing.T
	platform    *platform.Platform
	engine      *engine.Engine
	url         string
	loadResults chan error
	view        atomic.Pointer[config.View]
	version     atomic.Uint64
	manager     *orderManager
}

func newOrderFixture(t *testing.T) *orderFixture {
	b := &orderFixture{t: t, platform: platform.New(platform.Options{}), loadResults: make(chan error)}
	b.engine = engine.New(engine.Options{
		Options:   upstream.Options{Name: "engine-1", Sleep: b.sleep},
		LoadDelay: time.Second,
	})
	url, stop, err := b.engine.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(stop)
	b.url = url
	server := httptest.NewServer(b.platform.Handler())
	t.Cleanup(server.Close)
	b.setWantedModels()
	timing := fencing.DefaultTiming()
	timing.MaxReportAge, timing.PollInterval, timing.RetryDelay = 0, time.Millisecond, time.Millisecond
	timing.MinBackoff, timing.MaxBackoff = time.Hour, time.Hour
	b.manager = newOrderManager(orderManagerOptions{
		Router:      "router-1",
		Incarnation: 1,
		Store:       objectstore.NewClient(objectstore.ClientOptions{BaseURL: server.URL}),
		Timing:      timing,
		Settings:    func() (*config.View, uint64) { return b.view.Load(), b.version.Load() },
		Log:         zerolog.Nop(),
	})
	t.Cleanup(b.manager.close)
	b.manager.setOwned([]state.Upstream{"engine-1"})
	return b
}

// sleep is a load under way.
func (b *orderFixture) sleep(ctx context.Context, _ time.Duration) error {
	select {
	case err := <-b.loadResults:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *orderFixture) setWantedModels(models ...state.Model) {
	b.view.Store(config.NewView(config.Root{Services: []config.Service{{
		Name: "drafts", Kind: config.KindEngine,
		Upstreams: []config.Upstream{{Name: "engine-1", URL: b.url, DataCentre: "sala-laredo", WantedModels: models}},
	}}}, nil))
	b.version.Add(1)
	if b.manager != nil {
		b.manager.onSettings()
	}
}

// reportLoad hands the engine's load to the orders.
func (b *orderFixture) reportLoad() {
	report, err := poll.FetchReport(b.t.Context(), http.DefaultClient, b.url, "engine-1")
	require.NoError(b.t, err)
	b.manager.onReport(report)
}

// awaitCondition polls until a condition holds.
func (b *orderFixture) awaitCondition(what string, holds func() bool) {
	b.t.Helper()
	eventually(b.t, what, func() bool {
		b.reportLoad()
		return holds()
	})
}

// drainAll gives up all engines and waits for that.
func (b *orderFixture) drainAll() {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), waitTimeout)
	defer cancel()
	require.NoError(b.t, b.manager.drain(ctx))
}

func (b *orderFixture) ordersReceived() int { return len(b.engine.Orders().Orders) }

func (b *orderFixture) leaseHolder() string {
	object, err := b.platform.Store().Get(b.t.Context(), orders.LeaseKey("engine-1"))
	require.NoError(b.t, err)
	return string(object.Value)
}

func (b *orderFixture) controllerCount() int {
	b.manager.mu.Lock()
	defer b.manager.mu.Unlock()
	return len(b.manager.engines)
}

// Hundreds of routers share the platform's rates. One whose engines hold what
// is wanted, or want nothing, must not call it at all.
func TestNoPlatformCallsWithoutWork(t *testing.T) {
	b := newOrderFixture(t)
	close(b.loadResults)
	b.reportLoad()
	require.Zero(t, b.controllerCount(), "no wish, no controller")
	b.setWantedModels("m")
	b.awaitCondition("the model is loaded and the lease released", func() bool {
		return b.engine.Holds("m") && b.platform.Calls().Put == 2
	})
	calls := b.platform.Calls().Total()
	for range 50 {
		b.reportLoad()
	}
	b.setWantedModels("m")
	b.manager.setOwned(nil)
	b.drainAll()
	require.Equal(t, calls, b.platform.Calls().Total())
}

// The engine moves to another owner while it loads a model. The order must
// end in peace, as it has cost a read from the weight store, no second order
// may follow it, and then the lease is there for the new owner. When the
// engine comes back meanwhile, there is still only one order at a time.
func TestOwnershipMovesWhileAnOrderRuns(t *testing.T) {
	b := newOrderFixture(t)
	b.manager.options.Timing.PollInterval = time.Second // A release must wait for its turn.
	b.setWantedModels("m", "n")
	b.awaitCondition("the first load is under way", func() bool { return b.ordersReceived() == 1 })
	b.manager.setOwned(nil)
	b.manager.setOwned([]state.Upstream{"engine-1"})
	for range 50 {
		b.reportLoad()
	}
	require.Equal(t, 1, b.ordersReceived())
	require.Contains(t, b.leaseHolder(), "router-1")
	b.loadResults <- nil
	b.awaitCondition("the second load is under way", func() bool { return b.ordersReceived() == 2 })
	b.manager.setOwned(nil)
	b.loadResults <- nil
	eventually(t, "the engine is given up", func() bool { return b.controllerCount() == 0 })
	require.NotContains(t, b.leaseHolder(), "router-1")
	require.Equal(t, []state.Model{"m", "n"}, b.engine.Models())
}

// A router is stopped while a load runs and its time for the stop runs out, or
// while the platform is away. The stop must not wait for either.
func TestStopEndsOrders(t *testing.T) {
	t.Run("time runs out", func(t *testing.T) {
		b := newOrderFixture(t)
		b.setWantedModels("m")
		b.awaitCondition("the load is under way", func() bool { return b.ordersReceived() == 1 })
		expired, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, b.manager.drain(expired), errOrdersAborted)
		require.Empty(t, b.engine.Models())
	})
	t.Run("platform is away", func(t *testing.T) {
		b := newOrderFixture(t)
		b.manager.options.Timing.RenewAfter = 0
		b.setWantedModels("m")
		b.awaitCondition("the load is under way", func() bool { return b.ordersReceived() == 1 })
		b.platform.SetFaults(platform.Faults{Outage: platform.Refuse})
		before := b.platform.Calls().Get
		b.awaitCondition("a renewal has failed and the lease is read", func() bool { return b.platform.Calls().Get > before })
		close(b.loadResults)
		b.drainAll()
		require.Equal(t, []state.Model{"m"}, b.engine.Models())
	})
}

// An engine cannot load a model, and operators change other settings all day.
// Each change would start the load anew if it ended the back-off, and use up
// the weight store's rate.
func TestOtherChangesKeepTheBackOff(t *testing.T) {
	b := newOrderFixture(t)
	b.setWantedModels("m")
	b.awaitCondition("the load is under way", func() bool { return b.ordersReceived() == 1 })
	b.loadResults <- errors.New("weight store is slow")
	b.awaitCondition("the lease is released", func() bool { return b.platform.Calls().Put == 2 })
	calls := b.platform.Calls().Total()
	for range 50 {
		b.setWantedModels("m")
		b.reportLoad()
	}
	close(b.loadResults)
	b.drainAll()
	require.Equal(t, calls, b.platform.Calls().Total())
}

// A report that cannot be right names no model that the engine holds. Orders
// by it would load again what is there.
func TestInvalidReportCausesNoOrder(t *testing.T) {
	b := newOrderFixture(t)
	b.engine.SetHeld("m", true)
	b.setWantedModels("m")
	b.manager.onReport(state.LoadReport{Upstream: "engine-1", Boot: "1", Running: -1})
	b.drainAll()
	require.Zero(t, b.ordersReceived())
	require.Zero(t, b.platform.Calls().Total())
}
