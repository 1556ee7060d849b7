package fairness

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
)

// Origin is one incarnation of a router. Counters belong to an origin.
type Origin struct {
	Router      state.Router
	Incarnation state.Incarnation
}

// Counter holds the cost that one origin has granted to a workspace: the served
// cost, which only grows, and the cost reserved for requests in progress.
type Counter struct {
	Charged  state.Cost
	Reserved state.Cost
}

func (c Counter) total() state.Cost {
	return c.Charged + c.Reserved
}

// Entry is the counter of an origin for one workspace, together with the lift
// of the workspace.
type Entry struct {
	Workspace state.Workspace
	Counter
	Lift state.Cost
	// Virtual is the virtual time of the workspace at the sender, or zero if
	// the sender did not include it; see AdoptVirtualTimes.
	Virtual state.Cost
}

// account is the state of one workspace of the service.
type account struct {
	workspace state.Workspace
	// tieBreaker orders equal virtual times differently at each router, so that
	// the first slots of a fleet that starts idle do not all go to the same
	// workspace.
	tieBreaker uint64
	share      float64
	own        Counter
	// othersTotal is the total of the counters of all other origins, as last
	// received.
	othersTotal state.Cost
	// grantedEstimate is the sum of the estimated costs of this owner's grants.
	// The extrapolation is based on it.
	grantedEstimate float64
	// peerGrantedEstimate is the sum over live peers of the peer's share times
	// the value of grantedEstimate when counters of the peer were last
	// received.
	peerGrantedEstimate float64
	// lift and forgiven correct the virtual time; see the package comment.
	lift     state.Cost
	forgiven float64
	// models holds the models for which requests wait. idleSince is set while
	// it is empty.
	models    map[state.Model]struct{}
	idleSince time.Time
	// demandLost is set if the last known demand was dropped because its router
	// is no longer live.
	demandLost bool
	// lastEstimate is the estimated cost of this owner's last grant.
	lastEstimate state.Cost
	// key is the virtual time under which the account is stored in the indexes.
	key float64
}

// Ledger keeps the usage counters of one service and selects the workspace that
// gets the next slot. It must not be used concurrently.
type Ledger struct {
	seed        uint64
	ownShare    float64
	accounts    map[state.Workspace]*account
	origins     map[Origin]*origin
	originsSeen uint64
	// extrapolatedAccounts holds the accounts whose extrapolated cost may differ
	// from zero.
	extrapolatedAccounts map[*account]struct{}
	// byVirtualTime and byModel index the backlogged accounts by virtual time.
	byVirtualTime *btree.BTreeG[node]
	byModel       map[state.Model]*btree.BTreeG[node]
	// changedAccounts holds the accounts to be sent at the next exchange.
	changedAccounts map[*account]struct{}
	// othersChanged is set if counters of other routers were received since the
	// last Reindex.
	othersChanged bool
	// servedInPeriod and serviceRate measure the service of this owner, for the
	// clamp.
	servedInPeriod state.Cost
	serviceRate    float64
}

// New returns an empty ledger. The seed determines only the order of equal
// virtual times.
func New(seed uint64) *Ledger {
	return &Ledger{
		seed:                 seed,
		ownShare:             1,
		accounts:             make(map[state.Workspace]*account),
		origins:              make(map[Origin]*origin),
		extrapolatedAccounts: make(map[*account]struct{}),
		byVirtualTime:        newIndex(),
		byModel:              make(map[state.Model]*btree.BTreeG[node]),
		changedAccounts:      make(map[*account]struct{}),
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

// virtualTime returns the weighted service of an account as known to this
// owner; see the package comment.
func (l *Ledger) virtualTime(a *account) float64 {
	return l.countedTime(a) + l.extrapolatedCost(a)/a.share
}

// countedTime returns the part of the virtual time that is based on counters
// alone.
func (l *Ledger) countedTime(a *account) float64 {
	return float64(a.own.total()+a.othersTotal)/a.share + float64(a.lift) - a.forgiven
}

// extrapolatedCost returns the cost that the other owners are assumed to have
// granted since their counters were last received: as much per slot as this
// owner.
func (l *Ledger) extrapolatedCost(a *account) float64 {
	return (a.grantedEstimate*(1-l.ownShare) - a.peerGrantedEstimate) / l.ownShare
}

// Reserve reserves cost for a grant of this owner.
func (l *Ledger) Reserve(w state.Workspace, estimate state.Cost) {
	a := l.account(w)
	a.grantedEstimate += float64(estimate)
	a.lastEstimate = estimate
	l.extrapolatedAccounts[a] = struct{}{}
	l.adjust(a, 0, estimate)
}

// Charge adds served cost and changes the reserved cost of a workspace.
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

// SetShare sets the share of a workspace in the service. Its virtual time does
// not change. Otherwise all service ever counted would be weighted anew, and a
// single change of a weight would give the whole fleet to one workspace for
// hours.
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

// AdoptVirtualTimes takes over the virtual times of a peer. A router that has
// just started needs them: it can add up the served cost, but does not know
// which cost was forgiven or under which shares it was served.
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

// AccountStatus is the state of one workspace for operators.
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
