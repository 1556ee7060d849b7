package fairness

import (
	"cmp"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

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

func (l *Ledger) measure(period time.Duration) {
	perSecond := float64(l.paidOut) / period.Seconds() / l.share
	l.paidOut = 0
	if l.rate == 0 {
		l.rate = perSecond
		return
	}
	l.rate += rateSmoothing * (perSecond - l.rate)
}

// clamp forgives a backlogged workspace what puts it further ahead of the
// least served one than clampWindow of the fleet's service.
//
// Made for the end of a partition and for cold starts: counters that were
// apart for an hour differ by an hour's service, and the workspace that
// happened to be served more would starve for as long. Work in progress is
// not counted against it, because one long request of a small workspace is
// far ahead without any harm done.
func (l *Ledger) clamp() {
	least, ok := l.all.Min()
	if !ok || l.rate == 0 {
		return
	}
	window := l.rate * clampWindow.Seconds()
	for _, a := range l.backlogged() {
		ahead := a.key - least.key - float64(a.own.Reserved)/l.share/a.share
		if ahead > window {
			a.forgiven += ahead - window
			l.rekey(a)
		}
	}
}
