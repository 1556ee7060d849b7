package claims

import (
	"time"

	"github.com/figstile/figstile/state"
)

// sealedEntry is the in-memory form of an entry of a sealed segment. The digest
// is the key of the map that holds it, and the claimer is stored as a number,
// which keeps the entry at 24 bytes.
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
	// newestClaim is the time of the newest entry in the segment.
	newestClaim time.Time
}

// chain holds the last entry of each key in the sealed segments of a shard.
// Sealed segments never change, except that they are emptied once all their
// entries have expired, so each is read once.
type chain struct {
	entries        map[Digest]sealedEntry
	claimers       []claimer
	claimerNumbers map[claimer]uint32
	// sealed lists the segments that hold entries, oldest first.
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
	claimedBy := c.claimers[r.claimer]
	return Entry{
		Digest:    d,
		Claim:     state.AttemptID{Router: claimedBy.router, Incarnation: claimedBy.incarnation, Sequence: r.sequence},
		Status:    r.status,
		ClaimedAt: time.Unix(int64(r.claimedAt), 0).UTC(),
	}
}

// merge adds the segment that follows the ones already merged.
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
	claimedBy := claimerOf(e.Claim)
	number, known := c.claimerNumbers[claimedBy]
	if !known {
		number = uint32(len(c.claimers))
		c.claimers = append(c.claimers, claimedBy)
		c.claimerNumbers[claimedBy] = number
	}
	c.entries[e.Digest] = sealedEntry{
		sequence:  e.Claim.Sequence,
		claimer:   number,
		claimedAt: uint32(e.ClaimedAt.Unix()),
		status:    e.Status,
	}
}

// expiredSegments returns the number of sealed segments, counted from the
// oldest, that may be emptied.
func (c *chain) expiredSegments(now time.Time) int {
	for i := range c.sealed {
		if now.Sub(c.sealed[i].newestClaim) <= Retention+clockSkew {
			return i
		}
	}
	return len(c.sealed)
}

// dropExpired removes expired entries and the claimers that only they refer to.
// The maps are built anew, since a Go map does not release memory when entries
// are deleted.
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
