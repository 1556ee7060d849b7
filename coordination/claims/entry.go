package claims

import (
	"bytes"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// Status is what a chain says of a claimed request.
type Status uint8

// The values of Status.
const (
	// StatusRunning: the claimer may have sent the request.
	StatusRunning Status = iota + 1
	// StatusCompleted: the request ran.
	StatusCompleted
	// StatusUnknown: the claimer sent it and cannot tell whether it ran.
	StatusUnknown
	// StatusReleased: the claim stands in a sealed segment and was taken
	// back. It frees the key for later entries only.
	StatusReleased
)

// Entry is one claim in a segment, or a later state of a claim that stands in a
// sealed one. The last entry of a key in chain order counts.
type Entry struct {
	Digest Digest
	Claim  state.AttemptID
	Status Status
	// ClaimedAt is when the claim was made, by the claimer's clock.
	ClaimedAt time.Time
}

// expired says whether the entry may be forgotten.
func (e *Entry) expired(now time.Time) bool {
	return now.Sub(e.ClaimedAt) > Retention+clockSkew
}

// blocksKey says whether the entry keeps its key from being claimed.
func (e *Entry) blocksKey(now time.Time) bool {
	return e.Status != StatusReleased && !e.expired(now)
}

// Segment is one object of a shard's chain. It holds at most one entry of a
// key, in the order of their digests. It is not changed once built: a draft
// makes the next one.
type Segment struct {
	// Number is the segment's place in the chain.
	Number uint64
	// Sealed: it takes no more entries and the next segment may exist.
	Sealed  bool
	Entries []Entry
}

// expiredEntries counts the entries that are not needed any more.
func (s *Segment) expiredEntries(now time.Time) int {
	n := 0
	for i := range s.Entries {
		if s.Entries[i].expired(now) {
			n++
		}
	}
	return n
}

// expired says whether no entry is needed any more.
func (s *Segment) expired(now time.Time) bool {
	return s.expiredEntries(now) == len(s.Entries)
}

func compareDigest(e Entry, d Digest) int { return bytes.Compare(e.Digest[:], d[:]) }

// Lookup returns the entry of a digest or nil.
func (s *Segment) Lookup(d Digest) *Entry {
	i, found := slices.BinarySearchFunc(s.Entries, d, compareDigest)
	if !found {
		return nil
	}
	return &s.Entries[i]
}

// draft collects one round's changes to the last segment of a chain.
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

// lookup returns the entry that keeps a key taken, nil if it is free.
func (d *draft) lookup(digest Digest) *Entry {
	e := d.lastEntry(digest)
	if e == nil || !e.blocksKey(d.now) {
		return nil
	}
	return e
}

// lastEntry returns the last entry of a key in chain order.
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

// release frees the key of an entry. Leaving the entry out of the last segment
// would bring back an older one of the same key in a sealed segment, and with
// it a claim that nobody holds; an entry that says so stands in its place. It
// keeps the claim's time, so that both expire together.
func (d *draft) release(e Entry) {
	if d.chain.lookup(e.Digest) == nil {
		d.edits[e.Digest] = nil
		return
	}
	e.Status = StatusReleased
	d.put(e)
}

func (d *draft) changed() bool { return len(d.edits) > 0 || d.forceWrite }

// build merges the changes into the segment and drops what has expired.
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
