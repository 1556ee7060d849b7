package placement

import (
	"time"

	"github.com/figstile/figstile/coordination/coldstart"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/routing"
)

// coldHosts decides which cold upstreams may receive a request of this router.
// The zero value limits nothing.
type coldHosts struct {
	limit    coldstart.Limit
	senders  *coldstart.Senders
	services map[state.Service]coldService
}

// senderCheckInterval is how long the result of a check is used, because the
// check hashes the names of many routers.
const senderCheckInterval = 100 * time.Millisecond

// coldService describes the cold starts of a service.
type coldService struct {
	startTime time.Duration
	// interval is the time between two requests of this router to one cold
	// upstream. It is 0 if the router may send none.
	interval time.Duration
}

// LimitColdStarts limits the requests to cold upstreams. It must be called
// before SetServices.
func (v *View) LimitColdStarts(limit coldstart.Limit, senders *coldstart.Senders) {
	v.coldHosts = coldHosts{limit: limit, senders: senders, services: make(map[state.Service]coldService)}
}

func (c *coldHosts) setService(service routing.Service) {
	if !c.limit.Enabled() {
		return
	}
	delete(c.services, service.Name)
	if service.HasColdStarts() {
		interval, _ := c.limit.Interval(service.ColdRate)
		c.services[service.Name] = coldService{startTime: service.ColdStart, interval: interval}
	}
}

// startTime returns how long an upstream of a service is cold after its start.
func (c *coldHosts) startTime(service state.Service) time.Duration {
	return c.services[service].startTime
}

// markCold extends the time for which an upstream counts as cold. It never
// shortens it: the information that an upstream is warm may be older than the
// event that made it cold.
func (c *coldHosts) markCold(h *host, until time.Time) {
	if until.After(h.coldUntil) {
		h.coldUntil = until
	}
}

func (c *coldHosts) isCold(now time.Time, h *host) bool {
	_, limited := c.services[h.Service]
	return limited && now.Before(h.coldUntil)
}

// mayReceive reports whether an upstream is warm, or may receive a request of
// this router although it is cold.
func (c *coldHosts) mayReceive(now time.Time, h *host) bool {
	if !c.isCold(now, h) {
		return true
	}
	if now.Sub(h.senderCheckedAt) >= senderCheckInterval {
		h.senderCheckedAt = now
		h.isSender = c.services[h.Service].interval > 0 && c.senders.IsSender(now, h.ID, h.DataCentre)
	}
	return h.isSender && !now.Before(h.nextColdRequest)
}

// recordSent records that a request is sent to an upstream.
func (c *coldHosts) recordSent(now time.Time, h *host) {
	if c.isCold(now, h) {
		h.nextColdRequest = now.Add(c.services[h.Service].interval)
	}
}
