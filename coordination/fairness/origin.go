package fairness

import (
	"cmp"
	"slices"

	"github.com/figstile/figstile/state"
)

// origin is what is known of one other incarnation.
type origin struct {
	counters map[state.Workspace]Counter
	// marks are the accounts' granted when this origin was last heard.
	marks map[state.Workspace]float64
	// share of the service's slots; zero for incarnations that are gone.
	share float64
	live  bool
	// order tells which dead incarnation was heard of first.
	order uint64
}

// Hear takes in counters of another origin. Charged figures below the known
// ones are old and ignored; so is a reservation that comes with them.
func (l *Ledger) Hear(o Origin, entries []Entry) {
	known := l.origin(o)
	l.mark(known)
	for _, e := range entries {
		a := l.account(e.Workspace)
		a.lift = max(a.lift, e.Lift)
		old := known.counters[e.Workspace]
		if e.Charged < old.Charged {
			continue
		}
		if !known.live {
			e.Reserved = 0
		}
		known.counters[e.Workspace] = e.Counter
		a.others += e.total() - old.total()
	}
	l.stale = true
}

func (l *Ledger) origin(o Origin) *origin {
	known := l.origins[o]
	if known == nil {
		l.heard++
		known = &origin{counters: make(map[state.Workspace]Counter), marks: make(map[state.Workspace]float64), order: l.heard}
		l.origins[o] = known
		l.forgetOldest()
	}
	return known
}

// mark ends the extrapolation of one peer: what it did until now is known.
func (l *Ledger) mark(o *origin) {
	if o.share == 0 {
		return
	}
	for a := range l.moved {
		a.marked += o.share * (a.granted - o.marks[a.workspace])
		o.marks[a.workspace] = a.granted
		if l.extrapolated(a) < 1 {
			delete(l.moved, a)
		}
	}
}

// forgetOldest bounds the memory under restarts without end. What a forgotten
// incarnation had charged no longer counts here, which the clamp bounds.
func (l *Ledger) forgetOldest() {
	dead := 0
	var oldest Origin
	first := l.heard + 1
	for o, known := range l.origins {
		if known.live {
			continue
		}
		dead++
		if known.order < first {
			first = known.order
			oldest = o
		}
	}
	if dead <= maxDead {
		return
	}
	for w, c := range l.origins[oldest].counters {
		l.account(w).others -= c.total()
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
	l.share = min(max(own, minOwnShare), 1)
	live := make(map[Origin]struct{}, len(peers))
	for _, p := range peers {
		live[p.Origin] = struct{}{}
		o := l.origin(p.Origin)
		if !o.live {
			o.marks = l.grantedNow()
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
	l.remark()
	l.stale = true
}

// Knows reports whether exactly these routers are live to the ledger.
func (l *Ledger) Knows(live []Origin) bool {
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
		l.account(w).others -= c.Reserved
		c.Reserved = 0
		o.counters[w] = c
	}
	clear(o.marks)
}

func (l *Ledger) grantedNow() map[state.Workspace]float64 {
	marks := make(map[state.Workspace]float64, len(l.accounts))
	for w, a := range l.accounts {
		marks[w] = a.granted
	}
	return marks
}

// remark rebuilds the sums over peers after their shares changed. Parts that
// belong to no live peer extrapolate nothing.
func (l *Ledger) remark() {
	parts := make([]*origin, 0, len(l.origins))
	covered := 0.0
	for _, name := range l.sorted() {
		o := l.origins[name]
		if o.share > 0 {
			parts = append(parts, o)
			covered += o.share
		}
	}
	for w, a := range l.accounts {
		a.marked = (1 - l.share - covered) * a.granted
		for _, o := range parts {
			a.marked += o.share * o.marks[w]
		}
		l.moved[a] = struct{}{}
	}
}

func (l *Ledger) sorted() []Origin {
	names := make([]Origin, 0, len(l.origins))
	for name := range l.origins {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Router, b.Router), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return names
}
