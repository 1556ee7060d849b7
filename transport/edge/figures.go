package edge

import (
	"context"
	"time"

	"github.com/figstile/figstile/transport/boottime"
)

// housekeepingInterval is how often the state of the router is measured; scrapers ask every
// five seconds and more seldom.
const housekeepingInterval = time.Second

// runHousekeeping keeps the figures of the router's state, and closes connections that
// were unused for too long, until the context ends.
func (r *Router) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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
	r.metrics.SetGauge("routers_live", float64(r.dispatcher.liveRouters()))
	r.metrics.SetGauge("ready", boolGauge(r.dispatcher.ready()))
	r.metrics.SetGauge("caller_connections", float64(r.pressure.callerConns.Load()))
	r.metrics.SetGauge("upstream_connections", float64(r.pressure.upstreamConns.Load()))
}

// logPressure tells what the router's processor went to in the last second, if it
// turned callers away for want of it.
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

// viewAges are the ages of what a router decides on.
type viewAges struct {
	// configuration was last known to be the newest so long ago; zero if it
	// never was.
	configuration time.Duration
	// loads is the age of the oldest loads that count, spending that of the
	// oldest counts of what workspaces got.
	loads, spending time.Duration
}

func (d *dispatcher) viewAges() viewAges {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	ages := viewAges{loads: d.loadView.OldestLoadsAge(now), spending: d.ledger.OldestPeerAge(now)}
	if !d.confirmedAt.IsZero() {
		ages.configuration = now.Sub(d.confirmedAt)
	}
	return ages
}

// liveRouters counts the routers that share the retry budget.
func (d *dispatcher) liveRouters() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routerCount
}

// defaultIdleTimeout is how long a caller's unused connection is kept while the
// configuration does not say.
const defaultIdleTimeout = 15 * time.Second

// idleTimeout is how long a caller's unused connection is kept. The limit is part
// of the configuration and may change, while net/http takes one for the life of
// a server: connections that callers still counted on were closed, or kept for
// longer than operators allow.
func (d *dispatcher) idleTimeout() time.Duration {
	table := d.Table()
	if table == nil || table.Limits().IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return table.Limits().IdleTimeout
}
