package fairness

import (
	"cmp"
	"slices"

	"github.com/figstile/figstile/state"
)

// origin is what is known of one other incarnation.
type origin struct {
	counters map[state.Workspace]Counter
	// grantedAtReceipt are the accounts' granted when this origin was last heard.
	grantedAtReceipt map[state.Workspace]float64
	// share of the service's slots; zero for incarnations that are gone.
	share float64
	live  bool
	// order tells which dead incarnation was heard of first.
	order uint64
}

// ReceiveCounters takes in counters of another origin. Charged figures below the known
// ones are old and ignored; so is a reservation that comes with them.
func (l *Ledger) ReceiveCounters(o Origin, entries []Entry) {
	sender := l.origin(o)
	l.endExtrapolation(sender)
	for _, e := range entries {
		a := l.account(e.Workspace)
		a.lift = max(a.lift, e.Lift)
		old := sender.counters[e.Workspace]
		if e.Charged < old.Charged {
			continue
		}
		if !sender.live {
			e.Reserved = 0
		}
		sender.counters[e.Workspace] = e.Counter
		a.othersTotal += e.total() - old.total()
	}
	l.othersChanged = true
}

func (l *Ledger) origin(o Origin) *origin {
	known := l.origins[o]
	if known == nil {
		l.originsSeen++
		known = &origin{counters: make(map[state.Workspace]Counter), grantedAtReceipt: make(map[state.Workspace]float64), order: l.originsSeen}
		l.origins[o] = known
		l.forgetOldestOrigin()
	}
	return known
}

// endExtrapolation ends the extrapolation of one peer: what it did until now is known.
func (l *Ledger) endExtrapolation(o *origin) {
	if o.share == 0 {
		return
	}
	for a := range l.extrapolated {
		a.peerGrantedEstimate += o.share * (a.grantedEstimate - o.grantedAtReceipt[a.workspace])
		o.grantedAtReceipt[a.workspace] = a.grantedEstimate
		if l.extrapolatedCost(a) < 1 {
			delete(l.extrapolated, a)
		}
	}
}

// forgetOldestOrigin bounds the memory under restarts without end. What a forgotten
// incarnation had charged no longer counts here, which the clamp bounds.
func (l *Ledger) forgetOldestOrigin() {
	removed := 0
	var oldest Origin
	minOrder := l.originsSeen + 1
	for o, known := range l.origins {
		if known.live {
			continue
		}
		removed++
		if known.order < minOrder {
			minOrder = known.order
			oldest = o
		}
	}
	if removed <= maxRemovedOrigins {
		return
	}
	for w, c := range l.origins[oldest].counters {
		l.account(w).othersTotal -= c.total()
	}
	delete(l.origins, oldest)
}

// Peer is a live router and its part of the service's slots.
type Peer struct {
	Origin
	Share float64
}

// SetPeers replaces the live routers: own is this router's part of the slots.
// Reservations of routers that are gone are dropped, because their work shows
// in load reports or has ended.
func (l *Ledger) SetPeers(own float64, peers []Peer) {
	l.ownShare = min(max(own, minOwnShare), 1)
	live := make(map[Origin]struct{}, len(peers))
	for _, p := range peers {
		live[p.Origin] = struct{}{}
		o := l.origin(p.Origin)
		if !o.live {
			o.grantedAtReceipt = l.grantedEstimates()
		}
		o.live = true
		o.share = p.Share
	}
	for name, o := range l.origins {
		if _, ok := live[name]; o.live && !ok {
			l.dropReserved(o)
			o.live = false
			o.share = 0
		}
	}
	l.rebuildExtrapolation()
	l.othersChanged = true
}

// HasPeers reports whether exactly these routers are live to the ledger.
func (l *Ledger) HasPeers(live []Origin) bool {
	known := 0
	for _, o := range l.origins {
		if o.live {
			known++
		}
	}
	if known != len(live) {
		return false
	}
	for _, name := range live {
		if o := l.origins[name]; o == nil || !o.live {
			return false
		}
	}
	return true
}

func (l *Ledger) dropReserved(o *origin) {
	for w, c := range o.counters {
		l.account(w).othersTotal -= c.Reserved
		c.Reserved = 0
		o.counters[w] = c
	}
	clear(o.grantedAtReceipt)
}

func (l *Ledger) grantedEstimates() map[state.Workspace]float64 {
	estimates := make(map[state.Workspace]float64, len(l.accounts))
	for w, a := range l.accounts {
		estimates[w] = a.grantedEstimate
	}
	return estimates
}

// rebuildExtrapolation rebuilds the sums over peers after their shares changed. Parts that
// belong to no live peer extrapolate nothing.
func (l *Ledger) rebuildExtrapolation() {
	liveOrigins := make([]*origin, 0, len(l.origins))
	coveredShare := 0.0
	for _, name := range l.sortedOrigins() {
		o := l.origins[name]
		if o.share > 0 {
			liveOrigins = append(liveOrigins, o)
			coveredShare += o.share
		}
	}
	for w, a := range l.accounts {
		a.peerGrantedEstimate = (1 - l.ownShare - coveredShare) * a.grantedEstimate
		for _, o := range liveOrigins {
			a.peerGrantedEstimate += o.share * o.grantedAtReceipt[w]
		}
		l.extrapolated[a] = struct{}{}
	}
}

func (l *Ledger) sortedOrigins() []Origin {
	names := make([]Origin, 0, len(l.origins))
	for name := range l.origins {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return names
}
