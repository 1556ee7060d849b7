package capacity

import (
	"math"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/transport/upstream"
)

// FailureEvent is one kind of failure and what it does to a fleet with today's
// mechanisms.
type FailureEvent struct {
	Name string `json:"name"`
	// Routers that are lost or cut off, and how often a day it happens.
	Routers float64 `json:"routers"`
	PerDay  float64 `json:"per_day,omitempty"`
	// MovedUpstreams is the upstreams that get another owner and live on, Lost those
	// that go too.
	MovedUpstreams float64 `json:"upstreams_moved"`
	LostUpstreams  float64 `json:"upstreams_lost"`
	// NoticedSeconds is the seconds until the survivors know, Served until the moved
	// upstreams get work again.
	NoticedSeconds float64 `json:"noticed_s"`
	ServedSeconds  float64 `json:"served_s"`
	// CutRequests is the requests in progress whose callers see a broken connection.
	CutRequests float64 `json:"requests_cut"`
	// Messages, KB and Scheduler are what one survivor sends, and the seconds
	// its scheduler works, until the fleet has settled.
	Messages         float64 `json:"messages"`
	KB               float64 `json:"kb"`
	SchedulerSeconds float64 `json:"scheduler_s"`
	// RejoinMB is the MB that one survivor tells those that come back, and
	// RejoinTime the seconds its scheduler works for that.
	RejoinMB      float64 `json:"rejoin_mb"`
	RejoinSeconds float64 `json:"rejoin_s"`
}

// silenceSeconds is the seconds until a silent peer is given up.
var silenceSeconds = (membership.SessionTimeout + membership.TickInterval).Seconds()

func (c *calculator) events() []FailureEvent {
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

// routerLoss is routers that go silent at once, with some upstreams.
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

// plannedRestart is a planned one: everything admitted is finished and the owner
// hands its upstreams over at once.
func (c *calculator) plannedRestart() FailureEvent {
	e := FailureEvent{Name: "a planned restart", Routers: 1, PerDay: c.Replaced, MovedUpstreams: c.ownedUpstreams()}
	e.ServedSeconds = 2 * upstream.PollInterval.Seconds()
	c.addSettlingCost(&e)
	c.addRejoinCost(&e)
	return e
}

// regionSplit is two regions that lose each other and both live on. Owners come
// from the upstream's own data centre, so that none moves.
func (c *calculator) regionSplit(region float64) FailureEvent {
	e := FailureEvent{Name: "two regions apart", Routers: region, NoticedSeconds: silenceSeconds}
	c.addSettlingCost(&e)
	c.addRejoinCost(&e)
	return e
}

// addSettlingCost adds what a survivor sends and works: all its demand to every new
// owner, and owners worked out anew once.
func (c *calculator) addSettlingCost(e *FailureEvent) {
	newOwners := math.Min(e.MovedUpstreams, c.routersPerDataCentre())
	e.Messages = newOwners
	e.KB = newOwners * c.withFraming(c.costAt(WireDemand, c.demandLines())) / kilobyte
	e.SchedulerSeconds = c.peerChangeSeconds() / 2
}

// peerChangeSeconds is the seconds of the scheduler when a peer goes and comes back.
func (c *calculator) peerChangeSeconds() float64 {
	return nanosecond * (c.growth(PeersRouters, c.Routers) + c.costAt(PeersUpstreams, c.Upstreams))
}

// addRejoinCost adds what a survivor tells peers that are back, each on a new
// session. A router that starts hears as much from every peer.
func (c *calculator) addRejoinCost(e *FailureEvent) {
	e.RejoinMB = e.Routers * c.introductionMB()
	e.RejoinSeconds = e.Routers * c.peerChangeSeconds()
}
