package capacity

import (
	"math"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/slots"
)

// Choices of the plan. They are not measured; the tool works out what follows.
const (
	// linksPerCentrePair is the links between each pair of data centres: two, so that
	// the loss of one VM separates none.
	linksPerCentrePair = 2
	// heartbeatNeighbours is how many neighbours send a router heartbeats. Others learn
	// of its loss from them.
	heartbeatNeighbours = 4
	// ownersPerDemand is how many owners hear of a line: as many as the
	// scheduler asks first today.
	ownersPerDemand = 2
	// loanSeconds is how long a line keeps the slots it was lent: as long as
	// counters may be old without a wider gap in the design's trial.
	loanSeconds = 10
	// watchersPerCentre follow the platform for a data centre.
	watchersPerCentre = 2
	// objectFanOut is to how many neighbours one router passes a changed object.
	objectFanOut = 2
	// indexBytes replaces a name in a message: a tag and two bytes of an
	// index that the settings define.
	indexBytes = 3
	// nameOverheadBytes is the tag and the length that come with a name.
	nameOverheadBytes = 2
)

// Step is one mechanism of today, where it stops, and what replaces it.
type Step struct {
	Current string `json:"today"`
	// StopsAtRouters is the number of routers at which today's mechanism breaks a
	// limit, with a fleet that grows evenly; zero if it does not.
	StopsAtRouters    float64 `json:"stops_at"`
	Replacement       string  `json:"replacement"`
	MessagesPerSecond float64 `json:"messages"`
	CoreFraction      float64 `json:"core"`
	MemoryMB          float64 `json:"mb"`
	KBPerSecond       float64 `json:"kb"`
	ReadsPerSecond    float64 `json:"reads"`
	WritesPerSecond   float64 `json:"writes"`
}

// planStep is a Step before it is calculated.
type planStep struct {
	current     string
	replacement string
	// role and figure name the line whose limit today's mechanism breaks.
	role   Role
	metric string
	costOf func(*calculator) roleCost
}

// planSteps lists the plan.
func planSteps() []planStep {
	return []planStep{
		{"full mesh", "sessions within a data centre, 4 monitors each, 2 links per pair of data centres", RolePeer, "memory", (*calculator).plannedSessionCost},
		{"counters to all peers", "counters split over a data centre's routers by rendezvous hash, summed per data centre and region", RolePeer, "traffic", (*calculator).plannedCounterCost},
		{"counters of gone incarnations", "folded into one sum per data centre by the counter's home", RolePeer, "memory", (*calculator).mergedCounterCost},
		{"demand to all owners", "demand to 2 owners of the own data centre", RoleEntry, "traffic", (*calculator).plannedDemandCost},
		{"grants and reports per request", "slots lent per line for some seconds, with indices for names", RoleEntry, "traffic", (*calculator).plannedLoanCost},
		{"pollers per owner", "load reports ride on answers; idle upstreams are polled", RoleOwner, "traffic", (*calculator).plannedLoadReportCost},
		{"a watch of all settings per router", "2 watchers per data centre, objects handed on in a tree", RoleWatcher, "traffic", (*calculator).plannedWatchCost},
		{"VM list read by every router", "2 readers per data centre, list of the own data centre only", RolePlatform, "traffic", (*calculator).plannedVMListCost},
		{"histograms per workspace", "series of the workspaces whose home the router is", RoleEntry, "histogram series", (*calculator).plannedHistogramCost},
		{"upstreams and workspaces known to all", "unchanged: all known, only own ones followed", RoleOwner, "memory", (*calculator).plannedStateCost},
		{"requests queued and dispatched", "unchanged: one step per event, over the upstreams of the own data centre", RoleEntry, "processor", (*calculator).plannedRequestCost},
		{"claims in shards", "minted keys; own keys by one writer per shard", RoleClaims, "claims remembered", (*calculator).plannedClaimCost},
	}
}

// plannedSessions is the sessions of one router in the plan.
func (c *calculator) plannedSessions() float64 {
	return c.routersPerDataCentre() - 1 + linksPerCentrePair*(c.DataCentres-1)/c.routersPerDataCentre()
}

// indexedBytes is a message or entry of today with indices for its names.
func indexedBytes(bytes float64, names ...string) float64 {
	for _, name := range names {
		bytes += indexBytes - nameOverheadBytes - float64(len(name))
	}
	return bytes
}

func (c *calculator) indexedCounterBytes() float64 {
	return indexedBytes(c.slopes[WireUsage].Rate, string(serviceNamed(0)), string(workspaceNamed(0)))
}

func (c *calculator) plannedSessionCost() roleCost {
	sessions := c.plannedSessions()
	heartbeats := heartbeatsPerSecond * (heartbeatNeighbours + sessions - c.routersPerDataCentre() + 1)
	return roleCost{
		messagesPerSecond: heartbeats,
		coreFraction: nanosecond * (membershipTicksPerSecond*c.costAt(MembershipTick, sessions+1) +
			heartbeats*(c.costAt(MembershipHeartbeat, sessions)+c.costAt(SessionTime, 1))),
		memoryMB:           (c.costAt(SessionMemory, sessions) + c.growth(MemoryMembers, c.Routers) + c.growth(MemoryRouters, c.routersPerDataCentre())) / megabyte,
		trafficKBPerSecond: heartbeats * c.withFraming(c.costAt(HeartbeatBytes, c.routersPerDataCentre())) / kilobyte,
	}
}

