package placement

import (
	"time"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
)

const (
	// peerLoadExpiry is the age at which a peer's loads are dropped. A live
	// peer sends a message at least twice a second.
	peerLoadExpiry = 3 * time.Second
	// defaultSlots is the number of slots assumed for an upstream that does not
	// report one.
	defaultSlots = 16
	// promptCacheFraction is the fraction of an engine's cache memory that is
	// assumed to hold prompt parts. Running requests use the rest.
	promptCacheFraction = 0.6
)

// host holds the state of one upstream.
type host struct {
	directory.Upstream
	hash  uint64
	cache *prefix.Cache

	running        int
	pendingPrefill int
	peerLoads      map[state.Router]Load
	// peerTotal is the sum of peerLoads. It is maintained on each change
	// because every placement needs it.
	peerTotal Load
	// reported is the load of this router that was last sent to its peers.
	// reportedSums holds, for each peer that is connected by a link, the sum of
	// all loads on this side of the link that was last sent to the peer.
	reported     Load
	reportedSums map[state.Router]Load

	// relativeSpeed is this engine's prefill rate as a multiple of the
	// service's mean rate.
	relativeSpeed float64
	// slotTime is the mean time that a request holds a slot, in nanoseconds; 0
	// before the first request has ended.
	slotTime    float64
	failureRate float64
	// interferenceCount is the exponentially decaying number of prompts placed
	// here whose prefill made event gaps too long. interferenceUpdatedAt is
	// when the decay was last applied.
	interferenceCount     float64
	interferenceUpdatedAt time.Time
	// avoidUntil is the time until which the upstream is avoided because it has
	// just rejected a request.
	avoidUntil time.Time
	// unreachable is set when a connection fails or the upstream goes silent,
	// and cleared when the upstream sends something again.
	unreachable bool
	// coldUntil is when the upstream becomes warm, and nextColdRequest the
	// earliest time of this router's next request while it is cold.
	coldUntil       time.Time
	nextColdRequest time.Time
	// isSender is set if this router may send requests to the upstream while it
	// is cold, as of senderCheckedAt.
	isSender        bool
	senderCheckedAt time.Time
	// active holds the requests that were sent and have not ended, oldest
	// first.
	active []*Ticket
	// lastReceivedAt is when the upstream last sent anything to this router.
	lastReceivedAt time.Time
	// sequence is the number of the last request that this router sent to the
	// upstream. newestStarted is the number of the newest request that has
	// produced output, and newestStartedAt is when its output began.
	sequence        uint64
	newestStarted   uint64
	newestStartedAt time.Time
}

func newHost(u directory.Upstream, engine routing.Engine) *host {
	return &host{
		Upstream:      u,
		hash:          hashOf(u.ID),
		cache:         prefix.New(int64(float64(engine.CacheTokens) * promptCacheFraction)),
		peerLoads:     make(map[state.Router]Load),
		reportedSums:  make(map[state.Router]Load),
		relativeSpeed: 1,
	}
}

// totalLoad returns the load of all routers at the upstream.
func (h *host) totalLoad() (running, pendingPrefill int) {
	return h.running + h.peerTotal.Running, h.pendingPrefill + h.peerTotal.PendingPrefill
}

// setPeerLoad stores the load of a peer and updates peerTotal.
func (v *View) setPeerLoad(h *host, peer state.Router, load Load) {
	before := h.peerLoads[peer]
	if load == before {
		return
	}
	v.loadChanges.add(h)
	h.peerTotal = h.peerTotal.plus(load).minus(before)
	if load == (Load{}) {
		delete(h.peerLoads, peer)
		return
	}
	h.peerLoads[peer] = load
}

// loadExcluding returns the load of all routers at the upstream, except those
// on a peer's side of a link.
func (h *host) loadExcluding(peer state.Router) Load {
	return h.ownLoad().plus(h.peerTotal).minus(h.peerLoads[peer])
}

func (h *host) ownLoad() Load { return Load{Running: h.running, PendingPrefill: h.pendingPrefill} }

func (h *host) slots(engine routing.Engine) int {
	switch {
	case h.Slots > 0:
		return h.Slots
	case engine.Slots > 0:
		return engine.Slots
	default:
		return defaultSlots
	}
}

func (h *host) slotTimeOr(fallback time.Duration) time.Duration {
	if h.slotTime > 0 {
		return time.Duration(h.slotTime)
	}
	return fallback
}
