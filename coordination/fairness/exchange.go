package fairness

import (
	"cmp"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// Reindex re-sorts the backlogged accounts if counters of other routers were
// received. The host calls it once per tick, so that the cost does not grow
// with the number of peers, even with hundreds of them.
func (l *Ledger) Reindex() {
	if !l.othersChanged {
		return
	}
	l.othersChanged = false
	for _, a := range l.backloggedAccounts() {
		l.updateKey(a)
	}
}

// EndPeriod ends a period between two exchanges of counters. It updates the
// service rate, applies the clamp, and returns the entries that changed in the
// period.
func (l *Ledger) EndPeriod(period time.Duration) []Entry {
	l.updateServiceRate(period)
	l.clamp()
	entries := make([]Entry, 0, len(l.changedAccounts))
	for a := range l.changedAccounts {
		entries = append(entries, a.entry())
	}
	clear(l.changedAccounts)
	sortEntries(entries)
	return entries
}

func (a *account) entry() Entry {
	return Entry{Workspace: a.workspace, Counter: a.own, Lift: a.lift}
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Workspace, b.Workspace) })
}

// OwnEntries returns all counters of this router, with virtual times.
func (l *Ledger) OwnEntries() []Entry {
	entries := make([]Entry, 0, len(l.accounts))
	for _, a := range l.accounts {
		if a.own == (Counter{}) && a.lift == 0 && a.othersTotal == 0 {
			continue
		}
		e := a.entry()
		e.Virtual = state.Cost(l.virtualTime(a))
		entries = append(entries, e)
	}
	sortEntries(entries)
	return entries
}

// RemovedOrigin holds the last counters of an incarnation that is no longer
// live.
type RemovedOrigin struct {
	Origin  Origin
	Entries []Entry
}

// RemovedOrigins returns the counters of incarnations that are no longer live.
// A router that has just started can receive them only from its peers.
func (l *Ledger) RemovedOrigins() []RemovedOrigin {
	var removed []RemovedOrigin
	for _, name := range l.sortedOrigins() {
		o := l.origins[name]
		if o.live || len(o.counters) == 0 {
			continue
		}
		r := RemovedOrigin{Origin: name}
		for w, c := range o.counters {
			r.Entries = append(r.Entries, Entry{Workspace: w, Counter: c, Lift: l.account(w).lift})
		}
		sortEntries(r.Entries)
		removed = append(removed, r)
	}
	return removed
}

func (l *Ledger) updateServiceRate(period time.Duration) {
	perSecond := float64(l.servedInPeriod) / period.Seconds() / l.ownShare
	l.servedInPeriod = 0
	if l.serviceRate == 0 {
		l.serviceRate = perSecond
		return
	}
	l.serviceRate += rateSmoothing * (perSecond - l.serviceRate)
}

// clamp limits the lead of a backlogged workspace over the workspace with the
// lowest virtual time to the fleet's service within clampWindow, and forgives
// the rest.
//
// Without the clamp, counters that were separated by a partition for an hour
// would differ by an hour's service, and the workspace that was served more
// would starve for as long; the same happens when routers start without
// counters. The cost reserved for requests in progress does not count towards
// the lead, because one long request of a workspace with a small share puts it
// far ahead without doing harm.
func (l *Ledger) clamp() {
	minNode, ok := l.byVirtualTime.Min()
	if !ok || l.serviceRate == 0 {
		return
	}
	maxLead := l.serviceRate * clampWindow.Seconds()
	for _, a := range l.backloggedAccounts() {
		lead := a.key - minNode.key - float64(a.own.Reserved)/l.ownShare/a.share
		if lead > maxLead {
			a.forgiven += lead - maxLead
			l.updateKey(a)
		}
	}
}
