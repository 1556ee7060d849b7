package overlay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// fanOut is the number of routers on a level of a data centre's tree for each one
// on the level above; centreFanOut is that of data centres. The first router of
// a data centre has children of both kinds.
const (
	fanOut       = 8
	centreFanOut = 4
)

// precedes says whether a comes before b in the order of the whole fleet, by
// data centre first.
func precedes(a, b membership.Member) bool {
	return cmp.Or(compareCentres(a.DataCentre, b.DataCentre), compareRouters(a, b)) < 0
}

func compareCentres(a, b state.DataCentre) int {
	return cmp.Or(cmp.Compare(hash(string(a)), hash(string(b))), cmp.Compare(a, b))
}

// compareRouters orders the routers of a data centre. The largest VMs come first,
// since those high up in the tree have most to pass on. Among equals a hash keeps
// names of one scheme from putting the same few first everywhere.
func compareRouters(a, b membership.Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(hash(string(a.Router)), hash(string(b.Router))), cmp.Compare(a.Router, b.Router))
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }

// candidates returns the routers that may be the parent of one, the preferred
// first, without those that are passed over. All of them precede it. The list is
// empty for the first router of the fleet.
func candidates(self membership.Member, fleet []membership.Member, passed func(state.Router) bool) []state.Router {
	var own []membership.Member
	centres := make(map[state.DataCentre][]membership.Member)
	for _, m := range fleet {
		switch {
		case m.Router == self.Router || !precedes(m, self):
		case m.DataCentre != self.DataCentre:
			centres[m.DataCentre] = append(centres[m.DataCentre], m)
		case !passed(m.Router):
			own = append(own, m)
		}
	}
	slices.SortFunc(own, compareRouters)
	own = climb(own, fanOut, string(self.Router), func(m membership.Member) string { return string(m.Router) })

	order := slices.SortedFunc(maps.Keys(centres), compareCentres)
	order = climb(order, centreFanOut, string(self.DataCentre), func(dc state.DataCentre) string { return string(dc) })
	var list []state.Router
	for _, m := range append(own, firstOfEach(order, centres)...) {
		if !passed(m.Router) {
			list = append(list, m.Router)
		}
	}
	return list
}

// firstOfEach lists the first router of each data centre, then the second of
// each, and so on: a data centre that is cut off as a whole costs one attempt.
func firstOfEach(order []state.DataCentre, centres map[state.DataCentre][]membership.Member) []membership.Member {
	var list []membership.Member
	for _, dc := range order {
		slices.SortFunc(centres[dc], compareRouters)
	}
	for place := range fanOut {
		for _, dc := range order {
			if place < len(centres[dc]) {
				list = append(list, centres[dc][place])
			}
		}
	}
	return list
}

// climb orders those before an element, sorted, for the choice of its parent:
// the level just above it first, each level by a rendezvous hash, which spreads
// the children and moves few of them when the fleet changes. Those before it on
// its own level come last.
func climb[T any](before []T, degree int, self string, name func(T) string) []T {
	var list []T
	_, own := levelAbove(len(before), degree)
	for end := len(before); end > 0; {
		first, last := levelAbove(end, degree)
		level := slices.Clone(before[first:last])
		slices.SortFunc(level, func(a, b T) int {
			return cmp.Compare(hash(self+"/"+name(b)), hash(self+"/"+name(a)))
		})
		list = append(list, level...)
		end = first
	}
	return append(list, before[min(own, len(before)):]...)
}

// levelAbove returns the bounds of the level above the one that an index is on.
// Level 0 is index 0 alone; each level holds degree times as many as the one
// above it.
func levelAbove(index, degree int) (first, last int) {
	size, end := 1, 1
	for index >= end+size*degree {
		size *= degree
		end += size
	}
	return end - size, end
}
