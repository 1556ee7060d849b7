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

// calc holds a fleet against the slopes.
type calc struct {
	Fleet
	slopes map[Name]Slope
}

// needed are all slopes that calculations use.
var needed = []Name{
	RequestUpstreams, RequestOwned, TickWorkspaces, TickLines, TickUpstreams, TickServices, TickRouters,
	ConfigureWorkspaces, ConfigureUpstreams, ConfigureRouters, TreeWorkspaces, PeersRouters, PeersUpstreams,
	UsageEntries, UsageMoved, DemandLines, MembershipTick, MembershipBeat, ClaimsRound, VMsDecode, DeadOrigins,
	MemoryWorkspaces, MemoryUpstreams, MemoryRouters, MemoryMembers, MemoryWaiting, MemoryCounters, MemoryDemand,
	MemoryTree, MemoryTreeUp, MemorySeries, MemoryShard,
	WireUsage, WireDemand, WireVersions, WireObject, WireRoot, WireRootTeams, WireVMs, WireGrant, WireProgress, WireEnded, WireShard, WireHeartbeat, WireLeaving,
	UsageBytes, DemandBytes, DemandMessages, BeatBytes, IntroduceBytes, IntroduceRelays, ClaimWait,
	SessionBytes, SessionTime, SessionMemory, SessionQueue, PlatformWatches, PlatformVMs, PlatformChanges, PollBytes, PollTime, ProgressReports,
}

func newCalc(f Fleet, slopes *Slopes) (*calc, error) {
	c := &calc{Fleet: f, slopes: make(map[Name]Slope)}
	for _, name := range needed {
		slope, err := slopes.Get(name)
		if err != nil {
			return nil, err
		}
		c.slopes[name] = slope
	}
	return c, nil
}

// scaled is the same calculation for a larger or smaller fleet.
func (c *calc) scaled(k float64) *calc { return &calc{Fleet: c.Scale(k), slopes: c.slopes} }

func (c *calc) at(name Name, size float64) float64 { return c.slopes[name].At(size) }

func (c *calc) growth(name Name, size float64) float64 { return c.slopes[name].Growth(size) }

const (
	nanosecond = 1e-9
	kilobyte   = 1e3
	megabyte   = 1e6
	// ticksPerSecond are the scheduler's, beatsPerSecond those of a session.
	ticksPerSecond     = float64(1e9 / scheduler.TickInterval)
	memberTicks        = float64(1e9 / membership.TickInterval)
	beatsPerSecond     = float64(1e9 / membership.HeartbeatInterval)
	exchangesPerSecond = float64(time.Second) / float64(scheduler.DefaultExchangeInterval)
	pollsPerSecond     = float64(time.Second) / float64(upstream.PollInterval)
	// retained is how long a shard holds a claim, in seconds.
	retained = float64(claims.Retention / 1e9)
)

// frame adds what a session puts around one message.
func (c *calc) frame(bytes float64) float64 { return bytes + c.at(SessionBytes, 1) }

// peers are the routers that one has a session with.
func (c *calc) peers() float64 { return math.Max(0, c.Routers-1) }

// owners are the peers that own upstreams.
func (c *calc) owners() float64 { return math.Min(c.peers(), c.Upstreams) }

// owned is the upstreams of one owner.
func (c *calc) owned() float64 { return c.Upstreams / c.Routers }

// entries are the counters in one exchange of a router.
func (c *calc) entries() float64 { return c.charged(1 / exchangesPerSecond) }

// origins are the incarnations whose counters a router holds: the live ones
// and those that are gone. The latter are forgotten by their number and never
// by their age, so that a fleet that lives long has as many as fit.
func (c *calc) origins() float64 { return c.peers() + c.gone() }

func (c *calc) gone() float64 { return c.at(DeadOrigins, c.Routers) }

// granted is the requests a second that one router runs on others' upstreams.
func (c *calc) granted() float64 { return c.perRouter() * c.remote() }

// reports is the progress messages of one granted request.
func (c *calc) reports() float64 { return 1 + c.at(ProgressReports, c.holding()) }

// claimed is the claims a second of the fleet.
func (c *calc) claimed() float64 { return c.Requests * c.Claimed }

// shardRoom is the claims that all shards hold together.
func (c *calc) shardRoom() float64 { return claims.Shards * claims.MaxKeys }

// open is the mean number of entries in an open segment.
func (c *calc) open() float64 { return openEntries(c.slopes[WireShard]) }

// inShard is the claims in one shard after a day, as far as they fit.
func (c *calc) inShard() float64 {
	return math.Min(c.claimed()*retained, c.shardRoom()) / claims.Shards
}

// rounds is the claim rounds a second of the fleet.
func (c *calc) rounds() float64 { return math.Min(claims.FleetRoundsPerSecond, 2*c.claimed()) }

// onPlatform is the length of a value in the platform's JSON.
func onPlatform(bytes float64) float64 { return float64(base64.StdEncoding.EncodedLen(int(bytes))) }

// stale is the age of peers' counters in seconds when the next ones come.
func (c *calc) stale() float64 {
	return scheduler.DefaultExchangeInterval.Seconds() + scheduler.TickInterval.Seconds()
}

// bound is the fairness bound of package fairness for workspaces of equal
// share, in seconds of one workspace's part of the service: twice what is in
// progress, plus one largest request, plus what the fleet serves unheard.
func (c *calc) bound(stale float64) float64 {
	slots := c.slots()
	inProgress := slots * c.Largest / c.Workspaces
	slotSeconds := 2 * (inProgress + c.Largest + slots*stale)
	part := slots / math.Max(1, c.backlog())
	return slotSeconds / part
}
