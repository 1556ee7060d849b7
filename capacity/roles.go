package capacity

import (
	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/estimate"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/transport/metrics"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/upstream"
)

// Role is a part that every router plays.
type Role string

// The roles. Daemon is all of them together.
const (
	Daemon   Role = "daemon"
	Entry    Role = "entry"
	Owner    Role = "owner of upstreams"
	Claims   Role = "claim writer"
	Watcher  Role = "configuration watcher"
	Peer     Role = "peer"
	Platform Role = "platform client"
)

// load is what one role costs one router.
type load struct {
	messages float64
	core     float64
	mb       float64
	kb       float64
	reads    float64
	writes   float64
}

func (l load) add(other load) load {
	return load{
		messages: l.messages + other.messages, core: l.core + other.core, mb: l.mb + other.mb,
		kb: l.kb + other.kb, reads: l.reads + other.reads, writes: l.writes + other.writes,
	}
}

// loads lists the roles with what they cost today.
var loads = []struct {
	role Role
	of   func(*calc) load
}{
	{Entry, (*calc).entry},
	{Owner, (*calc).owner},
	{Claims, (*calc).claimWriter},
	{Watcher, (*calc).watcher},
	{Peer, (*calc).peer},
	{Platform, (*calc).platform},
}

func (c *calc) daemon() load {
	var sum load
	for _, l := range loads {
		sum = sum.add(l.of(c))
	}
	return sum
}

// entry queues requests, tells owners of them and reports what granted ones
// cost.
func (c *calc) entry() load {
	lines := c.lines()
	demand := c.at(DemandMessages, lines) * c.owners()
	reports := c.granted() * c.reports()
	ends := c.granted()
	step := c.at(RequestUpstreams, c.Upstreams) + c.growth(RequestOwned, c.owned())
	demandBytes := c.at(DemandBytes, lines)*c.owners() + demand*c.at(SessionBytes, 1)
	reportBytes := reports*c.frame(c.at(WireProgress, nameBytes)) + ends*c.frame(c.at(WireEnded, nameBytes))
	return load{
		messages: demand + reports + ends,
		core: nanosecond * (c.perRouter()*step +
			ticksPerSecond*c.growth(TickLines, lines)*c.owners() +
			(demand+reports+ends)*c.at(SessionTime, 1)),
		mb: c.growth(MemoryWaiting, lines*c.Waiting+c.running()) / megabyte,
		kb: (demandBytes + reportBytes) / kilobyte,
	}
}

// nameBytes is the length of a usual workspace's name.
var nameBytes = float64(len(workspaceNamed(0)))

// owner holds every router's demand and grants the slots of its upstreams.
func (c *calc) owner() load {
	lines := c.lines()
	heard := c.at(DemandBytes, lines) / c.slopes[WireDemand].Rate * c.owners()
	tick := c.at(TickUpstreams, c.Upstreams) + c.growth(TickWorkspaces, c.Workspaces) + c.growth(TickServices, c.Services)
	return load{
		messages: c.granted() + pollsPerSecond*c.owned(),
		core: nanosecond * (ticksPerSecond*tick + heard*c.slopes[DemandLines].Rate +
			c.granted()*(c.at(RequestUpstreams, c.Upstreams)+c.at(SessionTime, 1)) + c.at(PollTime, c.owned())),
		mb: (c.growth(MemoryUpstreams, c.Upstreams) + c.Services*c.growth(MemoryWorkspaces, c.Workspaces) +
			c.growth(MemoryDemand, lines*c.owners())) / megabyte,
		kb: (c.granted()*c.frame(c.at(WireGrant, nameBytes)) + c.at(PollBytes, c.owned())) / kilobyte,
	}
}

// claimWriter remembers the keys of every shard and writes open segments in
// rounds.
func (c *calc) claimWriter() load {
	rounds := c.rounds() / c.Routers
	held := c.inShard()
	return load{
		messages: 2 * rounds,
		core:     nanosecond * rounds * c.at(ClaimsRound, c.open()),
		mb:       claims.Shards * c.at(MemoryShard, held) / megabyte,
		kb:       2 * rounds * onPlatform(c.at(WireShard, c.open())) / kilobyte,
		reads:    c.rounds(),
		writes:   c.rounds(),
	}
}

// watcher follows the settings and tells every peer what it holds.
func (c *calc) watcher() load {
	perChange := c.changeTime()
	announced := c.changesPerSecond() * c.peers()
	versions := c.at(WireVersions, c.Teams+1)
	watches := c.at(PlatformWatches, c.Routers) / c.Routers
	object := onPlatform(c.at(WireObject, c.Workspaces/c.Teams))
	return load{
		messages: announced + watches,
		core:     c.changesPerSecond()*perChange + nanosecond*announced*c.at(SessionTime, c.Teams+1),
		mb:       (c.growth(MemoryTree, c.Workspaces) + c.growth(MemoryTreeUp, c.Upstreams)) / megabyte,
		kb:       (announced*c.frame(versions) + c.changesPerSecond()*object) / kilobyte,
		reads:    c.at(PlatformWatches, c.Routers) + c.Routers*c.growth(PlatformChanges, c.changesPerSecond()),
		writes:   c.changesPerSecond(),
	}
}

