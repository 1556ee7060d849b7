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
	return l.counted(a) + l.extrapolated(a)/a.share
}

// counted is the part of the virtual time that rests on counters alone.
func (l *Ledger) counted(a *account) float64 {
	return float64(a.own.total()+a.others)/a.share + float64(a.lift) - a.forgiven
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
