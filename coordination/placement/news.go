package placement

import (
	"time"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
)

// PlacedPrompt tells of a prompt that was sent to an engine.
type PlacedPrompt struct {
	Upstream state.Upstream
	Prompt   []prefix.Part
	// Interferes says that reading the prompt makes the pauses of the engine's
	// running streams too long.
	Interferes bool
}

// TakePlacedPrompts returns the prompts placed since the last call, to be told to
// peers.
func (v *View) TakePlacedPrompts() []PlacedPrompt {
	placed := v.placedPrompts
	v.placedPrompts = nil
	return placed
}

// ReceivePlacedPrompt takes a peer's word that an engine reads a prompt. All routers
// then know which engines hold a part, and send its requests there: while each
// knew only its own placements, a quarter of the shared tokens were read again.
// They also agree on which engines read the prompts that interfere, and keep
// long streams away from those.
func (v *View) ReceivePlacedPrompt(now time.Time, placed PlacedPrompt) {
	if h := v.hosts[placed.Upstream]; h != nil {
		if placed.Interferes {
			h.recordInterference(now)
		}
		h.cache.Touch(placed.Prompt)
	}
}

// OwnLoads returns what this router has at each upstream, to be told to a peer that
// knows nothing.
func (v *View) OwnLoads() map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range v.hosts {
		if load := h.ownLoad(); load != (Load{}) {
			loads[id] = load
		}
	}
	return loads
}

// TakeChangedLoads returns what has changed since the last call, to be told to the
// peers that know the rest. Most upstreams don't change within a tenth of a
// second; the whole would be ten times as long.
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

// TakeLinkSums returns the sums of this side of a link, to be told to its peer: all
// that are not zero, or what has changed since the last call.
func (v *View) TakeLinkSums(peer state.Router, all bool) map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range v.hosts {
		load := h.loadExcluding(peer)
		if all && load != (Load{}) || !all && load != h.reportedSums[peer] {
			loads[id] = load
		}
		h.reportedSums[peer] = load
	}
	return loads
}

// ReceiveLoads takes a peer's loads: its own, or the sums of its side of a link. What a
// full message lacks is zero, what another lacks is unchanged.
func (v *View) ReceiveLoads(now time.Time, from state.Router, loads map[state.Upstream]Load, full bool) {
	v.lastReceivedAt[from] = now
	for id, load := range loads {
		if h := v.hosts[id]; h != nil {
			h.setPeerLoad(from, load)
		}
	}
	if !full {
		return
	}
	for id, h := range v.hosts {
		if _, ok := loads[id]; !ok {
			h.setPeerLoad(from, Load{})
		}
	}
}

// RemovePeer forgets a peer's loads, and what it was told.
func (v *View) RemovePeer(from state.Router) {
	delete(v.lastReceivedAt, from)
	for _, h := range v.hosts {
		h.setPeerLoad(from, Load{})
		delete(h.reportedSums, from)
	}
}

// ExpirePeerLoads forgets the loads of sources that have not been heard for long:
// what they had has ended by now.
func (v *View) ExpirePeerLoads(now time.Time) {
	for source, receivedAt := range v.lastReceivedAt {
		if now.Sub(receivedAt) > peerLoadExpiry {
			v.RemovePeer(source)
		}
	}
}

// OldestLoadsAge is how long ago the source that has been silent for longest told its
// loads; zero if none has.
func (v *View) OldestLoadsAge(now time.Time) time.Duration {
	oldest := now
	for _, receivedAt := range v.lastReceivedAt {
		if receivedAt.Before(oldest) {
			oldest = receivedAt
		}
	}
	return now.Sub(oldest)
}

// RunningAt returns how many requests all routers have at an upstream.
func (v *View) RunningAt(id state.Upstream) int {
	h := v.hosts[id]
	if h == nil {
		return 0
	}
	running, _ := h.totalLoad()
	return running
}
