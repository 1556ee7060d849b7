package overlay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// fanOut is the ratio between the number of routers on one level of a data
// centre's tree and the number on the level above it. centreFanOut is the same
// ratio for the tree of data centres. The first router of a data centre has
// children of both kinds.
const (
	fanOut       = 8
	centreFanOut = 4
)

// precedes reports whether a comes before b in the total order of the fleet,
// which sorts by data centre first.
func precedes(a, b membership.Member) bool {
	return cmp.Or(compareCentres(a.DataCentre, b.DataCentre), compareRouters(a, b)) < 0
}

func compareCentres(a, b state.DataCentre) int {
	return cmp.Or(cmp.Compare(hash(string(a)), hash(string(b))), cmp.Compare(a, b))
}

// compareRouters orders the routers of one data centre. The largest VMs come
// first, because routers near the root forward the most traffic. Routers of
// equal capacity are ordered by a hash of their names, so that a naming scheme
// shared by all data centres does not put the same few routers first
// everywhere.
func compareRouters(a, b membership.Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(hash(string(a.Router)), hash(string(b.Router))), cmp.Compare(a.Router, b.Router))
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }

// parentCandidates returns the routers that may become the parent of self, in
// order of preference and without excluded routers. All of them precede self.
// The list is empty for the first router of the fleet.
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

	centreOrder := slices.SortedFunc(maps.Keys(otherCentres), compareCentres)
	centreOrder = orderByLevel(centreOrder, centreFanOut, string(self.DataCentre), func(dc state.DataCentre) string { return string(dc) })
	var list []state.Router
	for _, m := range append(sameCentre, interleaveCentres(centreOrder, otherCentres)...) {
		if !excluded(m.Router) {
			list = append(list, m.Router)
		}
	}
	return list
}

// interleaveCentres lists the first router of each data centre, then the second
// of each, and so on. A data centre that is cut off as a whole then costs only
// one failed attempt before the next data centre is tried.
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

// orderByLevel orders the sorted predecessors of an element by preference as
// its parent. The level directly above the element comes first, then the higher
// levels. Within a level, a rendezvous hash spreads the children over the
// parents and moves few of them when the fleet changes. Predecessors on the
// element's own level come last.
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

// levelAbove returns the half-open range of indexes on the level above the
// level of the given index. Level 0 contains only index 0; each further level
// holds degree times as many indexes as the level above it.
func levelAbove(index, degree int) (first, last int) {
	size, end := 1, 1
	for index >= end+size*degree {
		size *= degree
		end += size
	}
	return end - size, end
}
