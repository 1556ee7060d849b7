package exchange

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// DirectUpTo is the number of routers up to which each tells all others. Each
// then hears fifteen peers, as many as in a data centre of a large fleet; below
// it a speaker would only add a step.
const DirectUpTo = 16

// Plan says whom a router tells of its work.
type Plan struct {
	// Direct is set while each router tells all others.
	Direct bool
	// Near are told of this router's own work, at once or in turn.
	Near []state.Router
	// Neighbours are the other routers of its data centre. Sums that come from
	// another data centre are passed on to them.
	Neighbours []state.Router
	// Speaks is set if this router speaks for its data centre; Far are then
	// the speakers of the others, who are told the sum over it.
	Speaks bool
	Far    []state.Router
	// Relays are some routers of each other data centre: they are told of
	// changed objects and pass them on to their own.
	Relays []state.Router
}

// relaysEach is how many routers of a data centre are told of a changed object.
// One may be stopped or cut off without anybody knowing it yet.
const relaysEach = 2

// New plans for a router among the live ones. All routers that see the same
// fleet agree on the speakers without a message. While they see different ones
// two may speak for a data centre: both tell the same sum, and a router that
// hears one passes it on whether it speaks or not.
func New(self scheduler.Peer, live []scheduler.Peer) Plan {
	var plan Plan
	others := make(map[state.DataCentre][]state.Router)
	for _, p := range live {
		switch {
		case p.Router == self.Router:
		case p.DataCentre == self.DataCentre:
			plan.Neighbours = append(plan.Neighbours, p.Router)
		default:
			others[p.DataCentre] = append(others[p.DataCentre], p.Router)
		}
		if p.Router != self.Router {
			plan.Near = append(plan.Near, p.Router)
		}
	}
	if len(plan.Near) < DirectUpTo {
		plan.Direct = true
		return plan
	}
	plan.Near = plan.Neighbours
	plan.Speaks = !slices.ContainsFunc(plan.Neighbours, func(r state.Router) bool { return louder(r, self.Router) < 0 })
	for _, dc := range slices.Sorted(maps.Keys(others)) {
		routers := slices.SortedFunc(slices.Values(others[dc]), louder)
		plan.Relays = append(plan.Relays, routers[:min(relaysEach, len(routers))]...)
		if plan.Speaks {
			plan.Far = append(plan.Far, routers[0])
		}
	}
	return plan
}

// louder orders routers by a hash, so that the speakers are not the first by
// name, who read the store for all.
func louder(a, b state.Router) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(b)), xxhash.Sum64String(string(a))), cmp.Compare(a, b))
}
