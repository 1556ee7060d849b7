// Package demand records the waiting requests of every router for one service.
// After an owner has chosen a workspace, it uses this record to choose the
// router that gets the slot, normally the one with the oldest request.
package demand

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
)

// Key identifies waiting requests that are interchangeable for this choice.
type Key struct {
	Workspace state.Workspace
	Model     state.Model
}

// Entry describes the waiting requests of one router for one key.
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
	// keysByRouter lists the keys for which each router has waiting requests,
	// so that a lost router can be removed without visiting all workspaces.
	keysByRouter map[state.Router]map[Key]struct{}
}

// New returns an empty table.
func New() *Table {
	return &Table{byKey: make(map[Key]*keyDemand), keysByRouter: make(map[state.Router]map[Key]struct{})}
}

func isOlder(a, b Entry) bool {
	if !a.OldestArrival.Equal(b.OldestArrival) {
		return a.OldestArrival.Before(b.OldestArrival)
	}
	return a.Router < b.Router
}

// Set replaces the entry of a router for a key and reports whether any router
// still has waiting requests for that key.
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

// Keys returns the keys for which a router has waiting requests, sorted by
// workspace and model.
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

// Oldest returns the entry of the router with the oldest request.
func (t *Table) Oldest(k Key) (Entry, bool) {
	d := t.byKey[k]
	if d == nil {
		return Entry{}, false
	}
	return d.byAge.Min()
}

// localPreferenceFactor limits how far the owner prefers its own requests: its
// own oldest request goes first unless the oldest request of all routers has
// waited more than this many times as long. The preference matters at
// saturation: a slot for a request of the owner's own router needs no message,
// a slot for a request of a peer needs a grant, a report of its end and an
// updated demand. A factor of two bounds the delay without a fixed time: no
// request waits more than twice as long as it would in order of age, whether
// that is milliseconds or minutes. The choice of the next workspace is not
// affected.
const localPreferenceFactor = 2

// Choose returns the entry that gets a slot: the entry of the local router if
// localPreferenceFactor allows it, otherwise the one with the oldest request of
// all.
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

// Waiting returns the recorded number of a router's waiting requests for a key.
func (t *Table) Waiting(k Key, r state.Router) int {
	d := t.byKey[k]
	if d == nil {
		return 0
	}
	return d.byRouter[r].Waiting
}

// RecordGrant reduces the number of a router's waiting requests by one because
// it was granted a slot. The age of its next request is unknown until the
// router reports it. Until then the remaining requests are assumed to be spread
// evenly between the oldest arrival and now, so that a router with a single old
// request does not receive all grants.
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
