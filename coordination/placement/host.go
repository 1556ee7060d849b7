package placement

import (
	"time"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
)

const (
	// peerExpiry is the age at which a peer's loads no longer count: a live
	// one says something twice a second.
	peerExpiry = 3 * time.Second
	// defaultSlots is assumed of an upstream that does not tell its slots.
	defaultSlots = 16
	// cacheShare is the part of an engine's memory that is believed to hold
	// prompt parts; the rest is taken by running requests.
	cacheShare = 0.6
)

// host is the picture of one upstream.
type host struct {
	directory.Upstream
	hash  uint64
	cache *prefix.Cache

	running int
	unread  int
	peers   map[state.Router]Load
	// others is the sum of peers, kept because it is needed for each request.
	others Load
	// told is what peers were last told of running and unread, published what
	// the peers of links were told of the sum on this side.
	told      Load
	published map[state.Router]Load

	// speed is this engine's reading rate over the service's usual one.
	speed float64
	// hold is the mean time that a request holds a slot; 0 before the first.
	hold     float64
	failures float64
	// interference counts the prompts placed here whose reading made pauses too
	// long, fading; interferedAt is when it was last brought up to date.
	interference float64
	interferedAt time.Time
	// rejectsUntil passes over an upstream that has just rejected a request.
	rejectsUntil time.Time
	// unreachable is set from a failed or silent connection until the
	// upstream is heard again.
	unreachable bool
	// active are the requests sent and not ended, oldest first.
	active []*Ticket
	// heard is when the upstream last sent anything.
	heard time.Time
	// sequence numbers this router's requests; latest is that of the last one
	// sent that has output, latestAt when its output began.
	sequence uint64
	latest   uint64
	latestAt time.Time
}

func newHost(u directory.Upstream, engine routing.Engine) *host {
	return &host{
		Upstream:  u,
		hash:      hashOf(u.ID),
		cache:     prefix.New(int64(float64(engine.CacheTokens) * cacheShare)),
		peers:     make(map[state.Router]Load),
		published: make(map[state.Router]Load),
		speed:     1,
	}
}

// load is what all routers have at the upstream.
func (h *host) load() (running, unread int) {
	return h.running + h.others.Running, h.unread + h.others.Unread
}

// setPeer takes a source's load and keeps the sums.
func (h *host) setPeer(source state.Router, load Load) {
	before := h.peers[source]
	h.others = h.others.plus(load).minus(before)
	if load == (Load{}) {
		delete(h.peers, source)
		return
	}
	h.peers[source] = load
}

// beyond is what all routers have at the upstream but those on a peer's side of
// a link.
func (h *host) beyond(peer state.Router) Load { return h.own().plus(h.others).minus(h.peers[peer]) }

func (h *host) own() Load { return Load{Running: h.running, Unread: h.unread} }

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

func (h *host) holdTime(fallback time.Duration) time.Duration {
	if h.hold > 0 {
		return time.Duration(h.hold)
	}
	return fallback
}
