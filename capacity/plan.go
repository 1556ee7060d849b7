package capacity

import (
	"math"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/slots"
)

// These are the parameters of the plan. The costs of the plan are calculated
// from them.
const (
	// linksPerCentrePair is the number of sessions between each pair of data
	// centres. There are two, so that the loss of one VM does not disconnect
	// any pair.
	linksPerCentrePair = 2
	// heartbeatNeighbours is the number of neighbours that send heartbeats to a
	// router. The other routers learn about its loss from them.
	heartbeatNeighbours = 4
	// ownersPerDemand is the number of owners that receive one line of demand.
	// It is equal to the number of owners that the current scheduler asks
	// first.
	ownersPerDemand = 2
	// loanSeconds is the time, in seconds, for which a line of demand keeps the
	// slots that were lent to it. Counters up to this age do not widen the
	// fairness gap.
	loanSeconds = 10
	// watchersPerCentre is the number of routers per data centre that watch the
	// platform.
	watchersPerCentre = 2
	// objectFanOut is the number of neighbours to which a router forwards a
	// changed object.
	objectFanOut = 2
	// indexBytes is the size, in bytes, of the index that replaces a name in a
	// message: a tag and two bytes of an index that is defined in the settings.
	indexBytes = 3
	// nameOverheadBytes is the size, in bytes, of the tag and the length that
	// precede a name in a message.
	nameOverheadBytes = 2
)

// Step describes one current mechanism, the size at which it stops working, the
// mechanism that replaces it and the cost of the replacement on one router.
type Step struct {
	Current string `json:"today"`
	// StopsAtRouters is the number of routers at which the current mechanism
	// exceeds a limit in a fleet that grows evenly. It is zero if it does not.
	StopsAtRouters    float64 `json:"stops_at"`
	Replacement       string  `json:"replacement"`
	MessagesPerSecond float64 `json:"messages"`
	CoreFraction      float64 `json:"core"`
	MemoryMB          float64 `json:"mb"`
	KBPerSecond       float64 `json:"kb"`
	ReadsPerSecond    float64 `json:"reads"`
	WritesPerSecond   float64 `json:"writes"`
}

// planStep is the definition of a Step, from which the Step of a fleet is
// calculated.
type planStep struct {
	current     string
	replacement string
	// role and metric identify the row whose limit the current mechanism
	// exceeds.
	role   Role
	metric string
	costOf func(*calculator) roleCost
}

// planSteps returns the steps of the plan.
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

// plannedSessions returns the mean number of sessions of one router in the
// plan.
func (c *calculator) plannedSessions() float64 {
	return c.routersPerDataCentre() - 1 + linksPerCentrePair*(c.DataCentres-1)/c.routersPerDataCentre()
}

// indexedBytes returns the size, in bytes, of a message or entry in which
// indexes replace the given names. The argument bytes is the current size,
// which includes the names.
func indexedBytes(bytes float64, names ...string) float64 {
	for _, name := range names {
		bytes += indexBytes - nameOverheadBytes - float64(len(name))
	}
	return bytes
}

// indexedCounterBytes returns the size of one counter in a message in which
// indexes replace names.
func (c *calculator) indexedCounterBytes() float64 {
	return indexedBytes(c.slopes[WireUsage].Rate, string(serviceNamed(0)), string(workspaceNamed(0)))
}

// plannedSessionCost returns the cost of sessions and membership with few
// sessions between data centres.
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

// exchangeSize returns the numbers of counters and messages that one router
// sends in one exchange. Each counter is assigned to one router of the data
// centre, which sums it up. A router sends its own counters to the routers they
// are assigned to, and the sums of its assigned counters to the neighbours that
// receive demand from these workspaces. It also sends the sums to the other
// data centres: first to those of its region and then once to each other
// region. Only backlogged workspaces count, because the virtual time of an idle
// workspace is raised when it becomes active again.
func (c *calculator) exchangeSize() (counters, messages float64) {
	n := c.routersPerDataCentre()
	relevantWorkspaces := math.Min(c.backloggedWorkspaces(), (ownersPerDemand+1)*c.demandLines())
	remoteExchanges := c.DataCentres/c.Regions - 1 + c.Regions - 1
	counters = 2*relevantWorkspaces + c.backloggedWorkspaces()/n*remoteExchanges
	messages = 2*math.Min(n-1, relevantWorkspaces) + remoteExchanges
	return counters, messages
}

