// Package grants keeps the grants that a router has issued for its upstreams,
// and the sequence numbers of the grants that it has received from peers.
package grants

import (
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
)

// Lifetime is the time within which a grant must be used. It is far longer than
// a round trip between data centres, so that a grant expires only if its
// receiver crashed or is cut off. It also bounds the time for which such a
// receiver keeps a slot idle.
const Lifetime = 2 * time.Second

// ReportTimeout is the time without a report after which a used grant is
// checked against the load of its upstream. The report of the end can be lost
// with a connection that is restored before the peer counts as lost; without
// the check the slot would then stay occupied for ever.
const ReportTimeout = 5 * time.Minute

// Grant is one outstanding grant of this router.
type Grant struct {
	Sequence  uint64
	To        state.Router
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	// Reserved is the total cost reserved, and Charged the part of it that was
	// served, both in cost units.
	Reserved  state.Cost
	Charged   state.Cost
	Started   bool
	IssuedAt  time.Time
	ExpiresAt time.Time
}

// Remaining returns the cost that is still reserved.
func (g *Grant) Remaining() state.Cost {
	return max(0, g.Reserved-g.Charged)
}

// Charge adds served cost. If a request exceeds its reservation, the
// reservation is doubled: a request that has already exceeded its estimate is
// likely to run for as long again, and without a reservation that remaining
// cost would not be counted in advance.
func (g *Grant) Charge(cost state.Cost) {
	g.Charged += cost
	for g.Reserved < g.Charged {
		g.Reserved = max(1, 2*g.Reserved)
	}
}

// Table holds the outstanding grants that a router has issued.
type Table struct {
	lastSequence uint64
	bySequence   map[uint64]*Grant
	byExpiry     *btree.BTreeG[*Grant]
	byRouter     map[state.Router]map[uint64]*Grant
}

// NewTable returns an empty table that numbers its grants upwards from first+1.
// Callers choose first at random per incarnation, so that reports about grants
// of an earlier incarnation never match a grant of this one.
func NewTable(first uint64) *Table {
	return &Table{
		lastSequence: first,
		bySequence:   make(map[uint64]*Grant),
		byExpiry:     btree.NewG(8, expiresBefore),
		byRouter:     make(map[state.Router]map[uint64]*Grant),
	}
}

func expiresBefore(a, b *Grant) bool {
	if !a.ExpiresAt.Equal(b.ExpiresAt) {
		return a.ExpiresAt.Before(b.ExpiresAt)
	}
	return a.Sequence < b.Sequence
}

// Issue adds a grant and assigns its sequence number.
func (t *Table) Issue(now time.Time, g Grant) *Grant {
	t.lastSequence++
	g.Sequence = t.lastSequence
	g.IssuedAt = now
	g.ExpiresAt = now.Add(Lifetime)
	t.insert(&g)
	return &g
}

// Reinsert adds a started grant that had expired to the table again.
func (t *Table) Reinsert(now time.Time, g *Grant) {
	g.ExpiresAt = now.Add(ReportTimeout)
	t.insert(g)
}

func (t *Table) insert(g *Grant) {
	t.bySequence[g.Sequence] = g
	if t.byRouter[g.To] == nil {
		t.byRouter[g.To] = make(map[uint64]*Grant)
	}
	t.byRouter[g.To][g.Sequence] = g
	t.byExpiry.ReplaceOrInsert(g)
}

// Find returns an outstanding grant that was issued to a router, or nil.
func (t *Table) Find(to state.Router, sequence uint64) *Grant {
	g, ok := t.bySequence[sequence]
	if !ok || g.To != to {
		return nil
	}
	return g
}

// MarkStarted marks a grant as used. It then does not expire before
// ReportTimeout has passed.
func (t *Table) MarkStarted(now time.Time, g *Grant) {
	t.byExpiry.Delete(g)
	g.Started = true
	g.ExpiresAt = now.Add(ReportTimeout)
	t.byExpiry.ReplaceOrInsert(g)
}

// Remove removes a grant.
func (t *Table) Remove(g *Grant) {
	t.byExpiry.Delete(g)
	delete(t.bySequence, g.Sequence)
	delete(t.byRouter[g.To], g.Sequence)
	if len(t.byRouter[g.To]) == 0 {
		delete(t.byRouter, g.To)
	}
}

// TakeExpired removes and returns the grants that were not used within their
// lifetime, and the started ones without a report for ReportTimeout.
func (t *Table) TakeExpired(now time.Time) []*Grant {
	var expired []*Grant
	for {
		g, ok := t.byExpiry.Min()
		if !ok || now.Before(g.ExpiresAt) {
			return expired
		}
		t.Remove(g)
		expired = append(expired, g)
	}
}

// RemoveRouter removes and returns all grants that were issued to a router that
// is no longer live.
func (t *Table) RemoveRouter(to state.Router) []*Grant {
	var removed []*Grant
	for _, g := range t.byRouter[to] {
		removed = append(removed, g)
	}
	slices.SortFunc(removed, func(a, b *Grant) int { return int(int64(a.Sequence - b.Sequence)) })
	for _, g := range removed {
		t.Remove(g)
	}
	return removed
}

// Len returns the number of outstanding grants.
func (t *Table) Len() int {
	return len(t.bySequence)
}

// maxSequenceDistance is the maximum distance between two sequence numbers of
// the same incarnation of an owner. The numbers of another incarnation start at
// random.
const maxSequenceDistance = 1 << 32

// SeenSequences detects grants that are received twice, so that a grant never
// starts two requests.
type SeenSequences struct {
	last map[state.Router]uint64
}

// NewSeenSequences returns an empty SeenSequences.
func NewSeenSequences() *SeenSequences {
	return &SeenSequences{last: make(map[state.Router]uint64)}
}

// Accept reports whether a grant was not received before, and records it.
// Owners number their grants upwards and send them over an ordered connection,
// so it is enough to store the last number per owner.
func (s *SeenSequences) Accept(owner state.Router, sequence uint64) bool {
	last, ok := s.last[owner]
	behind := int64(last - sequence)
	if ok && behind >= 0 && behind < maxSequenceDistance {
		return false
	}
	s.last[owner] = sequence
	return true
}

// ForgetOwner removes an owner that is no longer live.
func (s *SeenSequences) ForgetOwner(owner state.Router) {
	delete(s.last, owner)
}
