package capacity

import (
	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/estimate"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/transport/metrics"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/upstream"
)

// Role is one of the functions that every router performs.
type Role string

// These are the roles. RoleDaemon stands for the sum of all other roles.
const (
	RoleDaemon   Role = "daemon"
	RoleEntry    Role = "entry"
	RoleOwner    Role = "owner of upstreams"
	RoleClaims   Role = "claim writer"
	RoleWatcher  Role = "configuration watcher"
	RolePeer     Role = "peer"
	RolePlatform Role = "platform client"
)

// roleCost is the cost of one role on one router. coreFraction is in CPU cores,
// memoryMB in MB and trafficKBPerSecond in KB/s. Reads and writes of the
// platform, per second, are those of the whole fleet.
type roleCost struct {
	messagesPerSecond  float64
	coreFraction       float64
	memoryMB           float64
	trafficKBPerSecond float64
	readsPerSecond     float64
	writesPerSecond    float64
}

func (r roleCost) add(other roleCost) roleCost {
	return roleCost{
		messagesPerSecond: r.messagesPerSecond + other.messagesPerSecond, coreFraction: r.coreFraction + other.coreFraction, memoryMB: r.memoryMB + other.memoryMB,
		trafficKBPerSecond: r.trafficKBPerSecond + other.trafficKBPerSecond, readsPerSecond: r.readsPerSecond + other.readsPerSecond, writesPerSecond: r.writesPerSecond + other.writesPerSecond,
	}
}

// roleCosts lists the roles and the functions that calculate their current
// cost.
var roleCosts = []struct {
	role Role
	of   func(*calculator) roleCost
}{
	{RoleEntry, (*calculator).entryCost},
	{RoleOwner, (*calculator).ownerCost},
	{RoleClaims, (*calculator).claimWriterCost},
	{RoleWatcher, (*calculator).watcherCost},
	{RolePeer, (*calculator).peerCost},
	{RolePlatform, (*calculator).platformCost},
}

// daemonCost returns the sum of the costs of all roles.
func (c *calculator) daemonCost() roleCost {
	var sum roleCost
	for _, role := range roleCosts {
		sum = sum.add(role.of(c))
	}
	return sum
}

// entryCost returns the cost of the router that receives requests from callers.
// It queues them, sends its demand to the owners of upstreams and reports the
// cost of the requests that they granted.
func (c *calculator) entryCost() roleCost {
	lines := c.demandLines()
	demand := c.costAt(DemandMessages, lines) * c.ownerCount()
	reports := c.grantedPerSecond() * c.reportsPerRequest()
	endReports := c.grantedPerSecond()
	stepTime := c.costAt(RequestUpstreams, c.Upstreams) + c.growth(RequestOwned, c.ownedUpstreams())
	demandBytes := c.costAt(DemandBytes, lines)*c.ownerCount() + demand*c.costAt(SessionBytes, 1)
	reportBytes := reports*c.withFraming(c.costAt(WireProgress, nameBytes)) + endReports*c.withFraming(c.costAt(WireEnded, nameBytes))
	return roleCost{
		messagesPerSecond: demand + reports + endReports,
		coreFraction: nanosecond * (c.requestsPerRouter()*stepTime +
			ticksPerSecond*c.growth(TickLines, lines)*c.ownerCount() +
			(demand+reports+endReports)*c.costAt(SessionTime, 1)),
		memoryMB:           c.growth(MemoryWaiting, lines*c.Waiting+c.runningRequests()) / megabyte,
		trafficKBPerSecond: (demandBytes + reportBytes) / kilobyte,
	}
}

// nameBytes is the length of a typical workspace name in bytes.
var nameBytes = float64(len(workspaceNamed(0)))

// ownerCost returns the cost of an owner, which stores the demand of every
// router and grants the slots of its upstreams.
func (c *calculator) ownerCost() roleCost {
	lines := c.demandLines()
	receivedLines := c.costAt(DemandBytes, lines) / c.slopes[WireDemand].Rate * c.ownerCount()
	tickTime := c.costAt(TickUpstreams, c.Upstreams) + c.growth(TickWorkspaces, c.Workspaces) + c.growth(TickServices, c.Services)
	return roleCost{
		messagesPerSecond: c.grantedPerSecond() + pollsPerSecond*c.ownedUpstreams(),
		coreFraction: nanosecond * (ticksPerSecond*tickTime + receivedLines*c.slopes[DemandLines].Rate +
			c.grantedPerSecond()*(c.costAt(RequestUpstreams, c.Upstreams)+c.costAt(SessionTime, 1)) + c.costAt(PollTime, c.ownedUpstreams())),
		memoryMB: (c.growth(MemoryUpstreams, c.Upstreams) + c.Services*c.growth(MemoryWorkspaces, c.Workspaces) +
			c.growth(MemoryDemand, lines*c.ownerCount())) / megabyte,
		trafficKBPerSecond: (c.grantedPerSecond()*c.withFraming(c.costAt(WireGrant, nameBytes)) + c.costAt(PollBytes, c.ownedUpstreams())) / kilobyte,
	}
}

