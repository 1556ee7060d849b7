package claims

import (
	"bytes"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// Status is the state of a claimed request according to the chain.
type Status uint8

// Values of Status.
const (
	// StatusRunning means that the claimer may have sent the request.
	StatusRunning Status = iota + 1
	// StatusCompleted means that the request ran.
	StatusCompleted
	// StatusUnknown means that the claimer sent the request and does not know
	// whether it ran.
	StatusUnknown
	// StatusReleased means that the claim is in a sealed segment and was
	// released. Later entries may claim the key again.
	StatusReleased
)

// Entry is a claim, or a later state of a claim that is in a sealed segment.
// The last entry of a key in the order of the chain is the valid one.
type Entry struct {
	Digest Digest
	Claim  state.AttemptID
	Status Status
	// ClaimedAt is the time of the claim by the clock of the claimer.
	ClaimedAt time.Time
}

// expired reports whether the entry may be removed.
func (e *Entry) expired(now time.Time) bool {
	return now.Sub(e.ClaimedAt) > Retention+clockSkew
}

// blocksKey reports whether the entry prevents others from claiming its key.
func (e *Entry) blocksKey(now time.Time) bool {
	return e.Status != StatusReleased && !e.expired(now)
}

// Segment is one object of a shard's chain. It holds at most one entry per key,
// in order of their digests. It is not modified after it was built; changes are
// collected in a draft, which builds a new one.
type Segment struct {
	// Number is the position of the segment in the chain, counted from 0.
	Number uint64
	// Sealed is set once the segment takes no more entries. The next segment
	// may then exist.
	Sealed  bool
	Entries []Entry
}

// expiredEntries returns the number of expired entries.
func (s *Segment) expiredEntries(now time.Time) int {
	n := 0
	for i := range s.Entries {
		if s.Entries[i].expired(now) {
			n++
		}
	}
	return n
}

// expired reports whether all entries have expired.
func (s *Segment) expired(now time.Time) bool {
	return s.expiredEntries(now) == len(s.Entries)
}

func compareDigest(e Entry, d Digest) int { return bytes.Compare(e.Digest[:], d[:]) }

// Lookup returns the entry of a digest, or nil.
func (s *Segment) Lookup(d Digest) *Entry {
	i, found := slices.BinarySearchFunc(s.Entries, d, compareDigest)
	if !found {
		return nil
	}
	return &s.Entries[i]
}

// draft collects the changes of one round to the last segment of a chain.
type draft struct {
	base       *Segment
	chain      *chain
	edits      map[Digest]*Entry
	now        time.Time
	forceWrite bool
}

func newDraft(base *Segment, sealed *chain, now time.Time) *draft {
	return &draft{base: base, chain: sealed, edits: make(map[Digest]*Entry), now: now}
}

// lookup returns the entry that blocks a key, or nil if the key is free.
func (d *draft) lookup(digest Digest) *Entry {
	e := d.lastEntry(digest)
	if e == nil || !e.blocksKey(d.now) {
		return nil
	}
	return e
}

// lastEntry returns the last entry of a key in the order of the chain.
func (d *draft) lastEntry(digest Digest) *Entry {
	if e, edited := d.edits[digest]; edited {
		return e
	}
	if e := d.base.Lookup(digest); e != nil {
		return e
	}
	return d.chain.lookup(digest)
}

func (d *draft) put(e Entry) { d.edits[e.Digest] = &e }

// release frees the key of an entry. If the key also has an entry in a sealed
// segment, removing the entry from the last segment would make that older entry
// valid again, and with it a claim that no router holds. In that case an entry
// with StatusReleased takes its place. It keeps the time of the claim, so that
// both expire together.
func (d *draft) release(e Entry) {
	if d.chain.lookup(e.Digest) == nil {
		d.edits[e.Digest] = nil
		return
	}
	e.Status = StatusReleased
	d.put(e)
}

func (d *draft) changed() bool { return len(d.edits) > 0 || d.forceWrite }

// build returns a segment with the changes applied and expired entries removed.
func (d *draft) build() *Segment {
	entries := make([]Entry, 0, len(d.base.Entries)+len(d.edits))
	for _, e := range d.base.Entries {
		if _, edited := d.edits[e.Digest]; !edited && !e.expired(d.now) {
			entries = append(entries, e)
		}
	}
	for _, e := range d.edits {
		if e != nil {
			entries = append(entries, *e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return &Segment{Number: d.base.Number, Entries: entries}
}
