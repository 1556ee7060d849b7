package fairness

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/btree"

	"github.com/figstile/figstile/state"
)

// node is an entry of an index and refers to a backlogged account.
type node struct {
	key        float64
	tieBreaker uint64
	account    *account
}

func newIndex() *btree.BTreeG[node] {
	return btree.NewG(8, func(a, b node) bool {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.tieBreaker, b.tieBreaker), cmp.Compare(a.account.workspace, b.account.workspace)) < 0
	})
}

func tieBreak(seed uint64, w state.Workspace) uint64 {
	return xxhash.Sum64String(string(w)) ^ seed
}

func (a *account) node() node {
	return node{key: a.key, tieBreaker: a.tieBreaker, account: a}
}

// updateKey moves a backlogged account to its current virtual time in the
// indexes.
func (l *Ledger) updateKey(a *account) {
	if len(a.models) == 0 {
		return
	}
	key := l.virtualTime(a)
	if key == a.key {
		return
	}
	l.unindex(a)
	a.key = key
	l.index(a)
}

func (l *Ledger) index(a *account) {
	l.byVirtualTime.ReplaceOrInsert(a.node())
	for m := range a.models {
		l.modelIndex(m).ReplaceOrInsert(a.node())
	}
}

func (l *Ledger) unindex(a *account) {
	l.byVirtualTime.Delete(a.node())
	for m := range a.models {
		l.modelIndex(m).Delete(a.node())
	}
}

func (l *Ledger) modelIndex(m state.Model) *btree.BTreeG[node] {
	index := l.byModel[m]
	if index == nil {
		index = newIndex()
		l.byModel[m] = index
	}
	return index
}

// SetBacklog records whether requests of a workspace for a model wait at any
// router. A workspace that returns from idle is lifted to the lowest virtual
// time of the backlogged workspaces, so that it gains no advantage from the
// time it was idle.
func (l *Ledger) SetBacklog(now time.Time, w state.Workspace, m state.Model, waiting bool) {
	a := l.account(w)
	if _, indexed := a.models[m]; indexed == waiting {
		return
	}
	if !waiting {
		l.modelIndex(m).Delete(a.node())
		delete(a.models, m)
		if l.byModel[m].Len() == 0 {
			delete(l.byModel, m)
		}
		if len(a.models) == 0 {
			l.byVirtualTime.Delete(a.node())
			a.idleSince = now
		}
		return
	}
	if len(a.models) == 0 {
		l.liftIdle(now, a)
	}
	a.models[m] = struct{}{}
	l.byVirtualTime.ReplaceOrInsert(a.node())
	l.modelIndex(m).ReplaceOrInsert(a.node())
}

// DemandLost records that demand of a workspace was dropped because its router
// is no longer live, not because its requests were served. If no demand
// remains, the workspace does not count as idle: behind a partition it may have
// had requests waiting all the time, and if it were lifted on return, it would
// never be compensated for the service it missed.
func (l *Ledger) DemandLost(w state.Workspace) {
	a := l.account(w)
	a.demandLost = len(a.models) == 0
}

// liftIdle lifts an account that was idle for longer than idleGrace, to the
// lowest virtual time of the others less the cost of one typical request.
// Without that allowance, a workspace that sends few requests would wait after
// each one until the others have caught up with it. The allowance does not
// accumulate, because the comparison includes all past service.
//
// Both sides of the comparison leave out extrapolated cost. At the start of a
// burst the extrapolation is far above or below the actual cost and differs
// between owners. Since the highest lift received from any owner stays in
// force, the workspace with the worst extrapolation had to wait until all
// others had caught up with it.
func (l *Ledger) liftIdle(now time.Time, a *account) {
	a.key = l.virtualTime(a)
	demandLost := a.demandLost
	a.demandLost = false
	if demandLost || now.Sub(a.idleSince) <= idleGrace {
		return
	}
	minNode, ok := l.byVirtualTime.Min()
	if !ok {
		return
	}
	floor := l.countedTime(minNode.account) - float64(a.lastEstimate)/a.share
	ownTime := l.countedTime(a)
	if floor <= ownTime {
		return
	}
	l.raiseLift(a, a.lift+state.Cost(floor-ownTime))
	a.key = l.virtualTime(a)
}

// Next returns the backlogged workspace with the lowest virtual time among
// those with requests for one of the models; nil means any model.
func (l *Ledger) Next(models []state.Model) (state.Workspace, bool) {
	if models == nil {
		minNode, ok := l.byVirtualTime.Min()
		if !ok {
			return "", false
		}
		return minNode.account.workspace, true
	}
	var best node
	for _, m := range models {
		index := l.byModel[m]
		if index == nil {
			continue
		}
		minNode, ok := index.Min()
		if ok && (best.account == nil || minNode.key < best.key) {
			best = minNode
		}
	}
	if best.account == nil {
		return "", false
	}
	return best.account.workspace, true
}

// WaitingModels returns the models for which requests of a workspace wait.
func (l *Ledger) WaitingModels(w state.Workspace) map[state.Model]struct{} {
	return l.account(w).models
}

// BackloggedCount returns the number of workspaces with waiting requests.
func (l *Ledger) BackloggedCount() int {
	return l.byVirtualTime.Len()
}

func (l *Ledger) backloggedAccounts() []*account {
	accounts := make([]*account, 0, l.byVirtualTime.Len())
	l.byVirtualTime.Ascend(func(n node) bool {
		accounts = append(accounts, n.account)
		return true
	})
	return accounts
}
