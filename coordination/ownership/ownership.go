// Package ownership decides which router grants the slots of an upstream. It
// needs no lock and no store: every router computes the same owner from the
// same set of live routers.
package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/figstile/figstile/state"
)

// Candidate is a live router that may own upstreams.
type Candidate struct {
	Router     state.Router
	DataCentre state.DataCentre
	Draining   bool
}

// Table maps upstreams to owners for one set of live routers.
type Table struct {
	byCentre map[state.DataCentre]*rendezvous.Rendezvous
	all      *rendezvous.Rendezvous
}

// New builds the table. Draining routers own nothing, unless no other router
// is left: then they go on owning, or the last router of a fleet could not
// finish its own queue.
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
	t := &Table{byCentre: make(map[state.DataCentre]*rendezvous.Rendezvous, len(names)), all: hashRing(all)}
	for dc, routers := range names {
		t.byCentre[dc] = hashRing(routers)
	}
	return t
}

// Owner returns the owner of an upstream, or "" if no router lives. Routers
// of the upstream's data centre come first, because a partition that cuts
// data centres apart then leaves upstream and owner on the same side.
func (t *Table) Owner(upstream state.Upstream, dc state.DataCentre) state.Router {
	ring, ok := t.byCentre[dc]
	if !ok {
		ring = t.all
	}
	return state.Router(ring.Lookup(string(upstream)))
}

// hashRing sorts the names, so that equal hashes are settled alike everywhere.
func hashRing(names []string) *rendezvous.Rendezvous {
	slices.Sort(names)
	return rendezvous.New(names, xxhash.Sum64String)
}
