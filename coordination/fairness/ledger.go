package fairness

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
)

// Origin is one incarnation of a router, the unit that counters belong to.
type Origin struct {
	Router      state.Router
	Incarnation state.Incarnation
}

// Counter is what one origin has granted to a workspace: served cost, which
// only grows, and what is set aside for requests in progress.
type Counter struct {
	Charged  state.Cost
	Reserved state.Cost
}

func (c Counter) total() state.Cost {
	return c.Charged + c.Reserved
}

// Entry is one counter of an origin, with the workspace's lift.
type Entry struct {
	Workspace state.Workspace
	Counter
	Lift state.Cost
	// Virtual is the sender's virtual time, if it tells; see Adopt.
	Virtual state.Cost
}

// account is one workspace of the service.
type account struct {
	workspace state.Workspace
	// tie settles equal virtual times differently at each router, so that a
	// fleet that starts idle does not send its first slots all one way.
	tie   uint64
	share float64
	own   Counter
	// others is the total of all other origins, as last heard.
	others state.Cost
	// granted grows by the estimate of each own grant. It drives the
	// extrapolation.
	granted float64
	// marked is the sum over live peers of peer share times granted when the
	// peer was last heard.
	marked   float64
	lift     state.Cost
	forgiven float64
	// models counts as backlog index; idleSince is set while it is empty.
	models    map[state.Model]struct{}
	idleSince time.Time
	// lost is set while all demand known of was that of lost routers.
	lost bool
	// usual is the estimate of the last own grant.
	usual state.Cost
	// key is the virtual time under which the index holds the account.
	key float64
}

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

// Ledger keeps the counters of one service and chooses whose turn it is.
type Ledger struct {
	seed     uint64
	share    float64
	accounts map[state.Workspace]*account
	origins  map[Origin]*origin
	heard    uint64
	// moved holds accounts whose extrapolation is not zero.
	moved map[*account]struct{}
	// all and byModel index the backlogged accounts by virtual time.
	all     *btree.BTreeG[node]
	byModel map[state.Model]*btree.BTreeG[node]
	// changed lists the accounts to be sent at the next exchange.
	changed map[*account]struct{}
	// stale says that counters of others came in since the last Refold.
	stale bool
	// paidOut and rate measure how fast this owner serves, for the clamp.
	paidOut state.Cost
	rate    float64
}

// New returns an empty ledger. The seed only settles ties.
func New(seed uint64) *Ledger {
	return &Ledger{
		seed:     seed,
		share:    1,
		accounts: make(map[state.Workspace]*account),
		origins:  make(map[Origin]*origin),
		moved:    make(map[*account]struct{}),
		all:      newIndex(),
		byModel:  make(map[state.Model]*btree.BTreeG[node]),
		changed:  make(map[*account]struct{}),
	}
}

func (l *Ledger) account(w state.Workspace) *account {
	a := l.accounts[w]
	if a == nil {
		a = &account{workspace: w, tie: tieBreak(l.seed, w), share: unknownShare, models: make(map[state.Model]struct{})}
		l.accounts[w] = a
	}
	return a
}

// virtual is the weighted service of an account as this owner sees it; see
// the package comment.
func (l *Ledger) virtual(a *account) float64 {
	served := float64(a.own.total()+a.others) + l.extrapolated(a)
	return served/a.share + float64(a.lift) - a.forgiven
}

// extrapolated is what the other owners are taken to have granted since they
// were last heard: as much per slot as this one.
func (l *Ledger) extrapolated(a *account) float64 {
	return (a.granted*(1-l.share) - a.marked) / l.share
}

// Reserve sets cost aside for a grant of this owner.
func (l *Ledger) Reserve(w state.Workspace, estimate state.Cost) {
	a := l.account(w)
	a.granted += float64(estimate)
	a.usual = estimate
	l.moved[a] = struct{}{}
	l.adjust(a, 0, estimate)
}

// Charge counts served cost and changes what remains set aside.
func (l *Ledger) Charge(w state.Workspace, served, reserved state.Cost) {
	l.adjust(l.account(w), served, reserved)
}

func (l *Ledger) adjust(a *account, served, reserved state.Cost) {
	if served == 0 && reserved == 0 {
		return
	}
	a.own.Charged += max(0, served)
	a.own.Reserved = max(0, a.own.Reserved+reserved)
	l.paidOut += max(0, served)
	l.changed[a] = struct{}{}
	l.rekey(a)
}

