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
	// tieBreaker settles equal virtual times differently at each router, so that a
	// fleet that starts idle does not send its first slots all one way.
	tieBreaker uint64
	share      float64
	own        Counter
	// othersTotal is the total of all other origins, as last heard.
	othersTotal state.Cost
	// grantedEstimate grows by the estimate of each own grant. It drives the
	// extrapolation.
	grantedEstimate float64
	// peerGrantedEstimate is the sum over live peers of peer share times granted when the
	// peer was last heard.
	peerGrantedEstimate float64
	lift                state.Cost
	forgiven            float64
	// models counts as backlog index; idleSince is set while it is empty.
	models    map[state.Model]struct{}
	idleSince time.Time
	// demandLost is set while all demand known of was that of lost routers.
	demandLost bool
	// lastEstimate is the estimate of the last own grant.
	lastEstimate state.Cost
	// key is the virtual time under which the index holds the account.
	key float64
}

// Ledger keeps the counters of one service and chooses whose turn it is.
type Ledger struct {
	seed        uint64
	ownShare    float64
	accounts    map[state.Workspace]*account
	origins     map[Origin]*origin
	originsSeen uint64
	// extrapolated holds accounts whose extrapolation is not zero.
	extrapolated map[*account]struct{}
	// byVirtualTime and byModel index the backlogged accounts by virtual time.
	byVirtualTime *btree.BTreeG[node]
	byModel       map[state.Model]*btree.BTreeG[node]
	// changedAccounts lists the accounts to be sent at the next exchange.
	changedAccounts map[*account]struct{}
	// othersChanged says that counters of others came in since the last Refold.
	othersChanged bool
	// servedInPeriod and rate measure how fast this owner serves, for the clamp.
	servedInPeriod state.Cost
	serviceRate    float64
}

// New returns an empty ledger. The seed only settles ties.
func New(seed uint64) *Ledger {
	return &Ledger{
		seed:            seed,
		ownShare:        1,
		accounts:        make(map[state.Workspace]*account),
		origins:         make(map[Origin]*origin),
		extrapolated:    make(map[*account]struct{}),
		byVirtualTime:   newIndex(),
		byModel:         make(map[state.Model]*btree.BTreeG[node]),
		changedAccounts: make(map[*account]struct{}),
	}
}

func (l *Ledger) account(w state.Workspace) *account {
	a := l.accounts[w]
	if a == nil {
		a = &account{workspace: w, tieBreaker: tieBreak(l.seed, w), share: minWorkspaceShare, models: make(map[state.Model]struct{})}
		l.accounts[w] = a
	}
	return a
}

// virtualTime is the weighted service of an account as this owner sees it; see
// the package comment.
func (l *Ledger) virtualTime(a *account) float64 {
	return l.countedTime(a) + l.extrapolatedCost(a)/a.share
}

// countedTime is the part of the virtual time that rests on counters alone.
func (l *Ledger) countedTime(a *account) float64 {
	return float64(a.own.total()+a.othersTotal)/a.share + float64(a.lift) - a.forgiven
}

// extrapolatedCost is what the other owners are taken to have granted since they
// were last heard: as much per slot as this one.
func (l *Ledger) extrapolatedCost(a *account) float64 {
	return (a.grantedEstimate*(1-l.ownShare) - a.peerGrantedEstimate) / l.ownShare
}

// Reserve sets cost aside for a grant of this owner.
func (l *Ledger) Reserve(w state.Workspace, estimate state.Cost) {
	a := l.account(w)
	a.grantedEstimate += float64(estimate)
	a.lastEstimate = estimate
	l.extrapolated[a] = struct{}{}
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
	l.servedInPeriod += max(0, served)
	l.changedAccounts[a] = struct{}{}
	l.updateKey(a)
}

// SetShare sets a workspace's part of the service. Its virtual time stays
// where it is. Otherwise months of counted service would be weighed anew, and
// one change of a weight would hand a workspace the whole fleet for hours.
func (l *Ledger) SetShare(w state.Workspace, share float64) {
	a := l.account(w)
	share = max(share, minWorkspaceShare)
	if share == a.share {
		return
	}
	unset := a.share == minWorkspaceShare
	before := l.virtualTime(a)
	a.share = share
	if !unset {
		a.forgiven += l.virtualTime(a) - before
	}
	l.updateKey(a)
}

// AdoptVirtualTimes takes over the virtual times of a peer. It is for a router that has
// just started: it can sum up what was served, but not what was forgiven or
// under which shares it was served.
func (l *Ledger) AdoptVirtualTimes(entries []Entry) {
	for _, e := range entries {
		if e.Virtual == 0 {
			continue
		}
		a := l.account(e.Workspace)
		a.forgiven += l.virtualTime(a) - float64(e.Virtual)
		l.updateKey(a)
	}
}

func (l *Ledger) raiseLift(a *account, lift state.Cost) {
	if lift <= a.lift {
		return
	}
	a.lift = lift
	l.changedAccounts[a] = struct{}{}
}

// AccountStatus are one workspace's state for operators.
type AccountStatus struct {
	Workspace state.Workspace
	Share     float64
	Counter
	Fleet   state.Cost
	Lift    state.Cost
	Virtual float64
}

// AccountStatuses returns the state of all workspaces in order of name.
func (l *Ledger) AccountStatuses() []AccountStatus {
	statuses := make([]AccountStatus, 0, len(l.accounts))
	for _, a := range l.accounts {
		statuses = append(statuses, AccountStatus{
			Workspace: a.workspace, Share: a.share, Counter: a.own,
			Fleet: a.own.total() + a.othersTotal, Lift: a.lift, Virtual: l.virtualTime(a),
		})
	}
	slices.SortFunc(statuses, func(a, b AccountStatus) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return statuses
}