// exchangeSize is the counters that one router sends in one exchange: its own to
// their homes, the sums of its share to the neighbours that hear of such
// demand, and to other data centres, first within the region and then once to
// each other region. Only backlogged workspaces count: an idle one is lifted
// when it comes back.
func (c *calculator) exchangeSize() (counters, messages float64) {
	n := c.routersPerDataCentre()
	relevantWorkspaces := math.Min(c.backloggedWorkspaces(), (ownersPerDemand+1)*c.demandLines())
	remoteExchanges := c.DataCentres/c.Regions - 1 + c.Regions - 1
	counters = 2*relevantWorkspaces + c.backloggedWorkspaces()/n*remoteExchanges
	messages = 2*math.Min(n-1, relevantWorkspaces) + remoteExchanges
	return counters, messages
}

// exchangeBytes is the traffic of one exchange.
func (c *calculator) exchangeBytes() float64 {
	counters, messages := c.exchangeSize()
	return counters*c.indexedCounterBytes() + messages*c.withFraming(c.slopes[WireUsage].Base)
}

// exchangeInterval is the seconds between two exchanges that the traffic left over by
// the other mechanisms allows, and never less than today's.
func (c *calculator) exchangeInterval() float64 {
	remaining := c.MaxKB * kilobyte
	for _, s := range planSteps() {
		if s.current != counterExchangeStep {
			remaining -= s.costOf(c).trafficKBPerSecond * kilobyte
		}
	}
	if remaining <= 0 {
		return noExchangeInterval
	}
	return math.Max(1/exchangesPerSecond, c.exchangeBytes()/remaining)
}

// noExchangeInterval is the interval if nothing of the limit is left: no exchange at all.
const noExchangeInterval = 1e9

// counterExchangeStep is the step whose interval fills what is left of the limit.
const counterExchangeStep = "counters to all peers"

func (c *calculator) plannedCounterCost() roleCost {
	counters, messages := c.exchangeSize()
	perSecond := 1 / c.exchangeInterval()
	n := c.routersPerDataCentre()
	storedCounters := c.Workspaces + c.Workspaces/n*(n+c.DataCentres)
	return roleCost{
		messagesPerSecond:  messages * perSecond,
		coreFraction:       nanosecond * perSecond * (counters*(c.slopes[UsageEntries].Rate+c.slopes[SessionTime].Rate) + messages*c.costAt(SessionTime, 1)),
		memoryMB:           c.growth(MemoryCounters, storedCounters) / megabyte,
		trafficKBPerSecond: c.exchangeBytes() * perSecond / kilobyte,
	}
}

func (c *calculator) mergedCounterCost() roleCost {
	return roleCost{memoryMB: c.growth(MemoryCounters, c.Workspaces/c.routersPerDataCentre()) / megabyte}
}

func (c *calculator) plannedDemandCost() roleCost {
	lines := c.demandLines()
	messages := ownersPerDemand * c.costAt(DemandMessages, lines)
	receivedLines := ownersPerDemand * c.costAt(DemandBytes, lines) / c.slopes[WireDemand].Rate
	return roleCost{
		messagesPerSecond: messages,
		coreFraction: nanosecond * (ticksPerSecond*ownersPerDemand*c.growth(TickLines, lines) +
			receivedLines*c.slopes[DemandLines].Rate + messages*c.costAt(SessionTime, 1)),
		memoryMB:           c.growth(MemoryDemand, ownersPerDemand*lines) / megabyte,
		trafficKBPerSecond: (ownersPerDemand*c.costAt(DemandBytes, lines) + messages*c.costAt(SessionBytes, 1)) / kilobyte,
	}
}

// plannedLoanCost renews for each line and owner how many slots it holds, instead of
// granting every request; what was served goes with the counters.
func (c *calculator) plannedLoanCost() roleCost {
	names := []string{string(serviceNamed(0)), string(workspaceNamed(0)), string(upstreamName(0))}
	loans := ownersPerDemand * c.demandLines() / loanSeconds
	loanBytes := indexedBytes(c.costAt(WireGrant, nameBytes), names...) + indexedBytes(c.costAt(WireEnded, nameBytes), names...)
	return roleCost{
		messagesPerSecond:  2 * loans,
		coreFraction:       nanosecond * 2 * loans * c.costAt(SessionTime, 1),
		trafficKBPerSecond: loans * (loanBytes + 2*c.costAt(SessionBytes, 1)) / kilobyte,
	}
}

