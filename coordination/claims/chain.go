package claims

import (
	"time"

	"github.com/figstile/figstile/state"
)

// record is an entry of a sealed segment in memory. The digest is its key and
// the claimer a number, which keeps it at 24 bytes.
type record struct {
	sequence uint64
	claimer  uint32
	at       uint32
	status   Status
}

// sealedSegment is a sealed segment that still has entries in the platform.
type sealedSegment struct {
	number  uint64
	version Version
	// latest is the time of its newest entry.
	latest time.Time
}

// chain is what a router remembers of a shard's sealed segments: the last entry
// of each key. Sealed segments never change but to be emptied once expired, so
// each is read once.
type chain struct {
	records  map[Digest]record
	claimers []claimer
	numbers  map[claimer]uint32
	// sealed are the segments that hold entries, oldest first.
	sealed []sealedSegment
}

func newChain() *chain {
	return &chain{records: make(map[Digest]record), numbers: make(map[claimer]uint32)}
}

// lookup returns the last entry of a key in the sealed segments, or nil.
func (c *chain) lookup(d Digest) *Entry {
	r, ok := c.records[d]
	if !ok {
		return nil
	}
	e := c.entry(d, r)
	return &e
}

func (c *chain) entry(d Digest, r record) Entry {
	by := c.claimers[r.claimer]
	return Entry{
		Digest: d,
		Claim:  state.AttemptID{Router: by.router, Incarnation: by.incarnation, Sequence: r.sequence},
		Status: r.status,
		At:     time.Unix(int64(r.at), 0).UTC(),
	}
}

// fold takes in the segment that follows those known.
func (c *chain) fold(segment *Segment, version Version) {
	if len(segment.Entries) == 0 {
		return
	}
	sealed := sealedSegment{number: segment.Number, version: version}
	for i := range segment.Entries {
		c.put(&segment.Entries[i])
		sealed.latest = latest(sealed.latest, segment.Entries[i].At)
	}
	c.sealed = append(c.sealed, sealed)
}

func (c *chain) put(e *Entry) {
	by := claimerOf(e.Claim)
	number, known := c.numbers[by]
	if !known {
		number = uint32(len(c.claimers))
		c.claimers = append(c.claimers, by)
		c.numbers[by] = number
	}
	c.records[e.Digest] = record{
		sequence: e.Claim.Sequence,
		claimer:  number,
		at:       uint32(e.At.Unix()),
		status:   e.Status,
	}
}

// expiredSegments counts the sealed segments, oldest first, that may be emptied.
func (c *chain) expiredSegments(now time.Time) int {
	for i := range c.sealed {
		if now.Sub(c.sealed[i].latest) <= Retention+clockSkew {
			return i
		}
	}
	return len(c.sealed)
}

// sweep forgets expired entries and the claimers that only they named. The maps
// are built anew, since a map does not give memory back.
func (c *chain) sweep(now time.Time) {
	kept := newChain()
	for digest, r := range c.records {
		e := c.entry(digest, r)
		if !e.expired(now) {
			kept.put(&e)
		}
	}
	kept.sealed = c.sealed
	*c = *kept
}
