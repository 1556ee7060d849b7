package capacity

import (
	"math"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/slots"
)

// Choices of the plan. They are not measured; the tool works out what follows.
const (
	// gateways is the links between each pair of data centres: two, so that
	// the loss of one VM separates none.
	gateways = 2
	// monitors is how many neighbours send a router heartbeats. Others learn
	// of its loss from them.
	monitors = 4
	// demandOwners is how many owners hear of a line: as many as the
	// scheduler asks first today.
	demandOwners = 2
	// loanSeconds is how long a line keeps the slots it was lent: as long as
	// counters may be old without a wider gap in the design's trial.
	loanSeconds = 10
	// centreWatchers follow the platform for a data centre.
	centreWatchers = 2
	// handOn is to how many neighbours one router passes a changed object.
	handOn = 2
	// indexBytes replaces a name in a message: a tag and two bytes of an
	// index that the settings define.
	indexBytes = 3
	// nameOverhead is the tag and the length that come with a name.
	nameOverhead = 2
)

// Step is one mechanism of today, where it stops, and what replaces it.
type Step struct {
	Today string `json:"today"`
	// StopsAt is the number of routers at which today's mechanism breaks a
	// limit, with a fleet that grows evenly; zero if it does not.
	StopsAt     float64 `json:"stops_at"`
	Replacement string  `json:"replacement"`
	Messages    float64 `json:"messages"`
	Core        float64 `json:"core"`
	MB          float64 `json:"mb"`
	KB          float64 `json:"kb"`
	Reads       float64 `json:"reads"`
	Writes      float64 `json:"writes"`
}

// step is a Step before it is calculated.
type step struct {
	today       string
	replacement string
	// role and figure name the line whose limit today's mechanism breaks.
	role   Role
	figure string
	of     func(*calc) load
}

// steps lists the plan.
func steps() []step {
	return []step{
		{"full mesh", "sessions within a data centre, 4 monitors each, 2 links per pair of data centres", Peer, "memory", (*calc).fewLinks},
		{"counters to all peers", "counters split over a data centre's routers by rendezvous hash, summed per data centre and region", Peer, "traffic", (*calc).splitCounters},
		{"counters of gone incarnations", "folded into one sum per data centre by the counter's home", Peer, "memory", (*calc).foldedCounters},
		{"demand to all owners", "demand to 2 owners of the own data centre", Entry, "traffic", (*calc).fewOwners},
		{"grants and reports per request", "slots lent per line for some seconds, with indices for names", Entry, "traffic", (*calc).lentSlots},
		{"pollers per owner", "load reports ride on answers; idle upstreams are polled", Owner, "traffic", (*calc).ridingReports},
		{"a watch of all settings per router", "2 watchers per data centre, objects handed on in a tree", Watcher, "traffic", (*calc).centreWatch},
		{"VM list read by every router", "2 readers per data centre, list of the own data centre only", Platform, "traffic", (*calc).centreList},
		{"histograms per workspace", "series of the workspaces whose home the router is", Entry, "histogram series", (*calc).homeSeries},
		{"upstreams and workspaces known to all", "unchanged: all known, only own ones followed", Owner, "memory", (*calc).allKnown},
		{"requests queued and dispatched", "unchanged: one step per event, over the upstreams of the own data centre", Entry, "processor", (*calc).ownCentre},
		{"claims in shards", "minted keys; own keys by one writer per shard", Claims, "claims remembered", (*calc).mintedKeys},
	}
}

// links is the sessions of one router in the plan.
func (c *calc) links() float64 {
	return c.neighbours() - 1 + gateways*(c.DataCentres-1)/c.neighbours()
}

// packed is a message or entry of today with indices for its names.
func packed(bytes float64, names ...string) float64 {
	for _, name := range names {
		bytes += indexBytes - nameOverhead - float64(len(name))
	}
	return bytes
}

func (c *calc) packedCounter() float64 {
	return packed(c.slopes[WireUsage].Rate, string(serviceNamed(0)), string(workspaceNamed(0)))
}