// changeTime is the seconds of processor time that one change of the settings
// takes on one router, and configureTime the part of it on the scheduler's
// goroutine, in which nothing is dispatched.
func (c *calc) changeTime() float64 {
	return nanosecond*c.at(TreeWorkspaces, c.Workspaces) + c.configureTime()
}

func (c *calc) configureTime() float64 {
	return nanosecond * (c.Services*c.growth(ConfigureWorkspaces, c.Workspaces) +
		c.at(ConfigureUpstreams, c.Upstreams) + c.growth(ConfigureRouters, c.Routers))
}

// peer holds a session with every other router and everybody's counters.
func (c *calc) peer() load {
	beats := beatsPerSecond * c.peers()
	usage := exchangesPerSecond * c.peers()
	entries := c.entries()
	heard := c.at(UsageEntries, entries) + c.growth(UsageMoved, entries)
	return load{
		messages: beats + usage,
		core: nanosecond * (memberTicks*c.at(MembershipTick, c.Routers) + beats*(c.at(MembershipBeat, c.Routers)+c.at(SessionTime, 1)) +
			usage*(heard+c.at(SessionTime, entries)) + ticksPerSecond*c.growth(TickRouters, c.Routers)),
		mb: (c.at(SessionMemory, c.peers()) + c.growth(MemoryMembers, c.Routers) + c.growth(MemoryRouters, c.Routers) +
			c.growth(MemoryCounters, c.origins()*c.Workspaces)) / megabyte,
		kb: (c.peers()*(c.at(BeatBytes, c.Routers)+c.at(UsageBytes, entries)) + (beats+usage)*c.at(SessionBytes, 1)) / kilobyte,
	}
}

// platform reads the list of VMs, upstreams included.
func (c *calc) platform() load {
	reads := c.at(PlatformVMs, c.Routers)
	vms := c.Routers + c.Upstreams
	perRouter := reads / c.Routers
	return load{
		messages: perRouter,
		core:     nanosecond * perRouter * c.at(VMsDecode, vms),
		mb:       c.at(WireVMs, vms) / megabyte,
		kb:       perRouter * c.at(WireVMs, vms) / kilobyte,
		reads:    reads,
	}
}

// figure is one line of a role's table.
type figure struct {
	role      Role
	name      string
	unit      string
	value     func(*calc) float64
	limit     func(*calc) float64
	mechanism string
}

func constant(limit float64) func(*calc) float64 { return func(*calc) float64 { return limit } }

// figures lists all lines in the order of the roles.
func figures() []figure {
	var list []figure
	list = append(list, costs(Daemon, (*calc).daemon, "all roles together")...)
	for _, l := range loads {
		list = append(list, costs(l.role, l.of, mechanisms[l.role])...)
		list = append(list, states[l.role]...)
	}
	return list
}

// costs are the lines that every role has.
func costs(role Role, of func(*calc) load, mechanism string) []figure {
	list := []figure{
		{role, "messages", "1/s", func(c *calc) float64 { return of(c).messages }, nil, mechanism},
		{role, "processor", "% of a core", func(c *calc) float64 { return 100 * of(c).core }, func(c *calc) float64 { return 100 * c.MaxCore }, mechanism},
		{role, "memory", "MB", func(c *calc) float64 { return of(c).mb }, func(c *calc) float64 { return c.MaxMB }, mechanism},
		{role, "traffic", "KB/s", func(c *calc) float64 { return of(c).kb }, func(c *calc) float64 { return c.MaxKB }, mechanism},
	}
	if role == Daemon || role == Claims || role == Watcher || role == Platform {
		list = append(list, figure{role, "platform reads, fleet", "1/s", func(c *calc) float64 { return of(c).reads }, func(c *calc) float64 { return c.MaxReads }, mechanism})
	}
	if role == Daemon || role == Claims || role == Watcher {
		list = append(list, figure{role, "platform writes, fleet", "1/s", func(c *calc) float64 { return of(c).writes }, func(c *calc) float64 { return c.MaxWrites }, mechanism})
	}
	return list
}

// mechanisms name what carries each role today.
var mechanisms = map[Role]string{
	Entry:    "demand to all owners, reports per request",
	Owner:    "all upstreams known, own ones polled",
	Claims:   "shards of claims, rounds shared by all routers",
	Watcher:  "a watch per router, versions to all peers",
	Peer:     "full mesh, counters to all peers",
	Platform: "VM list read by every router",
}

