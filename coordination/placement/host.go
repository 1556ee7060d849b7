package placement

import (
	"time"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
)

const (
	// peerLoadExpiry is the age at which a peer's loads no longer count: a live
	// one says something twice a second.
	peerLoadExpiry = 3 * time.Second
	// defaultSlots is assumed of an upstream that does not tell its slots.
	defaultSlots = 16
	// promptCacheFraction is the part of an engine's memory that is believed to hold
	// prompt parts; the rest is taken by running requests.
	promptCacheFraction = 0.6
)

// host is the picture of one upstream.
type host struct {
	directory.Upstream
	hash  uint64
	cache *prefix.Cache

	running        int
	pendingPrefill int
	peerLoads      map[state.Router]Load
	// peerTotal is the sum of peers, kept because it is needed for each request.
	peerTotal Load
	// reported is what peers were last told of running and unread, published what
	// the peers of links were told of the sum on this side.
	reported     Load
	reportedSums map[state.Router]Load

	// relativeSpeed is this engine's reading rate over the service's usual one.
	relativeSpeed float64
	// slotTime is the mean time that a request holds a slot; 0 before the first.
	slotTime    float64
	failureRate float64
	// interferenceCount counts the prompts placed here whose reading made pauses too
	// long, fading; interferedAt is when it was last brought up to date.
	interferenceCount     float64
	interferenceUpdatedAt time.Time
	// avoidUntil passes over an upstream that has just rejected a request.
	avoidUntil time.Time
	// unreachable is set from a failed or silent connection until the
	// upstream is heard again.
	unreachable bool
	// active are the requests sent and not ended, oldest first.
	active []*Ticket
	// lastReceivedAt is when the upstream last sent anything.
	lastReceivedAt time.Time
	// sequence numbers this router's requests; latest is that of the last one
	// sent that has output, latestAt when its output began.
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

// totalLoad is what all routers have at the upstream.
func (h *host) totalLoad() (running, pendingPrefill int) {
	return h.running + h.peerTotal.Running, h.pendingPrefill + h.peerTotal.PendingPrefill
}

// setPeerLoad takes a source's load and keeps the sums.
func (h *host) setPeerLoad(source state.Router, load Load) {
	before := h.peerLoads[source]
	h.peerTotal = h.peerTotal.plus(load).minus(before)
	if load == (Load{}) {
		delete(h.peerLoads, source)
		return
	}
	h.peerLoads[source] = load
}

// loadExcluding is what all routers have at the upstream but those on a peer's side of
// a link.
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
