package ownership

import (
	"slices"

	"github.com/figstile/figstile/state"
)

// Change follows owners from one table to the next. With rendezvous hashing an
// owner changes only if it left or if a router that joined wins over it, so
// that a single router costs no look-up over all of them.
type Change struct {
	before, after *Table
	setChanges    map[routerSetPair]*routerSetChange
}

// routerSetPair is the rings of one data centre before and after.
type routerSetPair struct{ before, after *routerSet }

// NewChange compares two tables.
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

// Owner returns the owner by the later table, given the one by the earlier.
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

// routerSetChange is the change of one ring.
type routerSetChange struct {
	after  *routerSet
	joined []string
	// challengerSets holds, for each present owner, the ring of it and of those
	// that joined.
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