// states are the lines that only one role has: state, staleness and bounds.
var states = map[Role][]figure{
	Entry: {
		{Entry, "requests waiting", "requests", func(c *calc) float64 { return c.lines() * c.Waiting }, nil, "queue per workspace"},
		{Entry, "requests running", "requests", func(c *calc) float64 { return c.running() }, nil, "one goroutine each"},
		{Entry, "learned costs", "keys", func(c *calc) float64 { return c.Workspaces }, constant(estimate.DefaultCapacity), "least recently updated key makes room"},
		{Entry, "histogram series", "pairs", func(c *calc) float64 { return c.Workspaces }, constant(metrics.MaxSeries), "later pairs share one series"},
		{Entry, "staleness of demand", "s", func(*calc) float64 { return scheduler.DefaultDemandInterval.Seconds() }, nil, "batched demand"},
	},
	Owner: {
		{Owner, "upstreams owned", "upstreams", (*calc).owned, nil, "rendezvous hash"},
		{Owner, "lines of demand heard", "lines", func(c *calc) float64 { return c.lines() * c.owners() }, nil, "demand from all routers"},
		{Owner, "staleness of load reports", "s", func(*calc) float64 { return upstream.PollInterval.Seconds() }, nil, "poll of each owned upstream"},
		{Owner, "staleness of counters", "s", (*calc).stale, nil, "exchange with all peers"},
		{Owner, "fairness bound", "s of own part", func(c *calc) float64 { return c.bound(c.stale()) }, nil, "extrapolated counters"},
	},
	Claims: {
		{Claims, "claims remembered", "claims", func(c *calc) float64 { return c.claimed() * retained }, (*calc).shardRoom, "keys remembered by every router"},
		{Claims, "mean wait, all shards in use", "s", func(c *calc) float64 { return c.at(ClaimWait, c.Routers) }, func(c *calc) float64 { return c.MaxFirst }, "rounds shared by all routers"},
	},
	Watcher: {
		{Watcher, "root object", "B", func(c *calc) float64 { return c.at(WireRoot, c.Upstreams) + c.growth(WireRootTeams, c.Teams) }, constant(objectstore.MaxValueBytes), "one object of teams and upstreams"},
		{Watcher, "staleness of settings", "s", func(c *calc) float64 { return objectstore.DefaultWatchInterval.Seconds() + c.changeTime() }, func(c *calc) float64 { return c.MaxStale }, "waiting watch"},
		{Watcher, "time in the scheduler per change", "ms", func(c *calc) float64 { return 1e3 * c.configureTime() }, nil, "whole settings configured anew"},
	},
	Peer: {
		{Peer, "sessions", "sessions", (*calc).peers, nil, "full mesh"},
		{Peer, "counters held", "counters", func(c *calc) float64 { return c.origins() * c.Workspaces }, nil, "one per incarnation and workspace"},
		{Peer, "told at once to a router that starts", "MB", (*calc).toldNewcomer, func(c *calc) float64 { return c.at(SessionQueue, c.Workspaces) / megabyte }, "one queue per session, which ends when it is full"},
		{Peer, "received by a router that starts", "MB", (*calc).coldStart, nil, "all peers tell all counters"},
		{Peer, "told to routers that start, mean", "KB/s", (*calc).toldADay, func(c *calc) float64 { return c.MaxKB }, "all peers tell all counters"},
		{Peer, "scheduler time of a router that starts", "s", (*calc).coldTime, func(c *calc) float64 { return c.MaxStale }, "owners worked out anew per session"},
	},
	Platform: {
		{Platform, "VMs listed", "VMs", func(c *calc) float64 { return c.Routers + c.Upstreams }, nil, "whole list"},
	},
}

// toldNewcomer is what one peer tells a router that newly appears, in MB: its
// own counters and those of every incarnation that is gone.
func (c *calc) toldNewcomer() float64 {
	perCounter := c.slopes[IntroduceRelays].Rate / relayWorkspaces
	return (c.at(IntroduceBytes, c.Workspaces) + perCounter*c.gone()*c.Workspaces) / megabyte
}

// coldStart is what all peers tell a router that starts, in MB.
func (c *calc) coldStart() float64 { return c.peers() * c.toldNewcomer() }

// toldADay is the mean of what one router tells those that start, in KB a
// second.
func (c *calc) toldADay() float64 {
	return (c.Failed + c.Replaced) / secondsPerDay * c.toldNewcomer() * megabyte / kilobyte
}

// coldTime is how long a new router's scheduler works on its sessions: the
// peers change twice for each.
func (c *calc) coldTime() float64 {
	return nanosecond * c.peers() * (c.growth(PeersRouters, c.Routers) + c.at(PeersUpstreams, c.Upstreams))
}