// claimWriterCost returns the cost of a writer of claims, which stores the keys
// of every shard and writes open segments in rounds.
func (c *calculator) claimWriterCost() roleCost {
	roundsPerRouter := c.claimRoundsPerSecond() / c.Routers
	claimsInShard := c.claimsPerShard()
	return roleCost{
		messagesPerSecond:  2 * roundsPerRouter,
		coreFraction:       nanosecond * roundsPerRouter * c.costAt(ClaimsRound, c.openSegmentEntries()),
		memoryMB:           claims.Shards * c.costAt(MemoryShard, claimsInShard) / megabyte,
		trafficKBPerSecond: 2 * roundsPerRouter * base64Bytes(c.costAt(WireShard, c.openSegmentEntries())) / kilobyte,
		readsPerSecond:     c.claimRoundsPerSecond(),
		writesPerSecond:    c.claimRoundsPerSecond(),
	}
}

// watcherCost returns the cost of watching the settings and announcing to every
// peer the versions that the router has.
func (c *calculator) watcherCost() roleCost {
	perChange := c.changeSeconds()
	announced := c.changesPerSecond() * c.peerCount()
	versions := c.costAt(WireVersions, c.Teams+1)
	watches := c.costAt(PlatformWatches, c.Routers) / c.Routers
	object := base64Bytes(c.costAt(WireObject, c.Workspaces/c.Teams))
	return roleCost{
		messagesPerSecond:  announced + watches,
		coreFraction:       c.changesPerSecond()*perChange + nanosecond*announced*c.costAt(SessionTime, c.Teams+1),
		memoryMB:           (c.growth(MemoryTree, c.Workspaces) + c.growth(MemoryTreeUpstreams, c.Upstreams)) / megabyte,
		trafficKBPerSecond: (announced*c.withFraming(versions) + c.changesPerSecond()*object) / kilobyte,
		readsPerSecond:     c.costAt(PlatformWatches, c.Routers) + c.Routers*c.growth(PlatformChanges, c.changesPerSecond()),
		writesPerSecond:    c.changesPerSecond(),
	}
}

// changeSeconds returns the CPU time, in seconds, that one change of the
// settings takes on one router.
func (c *calculator) changeSeconds() float64 {
	return nanosecond*c.costAt(TreeWorkspaces, c.Workspaces) + c.configureSeconds()
}

// configureSeconds returns the part of changeSeconds that is spent on the
// goroutine of the scheduler. No request is dispatched in that time.
func (c *calculator) configureSeconds() float64 {
	return nanosecond * (c.Services*c.growth(ConfigureWorkspaces, c.Workspaces) +
		c.costAt(ConfigureUpstreams, c.Upstreams) + c.growth(ConfigureRouters, c.Routers))
}

// peerCost returns the cost of the sessions with all other routers and of the
// usage counters received from them.
func (c *calculator) peerCost() roleCost {
	heartbeats := heartbeatsPerSecond * c.peerCount()
	exchanges := exchangesPerSecond * c.peerCount()
	entries := c.countersPerExchange()
	receiveTime := c.costAt(UsageEntries, entries) + c.growth(UsageMoved, entries)
	return roleCost{
		messagesPerSecond: heartbeats + exchanges,
		coreFraction: nanosecond * (membershipTicksPerSecond*c.costAt(MembershipTick, c.Routers) + heartbeats*(c.costAt(MembershipHeartbeat, c.Routers)+c.costAt(SessionTime, 1)) +
			exchanges*(receiveTime+c.costAt(SessionTime, entries)) + ticksPerSecond*c.growth(TickRouters, c.Routers)),
		memoryMB: (c.costAt(SessionMemory, c.peerCount()) + c.growth(MemoryMembers, c.Routers) + c.growth(MemoryRouters, c.Routers) +
			c.growth(MemoryCounters, c.originCount()*c.Workspaces)) / megabyte,
		trafficKBPerSecond: (c.peerCount()*(c.costAt(HeartbeatBytes, c.Routers)+c.costAt(UsageBytes, entries)) + (heartbeats+exchanges)*c.costAt(SessionBytes, 1)) / kilobyte,
	}
}

