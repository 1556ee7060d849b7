package capacity

import (
	"math"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/transport/upstream"
)

// Event is one kind of failure and what it does to a fleet with today's
// mechanisms.
type Event struct {
	Name string `json:"name"`
	// Routers that are lost or cut off, and how often a day it happens.
	Routers float64 `json:"routers"`
	PerDay  float64 `json:"per_day,omitempty"`
	// Moved is the upstreams that get another owner and live on, Lost those
	// that go too.
	Moved float64 `json:"upstreams_moved"`
	Lost  float64 `json:"upstreams_lost"`
	// Noticed is the seconds until the survivors know, Served until the moved
	// upstreams get work again.
	Noticed float64 `json:"noticed_s"`
	Served  float64 `json:"served_s"`
	// Cut is the requests in progress whose callers see a broken connection.
	Cut float64 `json:"requests_cut"`
	// Messages, KB and Scheduler are what one survivor sends, and the seconds
	// its scheduler works, until the fleet has settled.
	Messages  float64 `json:"messages"`
	KB        float64 `json:"kb"`
	Scheduler float64 `json:"scheduler_s"`
	// Rejoin is the MB that one survivor tells those that come back, and
	// RejoinTime the seconds its scheduler works for that.
	Rejoin     float64 `json:"rejoin_mb"`
	RejoinTime float64 `json:"rejoin_s"`
}

// silence is the seconds until a silent peer is given up.
var silence = (membership.SessionTimeout + membership.TickInterval).Seconds()

func (c *calc) events() []Event {
	centre := c.neighbours()
	region := c.Routers / c.Regions
	return []Event{
		c.loss("one VM of the system", 1, 0, c.Failed),
		c.restart(),
		c.loss("a rack", math.Min(c.Rack, centre), 0, 0),
		c.loss("a data centre", centre, c.Upstreams/c.DataCentres, 0),
		c.apart(region),
	}
}

// loss is routers that go silent at once, with some upstreams.
func (c *calc) loss(name string, routers, upstreams, perDay float64) Event {
	e := Event{Name: name, Routers: routers, PerDay: perDay, Lost: upstreams}
	e.Moved = math.Max(0, routers*c.owned()-upstreams)
	e.Noticed = silence
	e.Served = silence + 2*upstream.PollInterval.Seconds()
	e.Cut = routers*c.running() + upstreams/c.Upstreams*c.remote()*(c.Routers-routers)*c.running()
	c.settle(&e)
	c.rejoin(&e)
	return e
}

// restart is a planned one: everything admitted is finished and the owner
// hands its upstreams over at once.
func (c *calc) restart() Event {
	e := Event{Name: "a planned restart", Routers: 1, PerDay: c.Replaced, Moved: c.owned()}
	e.Served = 2 * upstream.PollInterval.Seconds()
	c.settle(&e)
	c.rejoin(&e)
	return e
}

// apart is two regions that lose each other and both live on. Owners come
// from the upstream's own data centre, so that none moves.
func (c *calc) apart(region float64) Event {
	e := Event{Name: "two regions apart", Routers: region, Noticed: silence}
	c.settle(&e)
	c.rejoin(&e)
	return e
}

// settle adds what a survivor sends and works: all its demand to every new
// owner, and owners worked out anew once.
func (c *calc) settle(e *Event) {
	newOwners := math.Min(e.Moved, c.neighbours())
	e.Messages = newOwners
	e.KB = newOwners * c.frame(c.at(WireDemand, c.lines())) / kilobyte
	e.Scheduler = c.pairTime() / 2
}

// pairTime is the seconds of the scheduler when a peer goes and comes back.
func (c *calc) pairTime() float64 {
	return nanosecond * (c.growth(PeersRouters, c.Routers) + c.at(PeersUpstreams, c.Upstreams))
}

// rejoin adds what a survivor tells peers that are back, each on a new
// session. A router that starts hears as much from every peer.
func (c *calc) rejoin(e *Event) {
	e.Rejoin = e.Routers * c.toldNewcomer()
	e.RejoinTime = e.Routers * c.pairTime()
}
