package placement

import (
	"time"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
)

// Placed tells of a prompt that was sent to an engine.
type Placed struct {
	Upstream state.Upstream
	Prompt   []prefix.Part
	// Interferes says that reading the prompt makes the pauses of the engine's
	// running streams too long.
	Interferes bool
}

// TakePlaced returns the prompts placed since the last call, to be told to
// peers.
func (p *Picture) TakePlaced() []Placed {
	placed := p.placed
	p.placed = nil
	return placed
}

// HeardPlaced takes a peer's word that an engine reads a prompt. All routers
// then know which engines hold a part, and send its requests there: while each
// knew only its own placements, a quarter of the shared tokens were read again.
// They also agree on which engines read the prompts that interfere, and keep
// long streams away from those.
func (p *Picture) HeardPlaced(now time.Time, placed Placed) {
	if h := p.hosts[placed.Upstream]; h != nil {
		if placed.Interferes {
			h.interfere(now)
		}
		h.cache.Touch(placed.Prompt)
	}
}

// Own returns what this router has at each upstream, to be told to a peer that
// knows nothing.
func (p *Picture) Own() map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range p.hosts {
		if load := h.own(); load != (Load{}) {
			loads[id] = load
		}
	}
	return loads
}

// TakeChanged returns what has changed since the last call, to be told to the
// peers that know the rest. Most upstreams don't change within a tenth of a
// second; the whole would be ten times as long.
func (p *Picture) TakeChanged() map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range p.hosts {
		if load := h.own(); load != h.told {
			h.told = load
			loads[id] = load
		}
	}
	return loads
}

// TakeSums returns the sums of this side of a link, to be told to its peer: all
// that are not zero, or what has changed since the last call.
func (p *Picture) TakeSums(peer state.Router, all bool) map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range p.hosts {
		load := h.beyond(peer)
		if all && load != (Load{}) || !all && load != h.published[peer] {
			loads[id] = load
		}
		h.published[peer] = load
	}
	return loads
}

// Heard takes a peer's loads: its own, or the sums of its side of a link. What a
// full message lacks is zero, what another lacks is unchanged.
func (p *Picture) Heard(now time.Time, from state.Router, loads map[state.Upstream]Load, full bool) {
	p.heard[from] = now
	for id, load := range loads {
		if h := p.hosts[id]; h != nil {
			h.setPeer(from, load)
		}
	}
	if !full {
		return
	}
	for id, h := range p.hosts {
		if _, ok := loads[id]; !ok {
			h.setPeer(from, Load{})
		}
	}
}

// Gone forgets a peer's loads, and what it was told.
func (p *Picture) Gone(from state.Router) {
	delete(p.heard, from)
	for _, h := range p.hosts {
		h.setPeer(from, Load{})
		delete(h.published, from)
	}
}

// ForgetSilent forgets the loads of sources that have not been heard for long:
// what they had has ended by now.
func (p *Picture) ForgetSilent(now time.Time) {
	for source, heard := range p.heard {
		if now.Sub(heard) > peerExpiry {
			p.Gone(source)
		}
	}
}

// LoadsAge is how long ago the source that has been silent for longest told its
// loads; zero if none has.
func (p *Picture) LoadsAge(now time.Time) time.Duration {
	oldest := now
	for _, heard := range p.heard {
		if heard.Before(oldest) {
			oldest = heard
		}
	}
	return now.Sub(oldest)
}

// Running returns how many requests all routers have at an upstream.
func (p *Picture) Running(id state.Upstream) int {
	h := p.hosts[id]
	if h == nil {
		return 0
	}
	running, _ := h.load()
	return running
}
