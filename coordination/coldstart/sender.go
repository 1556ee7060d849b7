package coldstart

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

const (
	// startupDelay is how long after its start a router sends nothing to cold
	// upstreams, because its view of the fleet may be incomplete.
	startupDelay = 5 * time.Second
	// takeoverDelay is how long a router must be the chosen sender before it
	// sends. The previous one may still send until it notices the change.
	takeoverDelay = time.Second
	// memberMemory is how long a router that is no longer live still counts as
	// a member of its data centre.
	memberMemory = 10 * time.Minute
)

// Senders determines for which cold upstreams this router is the sender. It is
// not safe for concurrent use.
type Senders struct {
	self      state.Router
	startedAt time.Time
	// current is the newest view of the live routers, and earlier holds those
	// that were replaced within takeoverDelay.
	current view
	earlier []view
	// lastSeen is when each router was last live, by data centre.
	lastSeen map[state.DataCentre]map[state.Router]time.Time
}

// view is a set of live routers.
type view struct {
	routers map[state.DataCentre][]state.Router
	// replacedAt is when the view was replaced; zero for the current one.
	replacedAt time.Time
}

// NewSenders returns the Senders of a router that starts now and knows no other.
func NewSenders(now time.Time, self state.Router) *Senders {
	return &Senders{self: self, startedAt: now, lastSeen: make(map[state.DataCentre]map[state.Router]time.Time)}
}

// SetLive sets the live routers, including this one.
func (s *Senders) SetLive(now time.Time, live []scheduler.Peer) {
	replaced := s.current
	replaced.replacedAt = now
	s.markSeen(now, replaced)
	s.earlier = append(s.recent(now), replaced)
	s.current = view{routers: make(map[state.DataCentre][]state.Router)}
	for _, p := range live {
		s.current.routers[p.DataCentre] = append(s.current.routers[p.DataCentre], p.Router)
	}
	s.markSeen(now, s.current)
}

func (s *Senders) markSeen(now time.Time, v view) {
	for dc, routers := range v.routers {
		if s.lastSeen[dc] == nil {
			s.lastSeen[dc] = make(map[state.Router]time.Time)
		}
		for _, router := range routers {
			s.lastSeen[dc][router] = now
		}
	}
}

// recent returns the earlier views that were replaced within takeoverDelay.
func (s *Senders) recent(now time.Time) []view {
	var views []view
	for _, v := range s.earlier {
		if now.Sub(v.replacedAt) < takeoverDelay {
			views = append(views, v)
		}
	}
	return views
}

// IsSender reports whether this router may send requests to a cold upstream of
// a data centre: it has been the chosen sender in every recent view, and it
// reaches most of the data centre's routers.
func (s *Senders) IsSender(now time.Time, upstream state.Upstream, dc state.DataCentre) bool {
	if now.Sub(s.startedAt) < startupDelay || !s.current.chooses(s.self, upstream, dc) || !s.reachesMost(now, dc) {
		return false
	}
	for _, v := range s.recent(now) {
		if !v.chooses(s.self, upstream, dc) {
			return false
		}
	}
	return true
}

// reachesMost reports whether more than half of a data centre's routers are
// live. Of two parts of the data centre that are cut off from each other, at
// most one reaches that many.
func (s *Senders) reachesMost(now time.Time, dc state.DataCentre) bool {
	members := 0
	for router, seenAt := range s.lastSeen[dc] {
		if now.Sub(seenAt) > memberMemory && !s.current.contains(router, dc) {
			delete(s.lastSeen[dc], router)
			continue
		}
		members++
	}
	return 2*len(s.current.routers[dc]) > members
}

func (v view) contains(router state.Router, dc state.DataCentre) bool {
	return slices.Contains(v.routers[dc], router)
}

// chooses reports whether a router is the first of a data centre in the
// rendezvous hash for an upstream.
func (v view) chooses(router state.Router, upstream state.Upstream, dc state.DataCentre) bool {
	var first state.Router
	var highest uint64
	for _, r := range v.routers[dc] {
		if weight := xxhash.Sum64String(string(upstream) + "/" + string(r)); first == "" || weight > highest {
			first, highest = r, weight
		}
	}
	return first == router
}
