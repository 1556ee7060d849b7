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
	// Head is when the oldest request arrived.
	Head time.Time
	// Cost is the estimated cost of the oldest request.
	Cost state.Cost
}

type line struct {
	routers map[state.Router]Entry
	order   *btree.BTreeG[Entry]
}

// Book holds the demand of one service.
type Book struct {
	lines map[Key]*line
	// keys lists what each router has waiting, to drop a lost router without
	// a walk over all workspaces.
	keys map[state.Router]map[Key]struct{}
}

// New returns an empty book.
func New() *Book {
	return &Book{lines: make(map[Key]*line), keys: make(map[state.Router]map[Key]struct{})}
}

func older(a, b Entry) bool {
	if !a.Head.Equal(b.Head) {
		return a.Head.Before(b.Head)
	}
	return a.Router < b.Router
}

// Set replaces what a router has waiting of a key and reports whether any
// router still has some.
func (b *Book) Set(k Key, e Entry) (backlogged bool) {
	b.remove(k, e.Router)
	if e.Waiting > 0 {
		b.insert(k, e)
	}
	return b.lines[k] != nil
}

func (b *Book) insert(k Key, e Entry) {
	l := b.lines[k]
	if l == nil {
		l = &line{routers: make(map[state.Router]Entry), order: btree.NewG(8, older)}
		b.lines[k] = l
	}
	l.routers[e.Router] = e
	l.order.ReplaceOrInsert(e)
	if b.keys[e.Router] == nil {
		b.keys[e.Router] = make(map[Key]struct{})
	}
	b.keys[e.Router][k] = struct{}{}
}

func (b *Book) remove(k Key, r state.Router) {
	l := b.lines[k]
	if l == nil {
		return
	}
	old, ok := l.routers[r]
	if !ok {
		return
	}
	l.order.Delete(old)
	delete(l.routers, r)
	if len(l.routers) == 0 {
		delete(b.lines, k)
	}
	delete(b.keys[r], k)
	if len(b.keys[r]) == 0 {
		delete(b.keys, r)
	}
}

// Keys lists what a router has waiting, in order.
func (b *Book) Keys(r state.Router) []Key {
	keys := make([]Key, 0, len(b.keys[r]))
	for k := range b.keys[r] {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compare)
	return keys
}

func compare(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
}

// Oldest returns the entry of the router that holds the oldest request.
func (b *Book) Oldest(k Key) (Entry, bool) {
	l := b.lines[k]
	if l == nil {
		return Entry{}, false
	}
	return l.order.Min()
}

// nearPart is how long the owner's own request must have waited, as a part of
// the oldest one's wait, to be preferred. Made for saturation: a slot for a
// request of the owner's own router needs no message, one for a peer's needs a
// grant, a report of the end and fresh demand. A half bounds the harm without
// a constant of time: no request waits more than twice as long as it would in
// order of age, be it milliseconds or minutes. Which workspace is next is not
// touched.
const nearPart = 2

// Choose returns the entry that a slot goes to: that of the near router if its
// oldest request has waited for long enough, otherwise the oldest of all.
func (b *Book) Choose(now time.Time, k Key, near state.Router) (Entry, bool) {
	oldest, ok := b.Oldest(k)
	if !ok || oldest.Router == near {
		return oldest, ok
	}
	own, ok := b.lines[k].routers[near]
	if ok && now.Sub(own.Head)*nearPart >= now.Sub(oldest.Head) {
		return own, true
	}
	return oldest, true
}

// Waiting counts a router's remembered requests of a key.
func (b *Book) Waiting(k Key, r state.Router) int {
	l := b.lines[k]
	if l == nil {
		return 0
	}
	return l.routers[r].Waiting
}

// Take counts one request less at a router, because it was granted a slot.
// The age of its next request is not known before the router says so; until
// then it is taken to lie evenly between the oldest and now, so that one
// router with a single old request does not draw all grants.
func (b *Book) Take(now time.Time, k Key, r state.Router) (backlogged bool) {
	l := b.lines[k]
	if l == nil {
		return false
	}
	e, ok := l.routers[r]
	if !ok {
		return true
	}
	e.Head = e.Head.Add(now.Sub(e.Head) / time.Duration(e.Waiting))
	e.Waiting--
	return b.Set(k, e)
}
