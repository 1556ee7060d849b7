package claims

import (
	"time"

	"github.com/figstile/figstile/state"
)

// sealedEntry is an entry of a sealed segment in memory. The digest is its key and
// the claimer a number, which keeps it at 24 bytes.
type sealedEntry struct {
	sequence  uint64
	claimer   uint32
	claimedAt uint32
	status    Status
}

// sealedSegment is a sealed segment that still has entries in the platform.
type sealedSegment struct {
	number  uint64
	version Version
	// newestClaim is the time of its newest entry.
	newestClaim time.Time
}

// chain is what a router remembers of a shard's sealed segments: the last entry
// of each key. Sealed segments never change but to be emptied once expired, so
// each is read once.
type chain struct {
	entries        map[Digest]sealedEntry
	claimers       []claimer
	claimerNumbers map[claimer]uint32
	// sealed are the segments that hold entries, oldest first.
	sealed []sealedSegment
}

func newChain() *chain {
	return &chain{entries: make(map[Digest]sealedEntry), claimerNumbers: make(map[claimer]uint32)}
}

// lookup returns the last entry of a key in the sealed segments, or nil.
func (c *chain) lookup(d Digest) *Entry {
	r, ok := c.entries[d]
	if !ok {
		return nil
	}
	e := c.entry(d, r)
	return &e
}

func (c *chain) entry(d Digest, r sealedEntry) Entry {
	owner := c.claimers[r.claimer]
	return Entry{
		Digest:    d,
		Claim:     state.AttemptID{Router: owner.router, Incarnation: owner.incarnation, Sequence: r.sequence},
		Status:    r.status,
		ClaimedAt: time.Unix(int64(r.claimedAt), 0).UTC(),
	}
}

// merge takes in the segment that follows those known.
func (c *chain) merge(segment *Segment, version Version) {
	if len(segment.Entries) == 0 {
		return
	}
	sealed := sealedSegment{number: segment.Number, version: version}
	for i := range segment.Entries {
		c.put(&segment.Entries[i])
		sealed.newestClaim = latest(sealed.newestClaim, segment.Entries[i].ClaimedAt)
	}
	c.sealed = append(c.sealed, sealed)
}

func (c *chain) put(e *Entry) {
	owner := claimerOf(e.Claim)
	number, known := c.claimerNumbers[owner]
	if !known {
		number = uint32(len(c.claimers))
		c.claimers = append(c.claimers, owner)
		c.claimerNumbers[owner] = number
	}
	c.entries[e.Digest] = sealedEntry{
		sequence:  e.Claim.Sequence,
		claimer:   number,
		claimedAt: uint32(e.ClaimedAt.Unix()),
		status:    e.Status,
	}
}

// expiredSegments counts the sealed segments, oldest first, that may be emptied.
func (c *chain) expiredSegments(now time.Time) int {
	for i := range c.sealed {
		if now.Sub(c.sealed[i].newestClaim) <= Retention+clockSkew {
			return i
		}
	}
	return len(c.sealed)
}

// dropExpired forgets expired entries and the claimers that only they named. The maps
// are built anew, since a map does not give memory back.
func (c *chain) dropExpired(now time.Time) {
	kept := newChain()
	for digest, r := range c.entries {
		e := c.entry(digest, r)
		if !e.expired(now) {
			kept.put(&e)
		}
	}
	kept.sealed = c.sealed
	*c = *kept
}
