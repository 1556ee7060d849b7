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

// Silence is after how long without a report a used grant is checked against
// the upstream's load. The report of the end can be lost with a connection
// that is restored before anybody misses the peer; then the slot would count
// as taken for ever.
const Silence = 5 * time.Minute

// Given is one outstanding grant of this router.
type Given struct {
	Sequence  uint64
	To        state.Router
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	// Reserved is the cost set aside in total, Charged what was served of it.
	Reserved state.Cost
	Charged  state.Cost
	Started  bool
	Given    time.Time
	Expires  time.Time
}

// Remaining is the cost still set aside.
func (g *Given) Remaining() state.Cost {
	return max(0, g.Reserved-g.Charged)
}

// Charge counts served cost. A request that outgrows its reservation gets
// twice as much set aside: one that already ran past its estimate is likely
// to go on for as long again, and would otherwise count nothing ahead.
func (g *Given) Charge(cost state.Cost) {
	g.Charged += cost
	for g.Reserved < g.Charged {
		g.Reserved = max(1, 2*g.Reserved)
	}
}

// Book holds the outstanding grants that a router has given.
type Book struct {
	next    uint64
	bySeq   map[uint64]*Given
	expiry  *btree.BTreeG[*Given]
	byPeers map[state.Router]map[uint64]*Given
}

// NewBook returns an empty book whose sequence numbers follow first. Callers
// pick first at random per incarnation, so that reports about grants of an
// earlier incarnation never hit a grant of this one.
func NewBook(first uint64) *Book {
	return &Book{
		next:    first,
		bySeq:   make(map[uint64]*Given),
		expiry:  btree.NewG(8, expiresBefore),
		byPeers: make(map[state.Router]map[uint64]*Given),
	}
}

func expiresBefore(a, b *Given) bool {
	if !a.Expires.Equal(b.Expires) {
		return a.Expires.Before(b.Expires)
	}
	return a.Sequence < b.Sequence
}

// Give enters a grant and numbers it.
func (b *Book) Give(now time.Time, g Given) *Given {
	b.next++
	g.Sequence = b.next
	g.Given = now
	g.Expires = now.Add(Lifetime)
	b.enter(&g)
	return &g
}

// Reopen enters a used grant again that had expired.
func (b *Book) Reopen(now time.Time, g *Given) {
	g.Expires = now.Add(Silence)
	b.enter(g)
}

func (b *Book) enter(g *Given) {
	b.bySeq[g.Sequence] = g
	if b.byPeers[g.To] == nil {
		b.byPeers[g.To] = make(map[uint64]*Given)
	}
	b.byPeers[g.To][g.Sequence] = g
	b.expiry.ReplaceOrInsert(g)
}

// Find returns an outstanding grant given to a router, or nil.
func (b *Book) Find(to state.Router, sequence uint64) *Given {
	g, ok := b.bySeq[sequence]
	if !ok || g.To != to {
		return nil
	}
	return g
}

// Heard marks a grant as used. It does not expire before Silence has passed.
func (b *Book) Heard(now time.Time, g *Given) {
	b.expiry.Delete(g)
	g.Started = true
	g.Expires = now.Add(Silence)
	b.expiry.ReplaceOrInsert(g)
}

// Close removes a grant.
func (b *Book) Close(g *Given) {
	b.expiry.Delete(g)
	delete(b.bySeq, g.Sequence)
	delete(b.byPeers[g.To], g.Sequence)
	if len(b.byPeers[g.To]) == 0 {
		delete(b.byPeers, g.To)
	}
}

// Expired removes and returns the grants that were not used in time or of
// which nothing was heard for too long.
func (b *Book) Expired(now time.Time) []*Given {
	var expired []*Given
	for {
		g, ok := b.expiry.Min()
		if !ok || now.Before(g.Expires) {
			return expired
		}
		b.Close(g)
		expired = append(expired, g)
	}
}

// Lose removes and returns all grants of a router that is gone.
func (b *Book) Lose(to state.Router) []*Given {
	var lost []*Given
	for _, g := range b.byPeers[to] {
		lost = append(lost, g)
	}
	slices.SortFunc(lost, func(a, b *Given) int { return int(int64(a.Sequence - b.Sequence)) })
	for _, g := range lost {
		b.Close(g)
	}
	return lost
}

// Len counts the outstanding grants.
func (b *Book) Len() int {
	return len(b.bySeq)
}

// sameIncarnation is the distance within which two sequence numbers belong to
// the same incarnation of an owner; numbers of another one start at random.
const sameIncarnation = 1 << 32

// Seen recognises grants that come twice, so that one grant never starts two
// requests.
type Seen struct {
	last map[state.Router]uint64
}

// NewSeen returns an empty memory.
func NewSeen() *Seen {
	return &Seen{last: make(map[state.Router]uint64)}
}

// First reports whether a grant is news. Owners number their grants upwards
// over an ordered connection, so the last number per owner is memory enough.
func (s *Seen) First(owner state.Router, sequence uint64) bool {
	last, ok := s.last[owner]
	behind := int64(last - sequence)
	if ok && behind >= 0 && behind < sameIncarnation {
		return false
	}
	s.last[owner] = sequence
	return true
}

// Forget drops an owner that is gone.
func (s *Seen) Forget(owner state.Router) {
	delete(s.last, owner)
}