// exchangeBytes returns the traffic of one exchange in bytes.
func (c *calculator) exchangeBytes() float64 {
	counters, messages := c.exchangeSize()
	return counters*c.indexedCounterBytes() + messages*c.withFraming(c.slopes[WireUsage].Base)
}

// exchangeInterval returns the time, in seconds, between two exchanges. It is
// the shortest interval that the traffic limit allows after the traffic of all
// other mechanisms, but not shorter than the current one.
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

// noExchangeInterval is the interval in seconds that is used if the other
// mechanisms use up the traffic limit. It means that no exchange is possible.
const noExchangeInterval = 1e9

// counterExchangeStep identifies the step whose interval is set so that its
// traffic uses the rest of the limit.
const counterExchangeStep = "counters to all peers"

// plannedCounterCost returns the cost of the exchange of counters that are
// assigned to routers.
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

// mergedCounterCost returns the cost of storing the counters of incarnations
// that are no longer live, merged into one sum per data centre.
func (c *calculator) mergedCounterCost() roleCost {
	return roleCost{memoryMB: c.growth(MemoryCounters, c.Workspaces/c.routersPerDataCentre()) / megabyte}
}

// plannedDemandCost returns the cost of sending each line of demand to
// ownersPerDemand owners.
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

// plannedLoanCost returns the cost of lending slots. For each line and owner,
// the number of lent slots is renewed every loanSeconds, instead of one grant
// per request. The served cost is reported with the counters.
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

// plannedLoadReportCost returns the cost of polling only those upstreams that
// have sent no answer for half of the maximum age of a load report. At peak
// load every upstream answers more often.
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

// plannedWatchCost returns the cost of watching the settings from a few routers
// per data centre, which forward changed objects.
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

// plannedVMListCost returns the cost of reading the list of VMs, averaged over
// the routers of a data centre, which take turns. The platform must be able to
// filter the list by data centre.
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

// plannedHistogramCost returns the cost of the histograms of the workspaces
// that are assigned to the router.
func (c *calculator) plannedHistogramCost() roleCost {
	return roleCost{memoryMB: c.costAt(MemorySeries, c.Workspaces/c.routersPerDataCentre()) / megabyte}
}

// plannedStateCost returns the cost of storing all workspaces and upstreams and
// of ticks over the upstreams of one data centre.
func (c *calculator) plannedStateCost() roleCost {
	tick := c.costAt(TickUpstreams, c.Upstreams/c.DataCentres) + c.growth(TickWorkspaces, c.Workspaces) + c.growth(TickServices, c.Services)
	return roleCost{
		coreFraction: nanosecond * ticksPerSecond * tick,
		memoryMB:     (c.growth(MemoryUpstreams, c.Upstreams) + c.Services*c.growth(MemoryWorkspaces, c.Workspaces)) / megabyte,
	}
}

// plannedRequestCost returns the cost of queueing and dispatching requests over
// the upstreams of one data centre.
func (c *calculator) plannedRequestCost() roleCost {
	stepTime := c.costAt(RequestUpstreams, c.Upstreams/c.DataCentres) + c.growth(RequestOwned, c.ownedUpstreams())
	return roleCost{
		coreFraction: nanosecond * c.requestsPerRouter() * (1 + c.remoteFraction()) * stepTime,
		memoryMB:     c.growth(MemoryWaiting, c.demandLines()*c.Waiting+c.runningRequests()) / megabyte,
	}
}

// callerKeysPerSecond returns the rate of claims with keys generated by callers
// that one writer per shard can process. The turn of a shard must come within
// the limit for the first token, which bounds the number of shards. The shards
// store the claims of one retention time.
func (c *calculator) callerKeysPerSecond() float64 {
	shards := claims.FleetRoundsPerSecond * c.MaxFirst
	return shards * c.claimCapacity() / claims.Shards / claimRetentionSeconds
}

// plannedClaimCost returns the cost of claims with keys generated by callers,
// up to callerKeysPerSecond. All other keys are generated by routers and need
// no calls to the platform.
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

// plannedCost returns the sum of the costs of all steps.
func (c *calculator) plannedCost() roleCost {
	var sum roleCost
	for _, s := range planSteps() {
		sum = sum.add(s.costOf(c))
	}
	return sum
}