func (c *calc) fewLinks() load {
	links := c.links()
	beats := beatsPerSecond * (monitors + links - c.neighbours() + 1)
	return load{
		messages: beats,
		core: nanosecond * (memberTicks*c.at(MembershipTick, links+1) +
			beats*(c.at(MembershipBeat, links)+c.at(SessionTime, 1))),
		mb: (c.at(SessionMemory, links) + c.growth(MemoryMembers, c.Routers) + c.growth(MemoryRouters, c.neighbours())) / megabyte,
		kb: beats * c.frame(c.at(BeatBytes, c.neighbours())) / kilobyte,
	}
}

// exchanged is the counters that one router sends in one exchange: its own to
// their homes, the sums of its share to the neighbours that hear of such
// demand, and to other data centres, first within the region and then once to
// each other region. Only backlogged workspaces count: an idle one is lifted
// when it comes back.
func (c *calc) exchanged() (counters, messages float64) {
	n := c.neighbours()
	granting := math.Min(c.backlog(), (demandOwners+1)*c.lines())
	others := c.DataCentres/c.Regions - 1 + c.Regions - 1
	counters = 2*granting + c.backlog()/n*others
	messages = 2*math.Min(n-1, granting) + others
	return counters, messages
}

// exchangeBytes is the traffic of one exchange.
func (c *calc) exchangeBytes() float64 {
	counters, messages := c.exchanged()
	return counters*c.packedCounter() + messages*c.frame(c.slopes[WireUsage].Base)
}

// interval is the seconds between two exchanges that the traffic left over by
// the other mechanisms allows, and never less than today's.
func (c *calc) interval() float64 {
	left := c.MaxKB * kilobyte
	for _, s := range steps() {
		if s.today != countersStep {
			left -= s.of(c).kb * kilobyte
		}
	}
	if left <= 0 {
		return noRoom
	}
	return math.Max(1/exchangesPerSecond, c.exchangeBytes()/left)
}

// noRoom is the interval if nothing of the limit is left: no exchange at all.
const noRoom = 1e9

// countersStep is the step whose interval fills what is left of the limit.
const countersStep = "counters to all peers"

func (c *calc) splitCounters() load {
	counters, messages := c.exchanged()
	perSecond := 1 / c.interval()
	n := c.neighbours()
	held := c.Workspaces + c.Workspaces/n*(n+c.DataCentres)
	return load{
		messages: messages * perSecond,
		core:     nanosecond * perSecond * (counters*(c.slopes[UsageEntries].Rate+c.slopes[SessionTime].Rate) + messages*c.at(SessionTime, 1)),
		mb:       c.growth(MemoryCounters, held) / megabyte,
		kb:       c.exchangeBytes() * perSecond / kilobyte,
	}
}

func (c *calc) foldedCounters() load {
	return load{mb: c.growth(MemoryCounters, c.Workspaces/c.neighbours()) / megabyte}
}

func (c *calc) fewOwners() load {
	lines := c.lines()
	messages := demandOwners * c.at(DemandMessages, lines)
	heard := demandOwners * c.at(DemandBytes, lines) / c.slopes[WireDemand].Rate
	return load{
		messages: messages,
		core: nanosecond * (ticksPerSecond*demandOwners*c.growth(TickLines, lines) +
			heard*c.slopes[DemandLines].Rate + messages*c.at(SessionTime, 1)),
		mb: c.growth(MemoryDemand, demandOwners*lines) / megabyte,
		kb: (demandOwners*c.at(DemandBytes, lines) + messages*c.at(SessionBytes, 1)) / kilobyte,
	}
}

// lentSlots renews for each line and owner how many slots it holds, instead of
// granting every request; what was served goes with the counters.
func (c *calc) lentSlots() load {
	names := []string{string(serviceNamed(0)), string(workspaceNamed(0)), string(upstreamName(0))}
	loans := demandOwners * c.lines() / loanSeconds
	loan := packed(c.at(WireGrant, nameBytes), names...) + packed(c.at(WireEnded, nameBytes), names...)
	return load{
		messages: 2 * loans,
		core:     nanosecond * 2 * loans * c.at(SessionTime, 1),
		kb:       loans * (loan + 2*c.at(SessionBytes, 1)) / kilobyte,
	}
}

