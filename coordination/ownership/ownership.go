// Package ownership decides which router grants the slots of an upstream. It
// needs no lock and no store, because every router computes the same owner from
// the same set of live routers.
package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/figstile/figstile/state"
)

// maxJoined is the maximum number of routers that may join a router set at once
// without all owners being looked up anew. Up to it, each owner is compared
// only with the routers that joined. It is about half of the 29 routers that a
// data centre has in the planned fleet; with more, the comparison is hardly
// shorter than the look-up. A rack of ten routers is below it.
const maxJoined = 16

// Candidate is a live router that may own upstreams.
type Candidate struct {
	Router     state.Router
	DataCentre state.DataCentre
	Draining   bool
}

// Table maps upstreams to owners for one set of live routers.
type Table struct {
	byDataCentre map[state.DataCentre]*routerSet
	allRouters   *routerSet
}

// New builds the table for the given routers. Draining routers own nothing,
// unless all routers are draining: then they keep owning upstreams, because
// otherwise the last router of a fleet could not finish the requests in its own
// queue.
func New(candidates []Candidate) *Table {
	eligible := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Draining })
	if len(eligible) == 0 {
		eligible = candidates
	}
	names := make(map[state.DataCentre][]string)
	var all []string
	for _, c := range eligible {
		names[c.DataCentre] = append(names[c.DataCentre], string(c.Router))
		all = append(all, string(c.Router))
	}
	t := &Table{byDataCentre: make(map[state.DataCentre]*routerSet, len(names)), allRouters: newRouterSet(all)}
	for dc, routers := range names {
		t.byDataCentre[dc] = newRouterSet(routers)
	}
	return t
}

// Owner returns the owner of an upstream, or "" if no router is live. Routers
// of the upstream's data centre are preferred, because then a partition between
// data centres leaves the upstream and its owner on the same side.
func (t *Table) Owner(upstream state.Upstream, dc state.DataCentre) state.Router {
	return t.routersFor(dc).owner(upstream)
}

func (t *Table) routersFor(dc state.DataCentre) *routerSet {
	if r, ok := t.byDataCentre[dc]; ok {
		return r
	}
	return t.allRouters
}

// routerSet is a set of routers with its rendezvous hash.
type routerSet struct {
	names []string
	hash  *rendezvous.Rendezvous
}

// newRouterSet sorts the names, so that all routers resolve equal hashes in the
// same way.
func newRouterSet(names []string) *routerSet {
	slices.Sort(names)
	return &routerSet{names: names, hash: rendezvous.New(names, xxhash.Sum64String)}
}

func (r *routerSet) owner(upstream state.Upstream) state.Router {
	return state.Router(r.hash.Lookup(string(upstream)))
}

func (r *routerSet) contains(router state.Router) bool {
	_, found := slices.BinarySearch(r.names, string(router))
	return found
}
