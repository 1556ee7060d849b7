package ownership

import (
	"slices"

	"github.com/figstile/figstile/state"
)

// Change computes owners after a change of the live routers from the owners
// before it. With rendezvous hashing, an upstream gets another owner only if
// its owner departed or if a router that joined ranks above the owner for this
// upstream. Therefore the join or departure of a single router does not require
// a look-up over all routers for each upstream.
type Change struct {
	before, after *Table
	setChanges    map[routerSetPair]*routerSetChange
}

// routerSetPair holds the router sets of one data centre before and after the
// change.
type routerSetPair struct{ before, after *routerSet }

// NewChange returns the change from one table to another.
func NewChange(before, after *Table) *Change {
	return &Change{before: before, after: after, setChanges: make(map[routerSetPair]*routerSetChange)}
}

// IsEmpty reports whether both tables give every upstream the same owner.
func (c *Change) IsEmpty() bool {
	if len(c.before.byDataCentre) != len(c.after.byDataCentre) {
		return false
	}
	for dc, r := range c.after.byDataCentre {
		old, ok := c.before.byDataCentre[dc]
		if !ok || !slices.Equal(old.names, r.names) {
			return false
		}
	}
	return true
}

// Owner returns the owner of an upstream in the later table, given its owner in
// the earlier one.
func (c *Change) Owner(upstream state.Upstream, dc state.DataCentre, currentOwner state.Router) state.Router {
	return c.forDataCentre(dc).owner(upstream, currentOwner)
}

func (c *Change) forDataCentre(dc state.DataCentre) *routerSetChange {
	pair := routerSetPair{before: c.before.routersFor(dc), after: c.after.routersFor(dc)}
	change := c.setChanges[pair]
	if change == nil {
		change = newRouterSetChange(pair)
		c.setChanges[pair] = change
	}
	return change
}

// routerSetChange is the change of one router set.
type routerSetChange struct {
	after  *routerSet
	joined []string
	// challengerSets holds, for each current owner, the set of that owner and
	// the routers that joined.
	challengerSets map[state.Router]*routerSet
}

func newRouterSetChange(pair routerSetPair) *routerSetChange {
	c := &routerSetChange{after: pair.after, challengerSets: make(map[state.Router]*routerSet)}
	for _, name := range pair.after.names {
		if !pair.before.contains(state.Router(name)) {
			c.joined = append(c.joined, name)
		}
	}
	return c
}

func (c *routerSetChange) owner(upstream state.Upstream, currentOwner state.Router) state.Router {
	if len(c.joined) > maxJoined || !c.after.contains(currentOwner) {
		return c.after.owner(upstream)
	}
	if len(c.joined) == 0 {
		return currentOwner
	}
	return c.challengers(currentOwner).owner(upstream)
}

func (c *routerSetChange) challengers(currentOwner state.Router) *routerSet {
	r := c.challengerSets[currentOwner]
	if r == nil {
		r = newRouterSet(append(slices.Clone(c.joined), string(currentOwner)))
		c.challengerSets[currentOwner] = r
	}
	return r
}