// platformCost returns the cost of reading the list of VMs, which includes the
// upstreams.
func (c *calculator) platformCost() roleCost {
	reads := c.costAt(PlatformVMs, c.Routers)
	vms := c.Routers + c.Upstreams
	perRouter := reads / c.Routers
	return roleCost{
		messagesPerSecond:  perRouter,
		coreFraction:       nanosecond * perRouter * c.costAt(VMsDecode, vms),
		memoryMB:           c.costAt(WireVMs, vms) / megabyte,
		trafficKBPerSecond: perRouter * c.costAt(WireVMs, vms) / kilobyte,
		readsPerSecond:     reads,
	}
}

// reportMetric is one row in the table of a role. Its limit is nil if there is
// none.
type reportMetric struct {
	role      Role
	name      string
	unit      string
	value     func(*calculator) float64
	limit     func(*calculator) float64
	mechanism string
}

// constantLimit returns a limit that does not depend on the size of the fleet.
func constantLimit(limit float64) func(*calculator) float64 {
	return func(*calculator) float64 { return limit }
}

// reportMetrics returns all rows of a report, grouped by role.
func reportMetrics() []reportMetric {
	var rows []reportMetric
	rows = append(rows, costMetrics(RoleDaemon, (*calculator).daemonCost, "all roles together")...)
	for _, role := range roleCosts {
		rows = append(rows, costMetrics(role.role, role.of, mechanisms[role.role])...)
		rows = append(rows, roleMetrics[role.role]...)
	}
	return rows
}

// costMetrics returns the rows that every role has. Only some roles read or
// write the platform.
func costMetrics(role Role, costOf func(*calculator) roleCost, mechanism string) []reportMetric {
	rows := []reportMetric{
		{role, "messages", "1/s", func(c *calculator) float64 { return costOf(c).messagesPerSecond }, nil, mechanism},
		{role, "processor", "% of a core", func(c *calculator) float64 { return 100 * costOf(c).coreFraction }, func(c *calculator) float64 { return 100 * c.MaxCore }, mechanism},
		{role, "memory", "MB", func(c *calculator) float64 { return costOf(c).memoryMB }, func(c *calculator) float64 { return c.MaxMB }, mechanism},
		{role, "traffic", "KB/s", func(c *calculator) float64 { return costOf(c).trafficKBPerSecond }, func(c *calculator) float64 { return c.MaxKB }, mechanism},
	}
	if role == RoleDaemon || role == RoleClaims || role == RoleWatcher || role == RolePlatform {
		rows = append(rows, reportMetric{role, "platform reads, fleet", "1/s", func(c *calculator) float64 { return costOf(c).readsPerSecond }, func(c *calculator) float64 { return c.MaxReads }, mechanism})
	}
	if role == RoleDaemon || role == RoleClaims || role == RoleWatcher {
		rows = append(rows, reportMetric{role, "platform writes, fleet", "1/s", func(c *calculator) float64 { return costOf(c).writesPerSecond }, func(c *calculator) float64 { return c.MaxWrites }, mechanism})
	}
	return rows
}

// mechanisms maps each role to a description of its current mechanism.
var mechanisms = map[Role]string{
	RoleEntry:    "demand to all owners, reports per request",
	RoleOwner:    "all upstreams known, own ones polled",
	RoleClaims:   "shards of claims, rounds shared by all routers",
	RoleWatcher:  "a watch per router, versions to all peers",
	RolePeer:     "full mesh, counters to all peers",
	RolePlatform: "VM list read by every router",
}

