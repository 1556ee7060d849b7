package capacity

import (
	"math"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/transport/upstream"
)

// FailureEvent describes one kind of failure and its effects on a fleet with
// the current mechanisms.
type FailureEvent struct {
	Name string `json:"name"`
	// Routers is the number of routers that are lost or disconnected. PerDay is
	// the number of such events per day, or zero if it is unknown.
	Routers float64 `json:"routers"`
	PerDay  float64 `json:"per_day,omitempty"`
	// MovedUpstreams is the number of upstreams that stay up and get another
	// owner. LostUpstreams is the number of upstreams that fail together with
	// the routers.
	MovedUpstreams float64 `json:"upstreams_moved"`
	LostUpstreams  float64 `json:"upstreams_lost"`
	// NoticedSeconds is the time until the remaining routers detect the
	// failure. ServedSeconds is the time until the moved upstreams receive
	// requests again.
	NoticedSeconds float64 `json:"noticed_s"`
	ServedSeconds  float64 `json:"served_s"`
	// CutRequests is the number of requests in progress whose callers see a
	// broken connection.
	CutRequests float64 `json:"requests_cut"`
	// SentMessages and KB are the traffic that one remaining router sends until the
	// fleet has settled. SchedulerSeconds is the time for which its scheduler
	// is occupied.
	SentMessages     float64 `json:"messages"`
	SentKB           float64 `json:"kb"`
	SchedulerSeconds float64 `json:"scheduler_s"`
	// RejoinMB is the size, in MB, of the counters that one remaining router
	// sends to the routers that return. RejoinSeconds is the time for which its
	// scheduler is occupied by their return.
	RejoinMB      float64 `json:"rejoin_mb"`
	RejoinSeconds float64 `json:"rejoin_s"`
}

// silenceSeconds is the time, in seconds, after which a silent peer is
// considered lost.
var silenceSeconds = (membership.SessionTimeout + membership.TickInterval).Seconds()

// failureEvents returns the failures that a report describes.
func (c *calculator) failureEvents() []FailureEvent {
	centre := c.routersPerDataCentre()
	region := c.Routers / c.Regions
	return []FailureEvent{
		c.routerLoss("one VM of the system", 1, 0, c.Failed),
		c.plannedRestart(),
		c.routerLoss("a rack", math.Min(c.Rack, centre), 0, 0),
		c.routerLoss("a data centre", centre, c.Upstreams/c.DataCentres, 0),
		c.regionSplit(region),
	}
}

// routerLoss returns the event in which several routers, and some upstreams
// with them, become silent at once.
func (c *calculator) routerLoss(name string, routers, upstreams, perDay float64) FailureEvent {
	e := FailureEvent{Name: name, Routers: routers, PerDay: perDay, LostUpstreams: upstreams}
	e.MovedUpstreams = math.Max(0, routers*c.ownedUpstreams()-upstreams)
	e.NoticedSeconds = silenceSeconds
	e.ServedSeconds = silenceSeconds + 2*upstream.PollInterval.Seconds()
	e.CutRequests = routers*c.runningRequests() + upstreams/c.Upstreams*c.remoteFraction()*(c.Routers-routers)*c.runningRequests()
	c.addSettlingCost(&e)
	c.addRejoinCost(&e)
	return e
}

// plannedRestart returns the event of a planned restart. The router finishes
// all admitted requests, and the ownership of its upstreams changes
// immediately.
func (c *calculator) plannedRestart() FailureEvent {
	e := FailureEvent{Name: "a planned restart", Routers: 1, PerDay: c.Replaced, MovedUpstreams: c.ownedUpstreams()}
	e.ServedSeconds = 2 * upstream.PollInterval.Seconds()
	c.addSettlingCost(&e)
	c.addRejoinCost(&e)
	return e
}

// regionSplit returns the event in which two regions are disconnected from each
// other and both keep running. The owner of an upstream is always in the same
// data centre, so no upstream moves.
func (c *calculator) regionSplit(region float64) FailureEvent {
	e := FailureEvent{Name: "two regions apart", Routers: region, NoticedSeconds: silenceSeconds}
	c.addSettlingCost(&e)
	c.addRejoinCost(&e)
	return e
}

// addSettlingCost adds the messages and the work of a remaining router. It
// sends its whole demand to every new owner and recalculates the owners once.
func (c *calculator) addSettlingCost(e *FailureEvent) {
	newOwners := math.Min(e.MovedUpstreams, c.routersPerDataCentre())
	e.SentMessages = newOwners
	e.SentKB = newOwners * c.withFraming(c.costAt(WireDemand, c.demandLines())) / kilobyte
	e.SchedulerSeconds = c.peerChangeSeconds() / 2
}

// peerChangeSeconds returns the time, in seconds, for which the scheduler is
// occupied when one peer leaves and returns.
func (c *calculator) peerChangeSeconds() float64 {
	return nanosecond * (c.growth(PeersRouters, c.Routers) + c.costAt(PeersUpstreams, c.Upstreams))
}

// addRejoinCost adds the counters that a remaining router sends to the
// returning peers, each on a new session. A starting router receives the same
// amount from every peer.
func (c *calculator) addRejoinCost(e *FailureEvent) {
	e.RejoinMB = e.Routers * c.introductionMB()
	e.RejoinSeconds = e.Routers * c.peerChangeSeconds()
}
