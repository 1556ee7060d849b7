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

// calculator holds a fleet against the slopes.
type calculator struct {
	Fleet
	slopes map[SlopeName]Slope
}

// requiredSlopes are all slopes that calculations use.
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

// scaled is the same calculation for a larger or smaller fleet.
func (c *calculator) scaled(k float64) *calculator {
	return &calculator{Fleet: c.Scale(k), slopes: c.slopes}
}

func (c *calculator) costAt(name SlopeName, size float64) float64 { return c.slopes[name].CostAt(size) }

func (c *calculator) growth(name SlopeName, size float64) float64 { return c.slopes[name].Growth(size) }

const (
	nanosecond = 1e-9
	kilobyte   = 1e3
	megabyte   = 1e6
	// ticksPerSecond are the scheduler's, beatsPerSecond those of a session.
	ticksPerSecond           = float64(1e9 / scheduler.TickInterval)
	membershipTicksPerSecond = float64(1e9 / membership.TickInterval)
	heartbeatsPerSecond      = float64(1e9 / membership.HeartbeatInterval)
	exchangesPerSecond       = float64(time.Second) / float64(scheduler.DefaultExchangeInterval)
	pollsPerSecond           = float64(time.Second) / float64(upstream.PollInterval)
	// claimRetentionSeconds is how long a shard holds a claim, in seconds.
	claimRetentionSeconds = float64(claims.Retention / 1e9)
)

// withFraming adds what a session puts around one message.
func (c *calculator) withFraming(bytes float64) float64 { return bytes + c.costAt(SessionBytes, 1) }

// peerCount are the routers that one has a session with.
func (c *calculator) peerCount() float64 { return math.Max(0, c.Routers-1) }

// ownerCount are the peers that own upstreams.
func (c *calculator) ownerCount() float64 { return math.Min(c.peerCount(), c.Upstreams) }

// ownedUpstreams is the upstreams of one owner.
func (c *calculator) ownedUpstreams() float64 { return c.Upstreams / c.Routers }

// countersPerExchange are the counters in one exchange of a router.
func (c *calculator) countersPerExchange() float64 { return c.changedCounters(1 / exchangesPerSecond) }

// originCount are the incarnations whose counters a router holds: the live ones
// and those that are gone. The latter are forgotten by their number and never
// by their age, so that a fleet that lives long has as many as fit.
func (c *calculator) originCount() float64 { return c.peerCount() + c.removedIncarnations() }

func (c *calculator) removedIncarnations() float64 { return c.costAt(RemovedOrigins, c.Routers) }

// grantedPerSecond is the requests a second that one router runs on others' upstreams.
func (c *calculator) grantedPerSecond() float64 { return c.requestsPerRouter() * c.remoteFraction() }

// reportsPerRequest is the progress messages of one granted request.
func (c *calculator) reportsPerRequest() float64 {
	return 1 + c.costAt(ProgressReports, c.slotHoldSeconds())
}

// claimsPerSecond is the claims a second of the fleet.
func (c *calculator) claimsPerSecond() float64 { return c.Requests * c.Claimed }

// claimCapacity is the claims that all shards hold together.
func (c *calculator) claimCapacity() float64 { return claims.Shards * claims.MaxKeys }

// openSegmentEntries is the mean number of entries in an open segment.
func (c *calculator) openSegmentEntries() float64 { return meanOpenEntries(c.slopes[WireShard]) }

// claimsPerShard is the claims in one shard after a day, as far as they fit.
func (c *calculator) claimsPerShard() float64 {
	return math.Min(c.claimsPerSecond()*claimRetentionSeconds, c.claimCapacity()) / claims.Shards
}

// claimRoundsPerSecond is the claim rounds a second of the fleet.
func (c *calculator) claimRoundsPerSecond() float64 {
	return math.Min(claims.FleetRoundsPerSecond, 2*c.claimsPerSecond())
}

// base64Bytes is the length of a value in the platform's JSON.
func base64Bytes(bytes float64) float64 { return float64(base64.StdEncoding.EncodedLen(int(bytes))) }

// counterStaleness is the age of peers' counters in seconds when the next ones come.
func (c *calculator) counterStaleness() float64 {
	return scheduler.DefaultExchangeInterval.Seconds() + scheduler.TickInterval.Seconds()
}

// fairnessBound is the fairness bound of package fairness for workspaces of equal
// share, in seconds of one workspace's part of the service: twice what is in
// progress, plus one largest request, plus what the fleet serves unheard.
func (c *calculator) fairnessBound(staleness float64) float64 {
	slots := c.totalSlots()
	inProgress := slots * c.Largest / c.Workspaces
	slotSeconds := 2 * (inProgress + c.Largest + slots*staleness)
	slotsPerWorkspace := slots / math.Max(1, c.backloggedWorkspaces())
	return slotSeconds / slotsPerWorkspace
}