// plannedLoadReportCost polls only upstreams that sent no answer within half the time
// for which a report is fresh. At the peak every upstream answers more often.
func (c *calculator) plannedLoadReportCost() roleCost {
	answersPerSecond := c.Requests / c.Upstreams
	silentFraction := math.Exp(-answersPerSecond * slots.ReportExpiry.Seconds() / 2)
	polled := c.ownedUpstreams() * silentFraction
	pollRateRatio := 2 / slots.ReportExpiry.Seconds() / pollsPerSecond
	return roleCost{
		messagesPerSecond:  polled * pollRateRatio * pollsPerSecond,
		coreFraction:       nanosecond * c.growth(PollTime, polled) * pollRateRatio,
		trafficKBPerSecond: c.growth(PollBytes, polled) * pollRateRatio / kilobyte,
	}
}

func (c *calculator) plannedWatchCost() roleCost {
	object := c.withFraming(c.costAt(WireObject, c.Workspaces/c.Teams))
	changes := c.changesPerSecond()
	watchers := math.Min(c.Routers, c.DataCentres*watchersPerCentre)
	currentCost := c.watcherCost()
	return roleCost{
		messagesPerSecond:  changes * objectFanOut,
		coreFraction:       changes*c.changeSeconds() + nanosecond*changes*objectFanOut*c.costAt(SessionTime, 1),
		memoryMB:           currentCost.memoryMB,
		trafficKBPerSecond: changes * objectFanOut * object / kilobyte,
		readsPerSecond:     c.growth(PlatformWatches, watchers) + watchers*c.growth(PlatformChanges, changes),
		writesPerSecond:    currentCost.writesPerSecond,
	}
}

// plannedVMListCost is a mean over the routers of a data centre, which take turns.
// It needs a list that the platform filters by data centre.
func (c *calculator) plannedVMListCost() roleCost {
	readers := math.Min(c.Routers, c.DataCentres*watchersPerCentre)
	reads := c.growth(PlatformVMs, readers) * slots.ReportExpiry.Seconds() / slots.DepartureExpiry.Seconds()
	perRouter := reads / c.Routers
	vms := (c.Routers + c.Upstreams) / c.DataCentres
	return roleCost{
		messagesPerSecond:  perRouter,
		coreFraction:       nanosecond * perRouter * c.costAt(VMsDecode, vms),
		memoryMB:           c.costAt(WireVMs, vms) / megabyte,
		trafficKBPerSecond: perRouter * c.costAt(WireVMs, vms) / kilobyte,
		readsPerSecond:     reads,
	}
}

func (c *calculator) plannedHistogramCost() roleCost {
	return roleCost{memoryMB: c.costAt(MemorySeries, c.Workspaces/c.routersPerDataCentre()) / megabyte}
}

func (c *calculator) plannedStateCost() roleCost {
	tick := c.costAt(TickUpstreams, c.Upstreams/c.DataCentres) + c.growth(TickWorkspaces, c.Workspaces) + c.growth(TickServices, c.Services)
	return roleCost{
		coreFraction: nanosecond * ticksPerSecond * tick,
		memoryMB:     (c.growth(MemoryUpstreams, c.Upstreams) + c.Services*c.growth(MemoryWorkspaces, c.Workspaces)) / megabyte,
	}
}

func (c *calculator) plannedRequestCost() roleCost {
	stepTime := c.costAt(RequestUpstreams, c.Upstreams/c.DataCentres) + c.growth(RequestOwned, c.ownedUpstreams())
	return roleCost{
		coreFraction: nanosecond * c.requestsPerRouter() * (1 + c.remoteFraction()) * stepTime,
		memoryMB:     c.growth(MemoryWaiting, c.demandLines()*c.Waiting+c.runningRequests()) / megabyte,
	}
}

// callerKeysPerSecond is the claims a second of callers' own keys that one writer per
// shard can take: a shard's turn must come within the time for a first token,
// which bounds the shards, and they hold a day's claims.
func (c *calculator) callerKeysPerSecond() float64 {
	shards := claims.FleetRoundsPerSecond * c.MaxFirst
	return shards * c.claimCapacity() / claims.Shards / claimRetentionSeconds
}

// plannedClaimCost leaves own keys up to ownKeys; the rest is minted by routers and
// costs the platform nothing.
func (c *calculator) plannedClaimCost() roleCost {
	callerKeys := math.Min(c.claimsPerSecond(), c.callerKeysPerSecond())
	shards := claims.FleetRoundsPerSecond * c.MaxFirst
	claimsInShard := callerKeys * claimRetentionSeconds / shards
	rounds := math.Min(claims.FleetRoundsPerSecond, callerKeys)
	perRouter := rounds / c.Routers
	return roleCost{
		coreFraction:    nanosecond * perRouter * c.costAt(ClaimsRound, c.openSegmentEntries()),
		memoryMB:        shards / c.Routers * c.costAt(MemoryShard, claimsInShard) / megabyte,
		writesPerSecond: rounds,
	}
}

func (c *calculator) plannedCost() roleCost {
	var sum roleCost
	for _, s := range planSteps() {
		sum = sum.add(s.costOf(c))
	}
	return sum
}
