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

// orderFixture is the order manager of one router with one engine, whose loads
// of models last until the test ends them.
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

// sleep replaces the engine's load time: it lasts until the test sends a
// result.
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

// reportLoad passes the engine's present load report to the order manager.
func (b *orderFixture) reportLoad() {
	report, err := poll.FetchReport(b.t.Context(), http.DefaultClient, b.url, "engine-1")
	require.NoError(b.t, err)
	b.manager.onReport(report)
}

// awaitCondition reports the load repeatedly until a condition holds.
func (b *orderFixture) awaitCondition(condition string, isMet func() bool) {
	b.t.Helper()
	eventually(b.t, condition, func() bool {
		b.reportLoad()
		return isMet()
	})
}

// drainAll drains all controllers and waits until they have ended.
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

// TestNoPlatformCallsWithoutWork guards against needless calls, because
// hundreds of routers share the platform's rate limits. A router must not call
// the platform if its engines have loaded the wanted models or none are wanted.
func TestNoPlatformCallsWithoutWork(t *testing.T) {
	b := newOrderFixture(t)
	close(b.loadResults)
	b.reportLoad()
	require.Zero(t, b.controllerCount(), "a controller runs although no models are wanted")
	b.setWantedModels("m")
	b.awaitCondition("the model is loaded and the lease released", func() bool {
		return b.engine.HasModel("m") && b.platform.Calls().Put == 2
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

// TestOwnershipMovesWhileAnOrderRuns moves an engine to another owner during a
// load. The order must run to its end, as it has cost a read from the weight
// store; no second order may follow, and the lease must then be released. If
// the engine comes back meanwhile, there is still only one order at a time.
func TestOwnershipMovesWhileAnOrderRuns(t *testing.T) {
	b := newOrderFixture(t)
	b.manager.options.Timing.PollInterval = time.Second // The release has to wait for the next poll.
	b.setWantedModels("m", "n")
	b.awaitCondition("the first load is in progress", func() bool { return b.ordersReceived() == 1 })
	b.manager.setOwned(nil)
	b.manager.setOwned([]state.Upstream{"engine-1"})
	for range 50 {
		b.reportLoad()
	}
	require.Equal(t, 1, b.ordersReceived())
	require.Contains(t, b.leaseHolder(), "router-1")
	b.loadResults <- nil
	b.awaitCondition("the second load is in progress", func() bool { return b.ordersReceived() == 2 })
	b.manager.setOwned(nil)
	b.loadResults <- nil
	eventually(t, "the controller has drained", func() bool { return b.controllerCount() == 0 })
	require.NotContains(t, b.leaseHolder(), "router-1")
	require.Equal(t, []state.Model{"m", "n"}, b.engine.Models())
}

// TestStopEndsOrders stops a router while a load runs. The stop must not wait
// for an order after its time has run out, nor for an unavailable platform.
func TestStopEndsOrders(t *testing.T) {
	t.Run("time runs out", func(t *testing.T) {
		b := newOrderFixture(t)
		b.setWantedModels("m")
		b.awaitCondition("the load is in progress", func() bool { return b.ordersReceived() == 1 })
		expired, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, b.manager.drain(expired), errOrdersAborted)
		require.Empty(t, b.engine.Models())
	})
	t.Run("platform is unavailable", func(t *testing.T) {
		b := newOrderFixture(t)
		b.manager.options.Timing.RenewAfter = 0
		b.setWantedModels("m")
		b.awaitCondition("the load is in progress", func() bool { return b.ordersReceived() == 1 })
		b.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		before := b.platform.Calls().Get
		b.awaitCondition("a renewal has failed and the lease is read", func() bool { return b.platform.Calls().Get > before })
		close(b.loadResults)
		b.drainAll()
		require.Equal(t, []state.Model{"m"}, b.engine.Models())
	})
}

// TestOtherChangesKeepTheBackOff guards against changes of other settings that
// reset the back-off after a failed load. Each change would start the load
// again and use up the weight store's rate limit.
func TestOtherChangesKeepTheBackOff(t *testing.T) {
	b := newOrderFixture(t)
	b.setWantedModels("m")
	b.awaitCondition("the load is in progress", func() bool { return b.ordersReceived() == 1 })
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

// TestInvalidReportCausesNoOrder guards against orders based on an invalid
// report. Such a report lists no models, so the engine would load models again
// that it has already loaded.
func TestInvalidReportCausesNoOrder(t *testing.T) {
	b := newOrderFixture(t)
	b.engine.SetModelLoaded("m", true)
	b.setWantedModels("m")
	b.manager.onReport(state.LoadReport{Upstream: "engine-1", Boot: "1", Running: -1})
	b.drainAll()
	require.Zero(t, b.ordersReceived())
	require.Zero(t, b.platform.Calls().Total())
}