// roleMetrics maps each role to the rows that only this role has: stored state,
// staleness and bounds.
var roleMetrics = map[Role][]reportMetric{
	RoleEntry: {
		{RoleEntry, "requests waiting", "requests", func(c *calculator) float64 { return c.demandLines() * c.Waiting }, nil, "queue per workspace"},
		{RoleEntry, "requests running", "requests", func(c *calculator) float64 { return c.runningRequests() }, nil, "one goroutine each"},
		{RoleEntry, "learned costs", "keys", func(c *calculator) float64 { return c.Workspaces }, constantLimit(estimate.DefaultCapacity), "least recently updated key makes room"},
		{RoleEntry, "histogram series", "pairs", func(c *calculator) float64 { return c.Workspaces }, constantLimit(metrics.MaxSeries), "later pairs share one series"},
		{RoleEntry, "staleness of demand", "s", func(*calculator) float64 { return scheduler.DefaultDemandInterval.Seconds() }, nil, "batched demand"},
	},
	RoleOwner: {
		{RoleOwner, "upstreams owned", "upstreams", (*calculator).ownedUpstreams, nil, "rendezvous hash"},
		{RoleOwner, "lines of demand heard", "lines", func(c *calculator) float64 { return c.demandLines() * c.ownerCount() }, nil, "demand from all routers"},
		{RoleOwner, "staleness of load reports", "s", func(*calculator) float64 { return upstream.PollInterval.Seconds() }, nil, "poll of each owned upstream"},
		{RoleOwner, "staleness of counters", "s", (*calculator).counterStaleness, nil, "exchange with all peers"},
		{RoleOwner, "fairness bound", "s of own part", func(c *calculator) float64 { return c.fairnessBound(c.counterStaleness()) }, nil, "extrapolated counters"},
	},
	RoleClaims: {
		{RoleClaims, "claims remembered", "claims", func(c *calculator) float64 { return c.claimsPerSecond() * claimRetentionSeconds }, (*calculator).claimCapacity, "keys remembered by every router"},
		{RoleClaims, "mean wait, all shards in use", "s", func(c *calculator) float64 { return c.costAt(ClaimWait, c.Routers) }, func(c *calculator) float64 { return c.MaxFirst }, "rounds shared by all routers"},
	},
	RoleWatcher: {
		{RoleWatcher, "root object", "B", func(c *calculator) float64 { return c.costAt(WireRoot, c.Upstreams) + c.growth(WireRootTeams, c.Teams) }, constantLimit(objectstore.MaxValueBytes), "one object of teams and upstreams"},
		{RoleWatcher, "staleness of settings", "s", func(c *calculator) float64 { return objectstore.DefaultWatchInterval.Seconds() + c.changeSeconds() }, func(c *calculator) float64 { return c.MaxStale }, "waiting watch"},
		{RoleWatcher, "time in the scheduler per change", "ms", func(c *calculator) float64 { return 1e3 * c.configureSeconds() }, nil, "whole settings configured anew"},
	},
	RolePeer: {
		{RolePeer, "sessions", "sessions", (*calculator).peerCount, nil, "full mesh"},
		{RolePeer, "counters held", "counters", func(c *calculator) float64 { return c.originCount() * c.Workspaces }, nil, "one per incarnation and workspace"},
		{RolePeer, "told at once to a router that starts", "MB", (*calculator).introductionMB, func(c *calculator) float64 { return c.costAt(SessionQueue, c.Workspaces) / megabyte }, "one queue per session, which ends when it is full"},
		{RolePeer, "received by a router that starts", "MB", (*calculator).startReceivedMB, nil, "all peers tell all counters"},
		{RolePeer, "told to routers that start, mean", "KB/s", (*calculator).meanIntroductionKBPerSecond, func(c *calculator) float64 { return c.MaxKB }, "all peers tell all counters"},
		{RolePeer, "scheduler time of a router that starts", "s", (*calculator).startSchedulerSeconds, func(c *calculator) float64 { return c.MaxStale }, "owners worked out anew per session"},
	},
	RolePlatform: {
		{RolePlatform, "VMs listed", "VMs", func(c *calculator) float64 { return c.Routers + c.Upstreams }, nil, "whole list"},
	},
}

// introductionMB returns the size, in MB, of the counters that one peer sends
// to a router that it sees for the first time: its own counters and those of
// every incarnation that is no longer live.
func (c *calculator) introductionMB() float64 {
	perCounter := c.slopes[IntroduceRelays].Rate / relayWorkspaces
	return (c.costAt(IntroduceBytes, c.Workspaces) + perCounter*c.removedIncarnations()*c.Workspaces) / megabyte
}

// startReceivedMB returns the size, in MB, of the counters that a router
// receives from all peers when it starts.
func (c *calculator) startReceivedMB() float64 { return c.peerCount() * c.introductionMB() }

// meanIntroductionKBPerSecond returns the traffic in KB/s, averaged over a day,
// that one router sends to routers that start.
func (c *calculator) meanIntroductionKBPerSecond() float64 {
	return (c.Failed + c.Replaced) / secondsPerDay * c.introductionMB() * megabyte / kilobyte
}

// startSchedulerSeconds returns the time, in seconds, for which the scheduler
// of a starting router processes changes of its peers. Each new session causes
// two changes.
func (c *calculator) startSchedulerSeconds() float64 {
	return nanosecond * c.peerCount() * (c.growth(PeersRouters, c.Routers) + c.costAt(PeersUpstreams, c.Upstreams))
}
