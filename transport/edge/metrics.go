package edge

import (
	"context"
	"time"

	"github.com/figstile/figstile/transport/boottime"
)

// housekeepingInterval is the interval at which the metrics of the router's
// state are updated. Scrapers read them every five seconds or less often.
const housekeepingInterval = time.Second

// runHousekeeping updates the metrics of the router's state and closes
// connections that were idle for too long, until the context ends. It calls
// progressed in every round.
func (r *Router) runHousekeeping(ctx context.Context, progressed func()) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			progressed()
			r.updateMetrics()
			r.logPressure()
			r.connTracker.CloseIdle(r.dispatcher.idleTimeout())
		}
	}
}

func (r *Router) updateMetrics() {
	ages := r.dispatcher.viewAges()
	r.metrics.SetViewAge("configuration", ages.configuration)
	r.metrics.SetViewAge("loads", ages.loads)
	r.metrics.SetViewAge("spending", ages.spending)
	r.metrics.SetGauge("configuration_revision", float64(ages.heldRevision))
	r.metrics.SetGauge("configuration_revision_known", float64(ages.newestRevision))
	for dc, age := range r.dispatcher.evacuationAges() {
		r.metrics.SetEvacuationAge(dc, age)
	}
	r.metrics.SetGauge("routers_live", float64(r.dispatcher.liveRouters()))
	r.metrics.SetGauge("ready", boolGauge(r.dispatcher.ready()))
	r.metrics.SetGauge("caller_connections", float64(r.pressure.callerConns.Load()))
	r.metrics.SetGauge("upstream_connections", float64(r.pressure.upstreamConns.Load()))
}

// logPressure updates the count of shed connections and logs the work since its
// last call if the router is overloaded or closed its port in that time.
func (r *Router) logPressure() {
	totals := r.pressure.cpuEstimate.Totals()
	delta := totals.Since(r.loggedTotals)
	r.loggedTotals = totals
	r.metrics.AddCount("connections_shed", delta.Shed)
	closedTotal := r.pressure.portClosed.sum(boottime.Now())
	closedTime := closedTotal - r.loggedClosedTime
	r.loggedClosedTime = closedTotal
	if closedTime == 0 && !r.pressure.overloaded.Load() {
		return
	}
	r.log.Warn().Int64("admitted", delta.Requests).Int64("refused", delta.Refusals).Int64("shed", delta.Shed).
		Int64("paused_ms", closedTime.Milliseconds()).Int64("events", delta.Events).Int64("streams", r.pressure.cpuEstimate.ActiveStreams()).
		Float64("processor", r.pressure.cpuEstimate.ExpectedLoad()).
		Int64("unread_ms", r.pressure.readDelay.estimate().Milliseconds()).
		Int64("spending_age_ms", r.dispatcher.viewAges().spending.Milliseconds()).Msg("under pressure")
}

func boolGauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// viewAges holds the ages of the data that a router decides on.
type viewAges struct {
	// configuration is the time since the configuration was last confirmed to
	// be the newest, or 0 if it never was.
	configuration time.Duration
	// loads is the age of the oldest peer loads in use. spending is the age of
	// the oldest workspace usage in use.
	loads, spending time.Duration
	// heldRevision is the revision of the configuration in use, and
	// newestRevision the newest one that this router has heard of.
	heldRevision, newestRevision uint64
}

func (d *dispatcher) viewAges() viewAges {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	ages := viewAges{loads: d.loadView.OldestLoadsAge(now), spending: d.ledger.OldestPeerAge(now)}
	status := d.freshness.Status(now, d.configLimit())
	if !status.Confirmation.At.IsZero() {
		ages.configuration = now.Sub(status.Confirmation.At)
	}
	ages.heldRevision, ages.newestRevision = status.Held.Revision, status.Newest.Revision
	return ages
}

// liveRouters returns the number of routers that share the retry budget.
func (d *dispatcher) liveRouters() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routerCount
}

// defaultIdleTimeout is how long a caller's idle connection is kept if the
// configuration does not set a limit.
const defaultIdleTimeout = 15 * time.Second

// idleTimeout returns how long a caller's idle connection is kept. The limit is
// part of the configuration and may change, whereas net/http takes one limit
// for the lifetime of a server. With a fixed limit, connections were closed
// that callers still relied on, or were kept for longer than operators allow.
func (d *dispatcher) idleTimeout() time.Duration {
	table := d.Table()
	if table == nil || table.Limits().IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return table.Limits().IdleTimeout
}
