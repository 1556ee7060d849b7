package edge

import (
	"context"
	"time"

	"github.com/figstile/figstile/transport/boottime"
)

// tendEvery is how often the state of the router is measured; scrapers ask every
// five seconds and more seldom.
const tendEvery = time.Second

// tend keeps the figures of the router's state, and closes connections that
// were unused for too long, until the context ends.
func (r *Router) tend(ctx context.Context) {
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.measure()
			r.logWork()
			r.conns.CloseIdle(r.dispatcher.idleLimit())
		}
	}
}

func (r *Router) measure() {
	ages := r.dispatcher.viewAges()
	r.metrics.ViewAge("configuration", ages.configuration)
	r.metrics.ViewAge("loads", ages.loads)
	r.metrics.ViewAge("spending", ages.spending)
	r.metrics.Gauge("routers_live", float64(r.dispatcher.liveRouters()))
	r.metrics.Gauge("ready", flag(r.dispatcher.ready()))
	r.metrics.Gauge("caller_connections", float64(r.pressure.callers.Load()))
	r.metrics.Gauge("upstream_connections", float64(r.pressure.upstreams.Load()))
}

// logWork tells what the router's processor went to in the last second, if it
// turned callers away for want of it.
func (r *Router) logWork() {
	work := r.pressure.work.Totals()
	done := work.Since(r.logged)
	r.logged = work
	r.metrics.Count("connections_shed", done.Shed)
	paused := r.pressure.paused.sum(boottime.Now())
	pausedFor := paused - r.pausedBefore
	r.pausedBefore = paused
	if pausedFor == 0 && !r.pressure.busy.Load() {
		return
	}
	r.log.Warn().Int64("admitted", done.Requests).Int64("refused", done.Refusals).Int64("shed", done.Shed).
		Int64("paused_ms", pausedFor.Milliseconds()).Int64("events", done.Events).Int64("streams", r.pressure.work.ActiveStreams()).
		Float64("processor", r.pressure.work.ExpectedLoad()).
		Int64("unread_ms", r.pressure.arrivals.estimate().Milliseconds()).
		Int64("spending_age_ms", r.dispatcher.viewAges().spending.Milliseconds()).Msg("under pressure")
}

func flag(set bool) float64 {
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
	ages := viewAges{loads: d.picture.OldestLoadsAge(now), spending: d.ledger.OldestPeerAge(now)}
	if !d.heard.IsZero() {
		ages.configuration = now.Sub(d.heard)
	}
	return ages
}

// liveRouters counts the routers that share the retry budget.
func (d *dispatcher) liveRouters() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.routers
}

// defaultIdle is how long a caller's unused connection is kept while the
// configuration does not say.
const defaultIdle = 15 * time.Second

// idleLimit is how long a caller's unused connection is kept. The limit is part
// of the configuration and may change, while net/http takes one for the life of
// a server: connections that callers still counted on were closed, or kept for
// longer than operators allow.
func (d *dispatcher) idleLimit() time.Duration {
	table := d.Table()
	if table == nil || table.Limits().IdleTimeout <= 0 {
		return defaultIdle
	}
	return table.Limits().IdleTimeout
}
