package claims

import (
	"bytes"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// Status is what a shard says of a claimed request.
type Status uint8

// The values of Status. A released claim leaves the shard.
const (
	// StatusRunning: the claimer may have sent the request.
	StatusRunning Status = iota + 1
	// StatusCompleted: the request ran.
	StatusCompleted
	// StatusUnknown: the claimer sent it and cannot tell whether it ran.
	StatusUnknown
)

// Entry is one claim in a shard.
type Entry struct {
	Digest Digest
	Claim  state.AttemptID
	Status Status
	// At is when the claim was made, by the claimer's clock.
	At time.Time
}

// expired says whether the entry may be forgotten.
func (e *Entry) expired(now time.Time) bool {
	return now.Sub(e.At) > Retention+clockSkew
}

// Shard holds entries in the order of their digests. It is not changed once
// built: a draft makes the next one.
type Shard struct {
	Entries []Entry
}

func compareDigest(e Entry, d Digest) int { return bytes.Compare(e.Digest[:], d[:]) }

// Lookup returns the entry of a digest or nil.
func (s *Shard) Lookup(d Digest) *Entry {
	i, found := slices.BinarySearchFunc(s.Entries, d, compareDigest)
	if !found {
		return nil
	}
	return &s.Entries[i]
}

// draft collects one round's changes to a shard.
type draft struct {
	base  *Shard
	edits map[Digest]*Entry
	now   time.Time
	touch bool
}

func newDraft(base *Shard, now time.Time) *draft {
	return &draft{base: base, edits: make(map[Digest]*Entry), now: now}
}

// lookup returns the entry as the draft has it, nil if absent or expired.
func (d *draft) lookup(digest Digest) *Entry {
	if e, edited := d.edits[digest]; edited {
		return e
	}
	e := d.base.Lookup(digest)
	if e == nil || e.expired(d.now) {
		return nil
	}
	return e
}

func (d *draft) put(e Entry) { d.edits[e.Digest] = &e }

func (d *draft) remove(digest Digest) { d.edits[digest] = nil }

func (d *draft) changed() bool { return len(d.edits) > 0 || d.touch }

// build merges the changes into the next shard and drops what has expired.
func (d *draft) build() *Shard {
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
	return &Shard{Entries: entries}
}
