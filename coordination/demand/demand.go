// Package demand remembers what every router has waiting of one service. An
// owner's choice of a workspace is followed by the choice of the router that
// holds its oldest request.
package demand

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
)

// Key names work that is alike for the choice.
type Key struct {
	Workspace state.Workspace
	Model     state.Model
}

// Entry is what one router has waiting of a key.
type Entry struct {
	Router  state.Router
	Waiting int
	// OldestArrival is when the oldest request arrived.
	OldestArrival time.Time
	// OldestCost is the estimated cost of the oldest request.
	OldestCost state.Cost
}

type keyDemand struct {
	byRouter map[state.Router]Entry
	byAge    *btree.BTreeG[Entry]
}

// Table holds the demand of one service.
type Table struct {
	byKey map[Key]*keyDemand
	// keysByRouter lists what each router has waiting, to drop a lost router without
	// a walk over all workspaces.
	keysByRouter map[state.Router]map[Key]struct{}
}

// New returns an empty book.
func New() *Table {
	return &Table{byKey: make(map[Key]*keyDemand), keysByRouter: make(map[state.Router]map[Key]struct{})}
}

func isOlder(a, b Entry) bool {
	if !a.OldestArrival.Equal(b.OldestArrival) {
		return a.OldestArrival.Before(b.OldestArrival)
	}
	return a.Router < b.Router
}

// Set replaces what a router has waiting of a key and reports whether any
// router still has some.
func (t *Table) Set(k Key, e Entry) (backlogged bool) {
	t.remove(k, e.Router)
	if e.Waiting > 0 {
		t.insert(k, e)
	}
	return t.byKey[k] != nil
}

func (t *Table) insert(k Key, e Entry) {
	d := t.byKey[k]
	if d == nil {
		d = &keyDemand{byRouter: make(map[state.Router]Entry), byAge: btree.NewG(8, isOlder)}
		t.byKey[k] = d
	}
	d.byRouter[e.Router] = e
	d.byAge.ReplaceOrInsert(e)
	if t.keysByRouter[e.Router] == nil {
		t.keysByRouter[e.Router] = make(map[Key]struct{})
	}
	t.keysByRouter[e.Router][k] = struct{}{}
}

func (t *Table) remove(k Key, r state.Router) {
	d := t.byKey[k]
	if d == nil {
		return
	}
	old, ok := d.byRouter[r]
	if !ok {
		return
	}
	d.byAge.Delete(old)
	delete(d.byRouter, r)
	if len(d.byRouter) == 0 {
		delete(t.byKey, k)
	}
	delete(t.keysByRouter[r], k)
	if len(t.keysByRouter[r]) == 0 {
		delete(t.keysByRouter, r)
	}
}

// Keys lists what a router has waiting, in order.
func (t *Table) Keys(r state.Router) []Key {
	keys := make([]Key, 0, len(t.keysByRouter[r]))
	for k := range t.keysByRouter[r] {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
}

// Oldest returns the entry of the router that holds the oldest request.
func (t *Table) Oldest(k Key) (Entry, bool) {
	d := t.byKey[k]
	if d == nil {
		return Entry{}, false
	}
	return d.byAge.Min()
}

// localPreferenceFactor is how long the owner's own request must have waited, as a part of
// the oldest one's wait, to be preferred. Made for saturation: a slot for a
// request of the owner's own router needs no message, one for a peer's needs a
// grant, a report of the end and fresh demand. A half bounds the harm without
// a constant of time: no request waits more than twice as long as it would in
// order of age, be it milliseconds or minutes. Which workspace is next is not
// touched.
const localPreferenceFactor = 2

// Choose returns the entry that a slot goes to: that of the near router if its
// oldest request has waited for long enough, otherwise the oldest of all.
func (t *Table) Choose(now time.Time, k Key, local state.Router) (Entry, bool) {
	oldest, ok := t.Oldest(k)
	if !ok || oldest.Router == local {
		return oldest, ok
	}
	own, ok := t.byKey[k].byRouter[local]
	if ok && now.Sub(own.OldestArrival)*localPreferenceFactor >= now.Sub(oldest.OldestArrival) {
		return own, true
	}
	return oldest, true
}

// Waiting counts a router's remembered requests of a key.
func (t *Table) Waiting(k Key, r state.Router) int {
	d := t.byKey[k]
	if d == nil {
		return 0
	}
	return d.byRouter[r].Waiting
}

// RecordGrant counts one request less at a router, because it was granted a slot.
// The age of its next request is not known before the router says so; until
// then it is taken to lie evenly between the oldest and now, so that one
// router with a single old request does not draw all grants.
func (t *Table) RecordGrant(now time.Time, k Key, r state.Router) (backlogged bool) {
	d := t.byKey[k]
	if d == nil {
		return false
	}
	e, ok := d.byRouter[r]
	if !ok {
		return true
	}
	e.OldestArrival = e.OldestArrival.Add(now.Sub(e.OldestArrival) / time.Duration(e.Waiting))
	e.Waiting--
	return t.Set(k, e)
}
