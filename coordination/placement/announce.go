package placement

import (
	"time"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
)

// PlacedPrompt reports a prompt that was sent to an engine.
type PlacedPrompt struct {
	Upstream state.Upstream
	Prompt   []prefix.Part
	// Interferes is set if the prefill of the prompt makes the event gaps of
	// the engine's running streams too long.
	Interferes bool
}

// TakePlacedPrompts returns the prompts placed since the last call, to be sent
// to peers.
func (v *View) TakePlacedPrompts() []PlacedPrompt {
	placed := v.placedPrompts
	v.placedPrompts = nil
	return placed
}

// ReceivePlacedPrompt records a peer's report that a prompt was sent to an
// engine. With it all routers know which engines have cached a part and send
// the requests that share it there. When each router knew only its own
// placements, a quarter of the shared tokens were prefilled again. The routers
// also agree on which engines prefill interfering prompts, and keep long
// streams away from those.
func (v *View) ReceivePlacedPrompt(now time.Time, placed PlacedPrompt) {
	if h := v.hosts[placed.Upstream]; h != nil {
		if placed.Interferes {
			h.recordInterference(now)
		}
		h.cache.Touch(placed.Prompt)
	}
}

// OwnLoads returns this router's load at each upstream, to be sent to a peer
// that has received none of it yet.
func (v *View) OwnLoads() map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range v.hosts {
		if load := h.ownLoad(); load != (Load{}) {
			loads[id] = load
		}
	}
	return loads
}

// TakeChangedLoads returns the loads that have changed since the last call, to
// be sent to peers that have received the others. Most upstreams do not change
// within a tenth of a second, so a message with all loads would be ten times as
// long.
func (v *View) TakeChangedLoads() map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range v.hosts {
		if load := h.ownLoad(); load != h.reported {
			h.reported = load
			loads[id] = load
		}
	}
	return loads
}

// TakeLinkSums returns, for a link in the tree of routers, the sums of the loads
// of all routers on this side of it. They are sent to the peer at its other end.
// It returns all sums that are not zero, or only those that have changed since
// the last call.
func (v *View) TakeLinkSums(peer state.Router, all bool) map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	changed, known := v.loadChanges.since(v.sumsTaken[peer])
	v.sumsTaken[peer] = v.loadChanges.count()
	if all || !known {
		for _, h := range v.hosts {
			v.addLinkSum(loads, h, peer, all)
		}
		return loads
	}
	for _, h := range changed {
		if v.hosts[h.ID] == h {
			v.addLinkSum(loads, h, peer, false)
		}
	}
	return loads
}

// addLinkSum adds the sum of an upstream's loads on this side of a link: if it
// is not zero, or only if it has changed since it was last taken.
func (v *View) addLinkSum(loads map[state.Upstream]Load, h *host, peer state.Router, all bool) {
	load := h.loadExcluding(peer)
	if all && load != (Load{}) || !all && load != h.reportedSums[peer] {
		loads[h.ID] = load
	}
	h.reportedSums[peer] = load
}

// ReceiveLoads stores the loads that a peer sent: either its own, or the sums
// of its side of a link. An upstream that is missing from a full message has no
// load. The load of an upstream that is missing from any other message is
// unchanged.
func (v *View) ReceiveLoads(now time.Time, from state.Router, loads map[state.Upstream]Load, full bool) {
	v.lastReceivedAt[from] = now
	for id, load := range loads {
		if h := v.hosts[id]; h != nil {
			v.setPeerLoad(h, from, load)
		}
	}
	if !full {
		return
	}
	for id, h := range v.hosts {
		if _, ok := loads[id]; !ok {
			v.setPeerLoad(h, from, Load{})
		}
	}
}

// RemovePeer removes a peer's loads and the record of the loads sent to it.
func (v *View) RemovePeer(from state.Router) {
	delete(v.lastReceivedAt, from)
	delete(v.sumsTaken, from)
	for _, h := range v.hosts {
		v.setPeerLoad(h, from, Load{})
		delete(h.reportedSums, from)
	}
}

// ExpirePeerLoads removes the loads of peers that have sent nothing for
// longer than peerLoadExpiry. Their requests have ended by then.
func (v *View) ExpirePeerLoads(now time.Time) {
	for peer, receivedAt := range v.lastReceivedAt {
		if now.Sub(receivedAt) > peerLoadExpiry {
			v.RemovePeer(peer)
		}
	}
}

// OldestLoadsAge returns the time since the peer that has been silent for
// longest sent its loads, zero if there are no peers.
func (v *View) OldestLoadsAge(now time.Time) time.Duration {
	oldest := now
	for _, receivedAt := range v.lastReceivedAt {
		if receivedAt.Before(oldest) {
			oldest = receivedAt
		}
	}
	return now.Sub(oldest)
}

// RunningAt returns how many requests of all routers run at an upstream.
func (v *View) RunningAt(id state.Upstream) int {
	h := v.hosts[id]
	if h == nil {
		return 0
	}
	running, _ := h.totalLoad()
	return running
}