// Hear takes in counters of another origin. Charged figures below the known
// ones are old and ignored; so is a reservation that comes with them.
func (l *Ledger) Hear(o Origin, entries []Entry) {
	known := l.origin(o)
	l.mark(known)
	for _, e := range entries {
		a := l.account(e.Workspace)
		l.raise(a, e.Lift)
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

// SetShare sets a workspace's part of the service. Its virtual time stays
// where it is. Otherwise months of counted service would be weighed anew, and
// one change of a weight would hand a workspace the whole fleet for hours.
func (l *Ledger) SetShare(w state.Workspace, share float64) {
	a := l.account(w)
	share = max(share, unknownShare)
	if share == a.share {
		return
	}
	first := a.share == unknownShare
	before := l.virtual(a)
	a.share = share
	if !first {
		a.forgiven += l.virtual(a) - before
	}
	l.rekey(a)
}

// Adopt takes over the virtual times of a peer. It is for a router that has
// just started: it can sum up what was served, but not what was forgiven or
// under which shares it was served.
func (l *Ledger) Adopt(entries []Entry) {
	for _, e := range entries {
		if e.Virtual == 0 {
			continue
		}
		a := l.account(e.Workspace)
		a.forgiven += l.virtual(a) - float64(e.Virtual)
		l.rekey(a)
	}
}

func (l *Ledger) raise(a *account, lift state.Cost) {
	if lift <= a.lift {
		return
	}
	a.lift = lift
	l.changed[a] = struct{}{}
}

// Refold re-orders the backlogged accounts if counters of others came in. The
// host calls it once per tick, so that hundreds of peers cost no more.
func (l *Ledger) Refold() {
	if !l.stale {
		return
	}
	l.stale = false
	for _, a := range l.backlogged() {
		l.rekey(a)
	}
}

// Exchange ends a period between two exchanges of counters: it returns the
// entries that changed, clamps and measures the rate of service.
func (l *Ledger) Exchange(period time.Duration) []Entry {
	l.measure(period)
	l.clamp()
	entries := make([]Entry, 0, len(l.changed))
	for a := range l.changed {
		entries = append(entries, a.entry())
	}
	clear(l.changed)
	sortEntries(entries)
	return entries
}

func (a *account) entry() Entry {
	return Entry{Workspace: a.workspace, Counter: a.own, Lift: a.lift}
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Workspace, b.Workspace) })
}

// Own returns all counters of this router, with virtual times.
func (l *Ledger) Own() []Entry {
	entries := make([]Entry, 0, len(l.accounts))
	for _, a := range l.accounts {
		if a.own == (Counter{}) && a.lift == 0 && a.others == 0 {
			continue
		}
		e := a.entry()
		e.Virtual = state.Cost(l.virtual(a))
		entries = append(entries, e)
	}
	sortEntries(entries)
	return entries
}

// Relay is the last word of an incarnation that is gone.
type Relay struct {
	Origin  Origin
	Entries []Entry
}

// Dead returns the counters of incarnations that are gone. A router that
// starts cold hears of them from nobody else.
func (l *Ledger) Dead() []Relay {
	var relays []Relay
	for _, name := range l.sorted() {
		o := l.origins[name]
		if o.live || len(o.counters) == 0 {
			continue
		}
		r := Relay{Origin: name}
		for w, c := range o.counters {
			r.Entries = append(r.Entries, Entry{Workspace: w, Counter: c, Lift: l.account(w).lift})
		}
		sortEntries(r.Entries)
		relays = append(relays, r)
	}
	return relays
}

// Figures are one workspace's state for operators.
type Figures struct {
	Workspace state.Workspace
	Share     float64
	Counter
	Fleet   state.Cost
	Lift    state.Cost
	Virtual float64
}

// Figures returns the state of all workspaces in order of name.
func (l *Ledger) Figures() []Figures {
	figures := make([]Figures, 0, len(l.accounts))
	for _, a := range l.accounts {
		figures = append(figures, Figures{
			Workspace: a.workspace, Share: a.share, Counter: a.own,
			Fleet: a.own.total() + a.others, Lift: a.lift, Virtual: l.virtual(a),
		})
	}
	slices.SortFunc(figures, func(a, b Figures) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return figures
}
