package capacity

import (
	"encoding/base64"
	"math"
	"time"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/transport/upstream"
)

// calculator calculates the costs of a fleet from the slopes.
type calculator struct {
	Fleet
	slopes map[SlopeName]Slope
}

// requiredSlopes lists all slopes that the calculations use.
var requiredSlopes = []SlopeName{
	RequestUpstreams, RequestOwned, TickWorkspaces, TickLines, TickUpstreams, TickServices, TickRouters,
	ConfigureWorkspaces, ConfigureUpstreams, ConfigureRouters, TreeWorkspaces, PeersRouters, PeersUpstreams,
	UsageEntries, UsageMoved, DemandLines, MembershipTick, MembershipHeartbeat, ClaimsRound, VMsDecode, RemovedOrigins,
	MemoryWorkspaces, MemoryUpstreams, MemoryRouters, MemoryMembers, MemoryWaiting, MemoryCounters, MemoryDemand,
	MemoryTree, MemoryTreeUpstreams, MemorySeries, MemoryShard,
	WireUsage, WireDemand, WireVersions, WireObject, WireRoot, WireRootTeams, WireVMs, WireGrant, WireProgress, WireEnded, WireShard, WireHeartbeat, WireLeaving,
	UsageBytes, DemandBytes, DemandMessages, HeartbeatBytes, IntroduceBytes, IntroduceRelays, ClaimWait,
	SessionBytes, SessionTime, SessionMemory, SessionQueue, PlatformWatches, PlatformVMs, PlatformChanges, PollBytes, PollTime, ProgressReports,
}

func newCalculator(f Fleet, slopes *Slopes) (*calculator, error) {
	c := &calculator{Fleet: f, slopes: make(map[SlopeName]Slope)}
	for _, name := range requiredSlopes {
		slope, err := slopes.Get(name)
		if err != nil {
			return nil, err
		}
		c.slopes[name] = slope
	}
	return c, nil
}

// scaled returns a calculator for a fleet that is k times as large.
func (c *calculator) scaled(k float64) *calculator {
	return &calculator{Fleet: c.Scale(k), slopes: c.slopes}
}

// costAt returns the cost of a slope at the given size.
func (c *calculator) costAt(name SlopeName, size float64) float64 { return c.slopes[name].CostAt(size) }

// growth returns the part of the cost of a slope that depends on the size.
func (c *calculator) growth(name SlopeName, size float64) float64 { return c.slopes[name].Growth(size) }

const (
	nanosecond = 1e-9
	kilobyte   = 1e3
	megabyte   = 1e6
	// ticksPerSecond is the tick rate of the scheduler. heartbeatsPerSecond is
	// the rate of heartbeats in one session.
	ticksPerSecond           = float64(1e9 / scheduler.TickInterval)
	membershipTicksPerSecond = float64(1e9 / membership.TickInterval)
	heartbeatsPerSecond      = float64(1e9 / membership.HeartbeatInterval)
	exchangesPerSecond       = float64(time.Second) / float64(scheduler.DefaultExchangeInterval)
	pollsPerSecond           = float64(time.Second) / float64(upstream.PollInterval)
	// claimRetentionSeconds is the time, in seconds, for which a shard keeps a
	// claim.
	claimRetentionSeconds = float64(claims.Retention / 1e9)
)

// withFraming returns the size of a message of the given size in bytes,
// including the overhead of the session.
func (c *calculator) withFraming(bytes float64) float64 { return bytes + c.costAt(SessionBytes, 1) }

// peerCount returns the number of routers with which one router has a session.
func (c *calculator) peerCount() float64 { return math.Max(0, c.Routers-1) }

// ownerCount returns the number of peers that own upstreams.
func (c *calculator) ownerCount() float64 { return math.Min(c.peerCount(), c.Upstreams) }

// ownedUpstreams returns the mean number of upstreams per owner.
func (c *calculator) ownedUpstreams() float64 { return c.Upstreams / c.Routers }

// countersPerExchange returns the number of counters that one router sends in
// one exchange.
func (c *calculator) countersPerExchange() float64 { return c.changedCounters(1 / exchangesPerSecond) }

// originCount returns the number of incarnations whose counters a router
// stores: the live ones and those that are no longer live. The number of the
// latter is limited, but they do not expire by age, so a fleet that runs for
// long reaches the limit.
func (c *calculator) originCount() float64 { return c.peerCount() + c.removedIncarnations() }

// removedIncarnations returns the number of incarnations that are no longer
// live and whose counters a router stores.
func (c *calculator) removedIncarnations() float64 { return c.costAt(RemovedOrigins, c.Routers) }

// grantedPerSecond returns the number of requests per second that one router
// runs on upstreams owned by other routers.
func (c *calculator) grantedPerSecond() float64 { return c.requestsPerRouter() * c.remoteFraction() }

// reportsPerRequest returns the number of progress messages for one granted
// request.
func (c *calculator) reportsPerRequest() float64 {
	return 1 + c.costAt(ProgressReports, c.slotHoldSeconds())
}

// claimsPerSecond returns the number of claims per second in the whole fleet.
func (c *calculator) claimsPerSecond() float64 { return c.Requests * c.Claimed }

// claimCapacity returns the number of claims that all shards can store
// together.
func (c *calculator) claimCapacity() float64 { return claims.Shards * claims.MaxKeys }

// openSegmentEntries returns the mean number of entries in an open segment.
func (c *calculator) openSegmentEntries() float64 { return meanOpenEntries(c.slopes[WireShard]) }

// claimsPerShard returns the number of claims in one shard after the retention
// time of claims, limited by the capacity of the shard.
func (c *calculator) claimsPerShard() float64 {
	return math.Min(c.claimsPerSecond()*claimRetentionSeconds, c.claimCapacity()) / claims.Shards
}

// claimRoundsPerSecond returns the number of claim rounds per second in the
// whole fleet.
func (c *calculator) claimRoundsPerSecond() float64 {
	return math.Min(claims.FleetRoundsPerSecond, 2*c.claimsPerSecond())
}

// base64Bytes returns the length of a value of the given size in the JSON of
// the platform, which encodes values in base64.
func base64Bytes(bytes float64) float64 { return float64(base64.StdEncoding.EncodedLen(int(bytes))) }

// counterStaleness returns the age, in seconds, that the counters of a peer
// reach before the next ones arrive.
func (c *calculator) counterStaleness() float64 {
	return scheduler.DefaultExchangeInterval.Seconds() + scheduler.TickInterval.Seconds()
}

// fairnessBound returns the bound of package fairness for workspaces of equal
// share, in seconds of the service that one workspace receives. The bound is
// twice the sum of three terms: the service in progress, one request of maximum
// duration, and the service of the whole fleet that has not been reported yet.
// The argument staleness is the age of the counters in seconds.
func (c *calculator) fairnessBound(staleness float64) float64 {
	slots := c.totalSlots()
	inProgress := slots * c.Largest / c.Workspaces
	slotSeconds := 2 * (inProgress + c.Largest + slots*staleness)
	slotsPerWorkspace := slots / math.Max(1, c.backloggedWorkspaces())
	return slotSeconds / slotsPerWorkspace
}
