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
func (p *Picture) Own() map[state.Upstream]Load { return p.loads((*host).own) }

// Sum returns what this data centre's routers have, to be told to a data centre
// that knows nothing.
func (p *Picture) Sum() map[state.Upstream]Load { return p.loads((*host).sum) }

func (p *Picture) loads(of func(*host) Load) map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range p.hosts {
		if load := of(h); load != (Load{}) {
			loads[id] = load
		}
	}
	return loads
}

// TakeChanged returns what has changed since the last call, to be told to the
// peers that know the rest. Most upstreams don't change within a tenth of a
// second; the whole would be ten times as long.
func (p *Picture) TakeChanged() map[state.Upstream]Load {
	return p.changed((*host).own, func(h *host) *Load { return &h.told })
}

// TakeChangedSum returns what has changed of the sum since the last call, to be
// told to the data centres that know the rest.
func (p *Picture) TakeChangedSum() map[state.Upstream]Load {
	return p.changed((*host).sum, func(h *host) *Load { return &h.toldSum })
}

// changed returns the loads that differ from what was told, and takes them as
// told.
func (p *Picture) changed(of func(*host) Load, told func(*host) *Load) map[state.Upstream]Load {
	loads := make(map[state.Upstream]Load)
	for id, h := range p.hosts {
		if load := of(h); load != *told(h) {
			*told(h) = load
			loads[id] = load
		}
	}
	return loads
}

// DataCentres returns the sums that were heard of other data centres, to be
// passed on to a router that knows nothing.
func (p *Picture) DataCentres() map[state.DataCentre]map[state.Upstream]Load {
	sums := make(map[state.DataCentre]map[state.Upstream]Load)
	for source := range p.heard {
		if source.Router != "" {
			continue
		}
		loads := make(map[state.Upstream]Load)
		for id, h := range p.hosts {
			if load, ok := h.peers[source]; ok {
				loads[id] = load
			}
		}
		sums[source.DataCentre] = loads
	}
	return sums
}

// Heard takes a source's loads. What a full message lacks is zero, what another
// lacks is unchanged. A data centre's sum and the word of its routers never
// count together: the later replaces the other, else a fleet that grows or
// shrinks over the bound of direct exchange would look twice as loaded.
func (p *Picture) Heard(now time.Time, from state.Source, loads map[state.Upstream]Load, full bool) {
	for other := range p.heard {
		if from.Overlaps(other) {
			p.Gone(other)
		}
	}
	p.heard[from] = now
	for id, load := range loads {
		if h := p.hosts[id]; h != nil {
			h.setPeer(from, load, p.self)
		}
	}
	if !full {
		return
	}
	for id, h := range p.hosts {
		if _, ok := loads[id]; !ok {
			h.setPeer(from, Load{}, p.self)
		}
	}
}

// Gone forgets a source's loads.
func (p *Picture) Gone(from state.Source) {
	delete(p.heard, from)
	for _, h := range p.hosts {
		h.setPeer(from, Load{}, p.self)
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