// ridingReports polls only upstreams that sent no answer within half the time
// for which a report is fresh. At the peak every upstream answers more often.
func (c *calc) ridingReports() load {
	answers := c.Requests / c.Upstreams
	silent := math.Exp(-answers * slots.ReportExpiry.Seconds() / 2)
	polled := c.owned() * silent
	slower := 2 / slots.ReportExpiry.Seconds() / pollsPerSecond
	return load{
		messages: polled * slower * pollsPerSecond,
		core:     nanosecond * c.growth(PollTime, polled) * slower,
		kb:       c.growth(PollBytes, polled) * slower / kilobyte,
	}
}

func (c *calc) centreWatch() load {
	object := c.frame(c.at(WireObject, c.Workspaces/c.Teams))
	changes := c.changesPerSecond()
	watchers := math.Min(c.Routers, c.DataCentres*centreWatchers)
	today := c.watcher()
	return load{
		messages: changes * handOn,
		core:     changes*c.changeTime() + nanosecond*changes*handOn*c.at(SessionTime, 1),
		mb:       today.mb,
		kb:       changes * handOn * object / kilobyte,
		reads:    c.growth(PlatformWatches, watchers) + watchers*c.growth(PlatformChanges, changes),
		writes:   today.writes,
	}
}

// centreList is a mean over the routers of a data centre, which take turns.
// It needs a list that the platform filters by data centre.
func (c *calc) centreList() load {
	readers := math.Min(c.Routers, c.DataCentres*centreWatchers)
	reads := c.growth(PlatformVMs, readers) * slots.ReportExpiry.Seconds() / slots.DepartureExpiry.Seconds()
	perRouter := reads / c.Routers
	vms := (c.Routers + c.Upstreams) / c.DataCentres
	return load{
		messages: perRouter,
		core:     nanosecond * perRouter * c.at(VMsDecode, vms),
		mb:       c.at(WireVMs, vms) / megabyte,
		kb:       perRouter * c.at(WireVMs, vms) / kilobyte,
		reads:    reads,
	}
}

func (c *calc) homeSeries() load {
	return load{mb: c.at(MemorySeries, c.Workspaces/c.neighbours()) / megabyte}
}

func (c *calc) allKnown() load {
	tick := c.at(TickUpstreams, c.Upstreams/c.DataCentres) + c.growth(TickWorkspaces, c.Workspaces) + c.growth(TickServices, c.Services)
	return load{
		core: nanosecond * ticksPerSecond * tick,
		mb:   (c.growth(MemoryUpstreams, c.Upstreams) + c.Services*c.growth(MemoryWorkspaces, c.Workspaces)) / megabyte,
	}
}

func (c *calc) ownCentre() load {
	step := c.at(RequestUpstreams, c.Upstreams/c.DataCentres) + c.growth(RequestOwned, c.owned())
	return load{
		core: nanosecond * c.perRouter() * (1 + c.remote()) * step,
		mb:   c.growth(MemoryWaiting, c.lines()*c.Waiting+c.running()) / megabyte,
	}
}

// ownKeys is the claims a second of callers' own keys that one writer per
// shard can take: a shard's turn must come within the time for a first token,
// which bounds the shards, and they hold a day's claims.
func (c *calc) ownKeys() float64 {
	shards := claims.FleetRoundsPerSecond * c.MaxFirst
	return shards * c.shardRoom() / claims.Shards / retained
}

// mintedKeys leaves own keys up to ownKeys; the rest is minted by routers and
// costs the platform nothing.
func (c *calc) mintedKeys() load {
	own := math.Min(c.claimed(), c.ownKeys())
	shards := claims.FleetRoundsPerSecond * c.MaxFirst
	held := own * retained / shards
	rounds := math.Min(claims.FleetRoundsPerSecond, own)
	perRouter := rounds / c.Routers
	return load{
		core:   nanosecond * perRouter * c.at(ClaimsRound, c.open()),
		mb:     shards / c.Routers * c.at(MemoryShard, held) / megabyte,
		writes: rounds,
	}
}

func (c *calc) planned() load {
	var sum load
	for _, s := range steps() {
		sum = sum.add(s.of(c))
	}
	return sum
}
