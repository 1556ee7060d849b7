package evacuation

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/state"
)

// Entry is the state of one data centre in the store.
type Entry struct {
	// Revision is the store's revision of the entry's latest change. For an
	// evacuation that has ended it may equal the revision of its begin.
	Revision uint64
	// Evacuated is false if the evacuation has ended.
	Evacuated bool
}

// Set holds the newest known entry of each data centre. Use New to create one.
// A Set is not safe for concurrent use.
type Set struct {
	entries map[state.DataCentre]Entry
	since   map[state.DataCentre]time.Time
	// known is set once all evacuations were received.
	known bool
}

// New returns an empty set. Its evacuations are not known until SetKnown is
// called.
func New() *Set {
	return &Set{entries: make(map[state.DataCentre]Entry), since: make(map[state.DataCentre]time.Time)}
}

// Apply stores an entry if it is newer than the stored one, and reports whether
// it did. Revisions only increase, so an outdated entry of a peer neither starts
// an evacuation again nor ends one.
func (s *Set) Apply(now time.Time, dc state.DataCentre, entry Entry) bool {
	current, ok := s.entries[dc]
	ends := current.Evacuated && !entry.Evacuated && current.Revision == entry.Revision
	if ok && current.Revision >= entry.Revision && !ends {
		return false
	}
	s.entries[dc] = entry
	switch {
	case !entry.Evacuated:
		delete(s.since, dc)
	case !current.Evacuated:
		s.since[dc] = now
	}
	return true
}

// MissingFrom returns the evacuated data centres that a complete list, read from
// the store at a revision, does not contain.
func (s *Set) MissingFrom(listed map[state.DataCentre]bool, revision uint64) []state.DataCentre {
	var missing []state.DataCentre
	for dc, entry := range s.entries {
		if entry.Evacuated && !listed[dc] && entry.Revision <= revision {
			missing = append(missing, dc)
		}
	}
	return missing
}

// Entries returns the entries of all data centres that were ever evacuated. The
// caller must not modify them.
func (s *Set) Entries() map[state.DataCentre]Entry { return s.entries }

// Since returns the evacuated data centres and since when this router knows of
// their evacuation. The caller must not modify the result.
func (s *Set) Since() map[state.DataCentre]time.Time { return s.since }

// SetKnown records that all evacuations were received once.
func (s *Set) SetKnown() { s.known = true }

// Known reports whether all evacuations were received once. Before, a data
// centre may be evacuated without this router knowing.
func (s *Set) Known() bool { return s.known }

// Digest returns a digest of the evacuated data centres, 0 if there are none. It
// does not depend on revisions.
func (s *Set) Digest() uint64 {
	var digest uint64
	for dc := range s.since {
		digest ^= xxhash.Sum64String("evacuated/" + strconv.Quote(string(dc)))
	}
	return digest
}
