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
	rings         map[ringPair]*ringChange
}

// ringPair is the rings of one data centre before and after.
type ringPair struct{ before, after *ring }

// NewChange compares two tables.
func NewChange(before, after *Table) *Change {
	return &Change{before: before, after: after, rings: make(map[ringPair]*ringChange)}
}

// None reports whether both tables give every upstream the same owner.
func (c *Change) None() bool {
	if len(c.before.byCentre) != len(c.after.byCentre) {
		return false
	}
	for dc, r := range c.after.byCentre {
		old, ok := c.before.byCentre[dc]
		if !ok || !slices.Equal(old.names, r.names) {
			return false
		}
	}
	return true
}

// Owner returns the owner by the later table, given the one by the earlier.
func (c *Change) Owner(upstream state.Upstream, dc state.DataCentre, present state.Router) state.Router {
	return c.of(dc).owner(upstream, present)
}

func (c *Change) of(dc state.DataCentre) *ringChange {
	pair := ringPair{before: c.before.ring(dc), after: c.after.ring(dc)}
	change := c.rings[pair]
	if change == nil {
		change = newRingChange(pair)
		c.rings[pair] = change
	}
	return change
}

// ringChange is the change of one ring.
type ringChange struct {
	after  *ring
	joined []string
	// against holds, for each present owner, the ring of it and of those
	// that joined.
	against map[state.Router]*ring
}

func newRingChange(pair ringPair) *ringChange {
	c := &ringChange{after: pair.after, against: make(map[state.Router]*ring)}
	for _, name := range pair.after.names {
		if !pair.before.has(state.Router(name)) {
			c.joined = append(c.joined, name)
		}
	}
	return c
}

func (c *ringChange) owner(upstream state.Upstream, present state.Router) state.Router {
	if len(c.joined) > maxJoined || !c.after.has(present) {
		return c.after.owner(upstream)
	}
	if len(c.joined) == 0 {
		return present
	}
	return c.challengers(present).owner(upstream)
}

func (c *ringChange) challengers(present state.Router) *ring {
	r := c.against[present]
	if r == nil {
		r = newRing(append(slices.Clone(c.joined), string(present)))
		c.against[present] = r
	}
	return r
}
