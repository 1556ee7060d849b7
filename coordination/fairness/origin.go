package fairness

import (
	"cmp"
	"slices"

	"github.com/figstile/figstile/state"
)

// origin is the state of one other incarnation.
type origin struct {
	counters map[state.Workspace]Counter
	// grantedAtReceipt holds the grantedEstimate of each account when counters
	// of this origin were last received.
	grantedAtReceipt map[state.Workspace]float64
	// share is the fraction of the service's slots that the origin owns; it is
	// zero for incarnations that are no longer live.
	share float64
	live  bool
	// order determines which incarnation that is no longer live is removed
	// first: the one that this ledger has known for longest.
	order uint64
}

// ReceiveCounters stores counters of another origin. A charged cost below the
// known one is out of date and ignored, and so is the reservation that comes
// with it.
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

// endExtrapolation ends the extrapolation for one peer, since its counters now
// include all that it has granted.
func (l *Ledger) endExtrapolation(o *origin) {
	if o.share == 0 {
		return
	}
	for a := range l.extrapolatedAccounts {
		a.peerGrantedEstimate += o.share * (a.grantedEstimate - o.grantedAtReceipt[a.workspace])
		o.grantedAtReceipt[a.workspace] = a.grantedEstimate
		if l.extrapolatedCost(a) < 1 {
			delete(l.extrapolatedAccounts, a)
		}
	}
}

// forgetOldestOrigin bounds the memory used when routers restart again and
// again. The charged cost of a removed incarnation no longer counts at this
// router; the clamp bounds the effect.
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

// Peer is a live router and the fraction of the service's slots that it owns.
type Peer struct {
	Origin
	Share float64
}

// SetPeers replaces the live routers; own is the fraction of the slots that
// this router owns. Reservations of routers that are no longer live are
// dropped, because their requests show in load reports or have ended.
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

// HasPeers reports whether exactly the given routers are live in the ledger.
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

// rebuildExtrapolation recomputes the sums over peers after their shares
// changed. Slots that belong to no live peer are not extrapolated.
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
		l.extrapolatedAccounts[a] = struct{}{}
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
