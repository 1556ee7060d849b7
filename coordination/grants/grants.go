// Package grants keeps the books of grants: those a router has given for its
// upstreams, and which of its peers' it has seen.
package grants

import (
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
)

// Lifetime is how long a grant may stay unused. It is far above a round trip
// between data centres, so that only a dead or cut-off receiver lets a grant
// lapse, and bounds for how long such a receiver keeps a slot idle.
const Lifetime = 2 * time.Second

// ReportTimeout is after how long without a report a used grant is checked against
// the upstream's load. The report of the end can be lost with a connection
// that is restored before anybody misses the peer; then the slot would count
// as taken for ever.
const ReportTimeout = 5 * time.Minute

// Grant is one outstanding grant of this router.
type Grant struct {
	Sequence  uint64
	To        state.Router
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	// Reserved is the cost set aside in total, Charged what was served of it.
	Reserved  state.Cost
	Charged   state.Cost
	Started   bool
	IssuedAt  time.Time
	ExpiresAt time.Time
}

// Remaining is the cost still set aside.
func (g *Grant) Remaining() state.Cost {
	return max(0, g.Reserved-g.Charged)
}

// Charge counts served cost. A request that outgrows its reservation gets
// twice as much set aside: one that already ran past its estimate is likely
// to go on for as long again, and would otherwise count nothing ahead.
func (g *Grant) Charge(cost state.Cost) {
	g.Charged += cost
	for g.Reserved < g.Charged {
		g.Reserved = max(1, 2*g.Reserved)
	}
}

// Table holds the outstanding grants that a router has given.
type Table struct {
	lastSequence uint64
	bySequence   map[uint64]*Grant
	byExpiry     *btree.BTreeG[*Grant]
	byRouter     map[state.Router]map[uint64]*Grant
}

// NewTable returns an empty book whose sequence numbers follow first. Callers
// pick first at random per incarnation, so that reports about grants of an
// earlier incarnation never hit a grant of this one.
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

// Issue enters a grant and numbers it.
func (b *Table) Issue(now time.Time, g Grant) *Grant {
	b.lastSequence++
	g.Sequence = b.lastSequence
	g.IssuedAt = now
	g.ExpiresAt = now.Add(Lifetime)
	b.insert(&g)
	return &g
}

// Reinsert enters a used grant again that had expired.
func (b *Table) Reinsert(now time.Time, g *Grant) {
	g.ExpiresAt = now.Add(ReportTimeout)
	b.insert(g)
}

func (b *Table) insert(g *Grant) {
	b.bySequence[g.Sequence] = g
	if b.byRouter[g.To] == nil {
		b.byRouter[g.To] = make(map[uint64]*Grant)
	}
	b.byRouter[g.To][g.Sequence] = g
	b.byExpiry.ReplaceOrInsert(g)
}

// Find returns an outstanding grant given to a router, or nil.
func (b *Table) Find(to state.Router, sequence uint64) *Grant {
	g, ok := b.bySequence[sequence]
	if !ok || g.To != to {
		return nil
	}
	return g
}

// MarkStarted marks a grant as used. It does not expire before Silence has passed.
func (b *Table) MarkStarted(now time.Time, g *Grant) {
	b.byExpiry.Delete(g)
	g.Started = true
	g.ExpiresAt = now.Add(ReportTimeout)
	b.byExpiry.ReplaceOrInsert(g)
}

// Remove removes a grant.
func (b *Table) Remove(g *Grant) {
	b.byExpiry.Delete(g)
	delete(b.bySequence, g.Sequence)
	delete(b.byRouter[g.To], g.Sequence)
	if len(b.byRouter[g.To]) == 0 {
		delete(b.byRouter, g.To)
	}
}

// TakeExpired removes and returns the grants that were not used in time or of
// which nothing was heard for too long.
func (b *Table) TakeExpired(now time.Time) []*Grant {
	var expired []*Grant
	for {
		g, ok := b.byExpiry.Min()
		if !ok || now.Before(g.ExpiresAt) {
			return expired
		}
		b.Remove(g)
		expired = append(expired, g)
	}
}

// RemoveRouter removes and returns all grants of a router that is gone.
func (b *Table) RemoveRouter(to state.Router) []*Grant {
	var removed []*Grant
	for _, g := range b.byRouter[to] {
		removed = append(removed, g)
	}
	slices.SortFunc(removed, func(a, b *Grant) int { return int(int64(a.Sequence - b.Sequence)) })
	for _, g := range removed {
		b.Remove(g)
	}
	return removed
}

// Len counts the outstanding grants.
func (b *Table) Len() int {
	return len(b.bySequence)
}

// maxSequenceDistance is the distance within which two sequence numbers belong to
// the same incarnation of an owner; numbers of another one start at random.
const maxSequenceDistance = 1 << 32

// SeenSequences recognises grants that come twice, so that one grant never starts two
// requests.
type SeenSequences struct {
	last map[state.Router]uint64
}

// NewSeenSequences returns an empty memory.
func NewSeenSequences() *SeenSequences {
	return &SeenSequences{last: make(map[state.Router]uint64)}
}

// Accept reports whether a grant is news. Owners number their grants upwards
// over an ordered connection, so the last number per owner is memory enough.
func (s *SeenSequences) Accept(owner state.Router, sequence uint64) bool {
	last, ok := s.last[owner]
	behind := int64(last - sequence)
	if ok && behind >= 0 && behind < maxSequenceDistance {
		return false
	}
	s.last[owner] = sequence
	return true
}

// ForgetOwner drops an owner that is gone.
func (s *SeenSequences) ForgetOwner(owner state.Router) {
	delete(s.last, owner)
}
