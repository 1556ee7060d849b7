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

// parentCandidates returns the routers that may be the parent of one, the preferred
// first, without those that are passed over. All of them precede it. The list is
// empty for the first router of the fleet.
func parentCandidates(self membership.Member, fleet []membership.Member, excluded func(state.Router) bool) []state.Router {
	var sameCentre []membership.Member
	otherCentres := make(map[state.DataCentre][]membership.Member)
	for _, m := range fleet {
		switch {
		case m.Router == self.Router || !precedes(m, self):
		case m.DataCentre != self.DataCentre:
			otherCentres[m.DataCentre] = append(otherCentres[m.DataCentre], m)
		case !excluded(m.Router):
			sameCentre = append(sameCentre, m)
		}
	}
	slices.SortFunc(sameCentre, compareRouters)
	sameCentre = orderByLevel(sameCentre, fanOut, string(self.Router), func(m membership.Member) string { return string(m.Router) })

	order := slices.SortedFunc(maps.Keys(otherCentres), compareCentres)
	order = orderByLevel(order, centreFanOut, string(self.DataCentre), func(dc state.DataCentre) string { return string(dc) })
	var list []state.Router
	for _, m := range append(sameCentre, interleaveCentres(order, otherCentres)...) {
		if !excluded(m.Router) {
			list = append(list, m.Router)
		}
	}
	return list
}

// interleaveCentres lists the first router of each data centre, then the second of
// each, and so on: a data centre that is cut off as a whole costs one attempt.
func interleaveCentres(order []state.DataCentre, centres map[state.DataCentre][]membership.Member) []membership.Member {
	var list []membership.Member
	for _, dc := range order {
		slices.SortFunc(centres[dc], compareRouters)
	}
	for rank := range fanOut {
		for _, dc := range order {
			if rank < len(centres[dc]) {
				list = append(list, centres[dc][rank])
			}
		}
	}
	return list
}

// orderByLevel orders those before an element, sorted, for the choice of its parent:
// the level just above it first, each level by a rendezvous hash, which spreads
// the children and moves few of them when the fleet changes. Those before it on
// its own level come last.
func orderByLevel[T any](predecessors []T, degree int, self string, name func(T) string) []T {
	var list []T
	_, ownLevelStart := levelAbove(len(predecessors), degree)
	for end := len(predecessors); end > 0; {
		first, last := levelAbove(end, degree)
		level := slices.Clone(predecessors[first:last])
		slices.SortFunc(level, func(a, b T) int {
			return cmp.Compare(hash(self+"/"+name(b)), hash(self+"/"+name(a)))
		})
		list = append(list, level...)
		end = first
	}
	return append(list, predecessors[min(ownLevelStart, len(predecessors)):]...)
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
