package capacity

import "math"

// Fleet is the size of a fleet and the limits it must keep. The assumptions
// are guesses: nobody has measured them in a real fleet.
type Fleet struct {
	Routers   float64 `json:"routers"`
	Upstreams float64 `json:"upstreams"`
	// Slots of one upstream; zero derives them from the requests in progress.
	Slots      float64 `json:"slots"`
	Workspaces float64 `json:"workspaces"`
	// Backlogged is the part of the workspaces that is.
	Backlogged float64 `json:"backlogged"`
	// Services have upstreams of their own, as models do.
	Services    float64 `json:"services"`
	DataCentres float64 `json:"data_centres"`
	Regions     float64 `json:"regions"`
	// Requests and Tokens are a second, over the fleet.
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
	// Changes of the settings, and VMs Failed and Replaced, are a day.
	Changes  float64 `json:"changes"`
	Failed   float64 `json:"failed"`
	Replaced float64 `json:"replaced"`

	// Assumptions.

	// TokenGap is the seconds between two tokens of a request.
	TokenGap float64 `json:"token_gap"`
	// Teams have one object of settings each.
	Teams float64 `json:"teams"`
	// Spread is the routers at which a backlogged workspace's requests wait,
	// and Waiting how many do at each.
	Spread  float64 `json:"spread"`
	Waiting float64 `json:"waiting"`
	// Claimed is the part of the requests with a key of the caller's own.
	Claimed float64 `json:"claimed"`
	// Largest is the seconds that the longest request holds a slot.
	Largest float64 `json:"largest"`
	// Rack is the VMs that one rack or switch takes along.
	Rack float64 `json:"rack"`

	// Limits of one router for control: part of a core, MB, KB a second.
	MaxCore float64 `json:"max_core"`
	MaxMB   float64 `json:"max_mb"`
	MaxKB   float64 `json:"max_kb"`
	// Limits of the platform, a second. Its operators promise several hundred writes.
	MaxReads  float64 `json:"max_reads"`
	MaxWrites float64 `json:"max_writes"`
	// Limits in seconds: the first token, a change of the settings in force.
	MaxFirst float64 `json:"max_first"`
	MaxStale float64 `json:"max_stale"`
}

// CurrentFleet is the size at which the fleet runs. The load per upstream is taken
// from the destination, since no figures for today are known.
func CurrentFleet() Fleet {
	f := TargetFleet()
	perUpstream := 24 / f.Upstreams
	f.Requests *= perUpstream
	f.Tokens *= perUpstream
	f.Routers, f.Upstreams, f.Workspaces = 8, 24, 16
	f.DataCentres, f.Regions = 4, 1
	f.Services = 2
	f.Backlogged = 0.5
	f.Changes = 50
	f.Failed, f.Replaced = 1, 1
	f.Teams, f.Spread, f.Rack = 4, 2, 2
	return f
}

// TargetFleet is the size that the developers' page names.
func TargetFleet() Fleet {
	return Fleet{
		Routers: 730, Upstreams: 10_000, Workspaces: 6_300, Backlogged: 0.1, Services: 4,
		DataCentres: 25, Regions: 9, Requests: 170_000, Tokens: 39e6,
		Changes: 12_000, Failed: 200, Replaced: 720,
		TokenGap: 0.028, Teams: 630, Spread: 30, Waiting: 8, Claimed: 0.01, Largest: 60, Rack: 10,
		MaxCore: 0.027, MaxMB: 128, MaxKB: 3, MaxReads: 2_000, MaxWrites: 300, MaxFirst: 0.83, MaxStale: 11,
	}
}

// Scale returns a fleet that is k times as large in every count, with the
// same load on each router.
func (f Fleet) Scale(k float64) Fleet {
	for _, size := range []*float64{
		&f.Routers, &f.Upstreams, &f.Workspaces, &f.Teams, &f.DataCentres,
		&f.Requests, &f.Tokens, &f.Changes, &f.Failed, &f.Replaced,
	} {
		*size *= k
	}
	return f
}

const secondsPerDay = 24 * 60 * 60

// requestsPerRouter is the requests a second that arrive at one router.
func (f Fleet) requestsPerRouter() float64 { return f.Requests / f.Routers }

// slotHoldSeconds is how many seconds a request holds a slot.
func (f Fleet) slotHoldSeconds() float64 { return f.Tokens / f.Requests * f.TokenGap }

// runningRequests is the requests in progress at one router.
func (f Fleet) runningRequests() float64 { return f.requestsPerRouter() * f.slotHoldSeconds() }

// backloggedWorkspaces is the number of backlogged workspaces.
func (f Fleet) backloggedWorkspaces() float64 { return f.Workspaces * f.Backlogged }

// totalSlots is the requests that the fleet runs at once.
func (f Fleet) totalSlots() float64 {
	if f.Slots > 0 {
		return f.Slots * f.Upstreams
	}
	return f.Requests * f.slotHoldSeconds()
}

// routersPerDataCentre is the number of routers in one data centre.
func (f Fleet) routersPerDataCentre() float64 { return math.Max(1, f.Routers/f.DataCentres) }

// demandLines is how many backlogged workspaces have requests waiting at one router.
func (f Fleet) demandLines() float64 {
	return f.backloggedWorkspaces() * math.Min(f.Spread, f.Routers) / f.Routers
}

// changedCounters is how many workspaces one router's counters change for within some
// seconds, if the requests are spread evenly over the workspaces.
func (f Fleet) changedCounters(seconds float64) float64 {
	requests := f.runningRequests() + f.requestsPerRouter()*seconds
	return f.Workspaces * (1 - math.Exp(-requests/f.Workspaces))
}

// remoteFraction is the part of the requests that another router grants: those of
// backlogged workspaces, whose slots come free at any owner. The rest finds a
// free slot at an upstream of the router it arrives at.
func (f Fleet) remoteFraction() float64 {
	return f.Backlogged * (1 - 1/f.Routers)
}

// changesPerSecond is the rate of changes of the settings.
func (f Fleet) changesPerSecond() float64 { return f.Changes / secondsPerDay }
