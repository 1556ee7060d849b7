package directory

import (
	"maps"
	"time"

	"github.com/figstile/figstile/state"
)

// Upstream describes one process of an engine or application worker, as it
// registered itself.
type Upstream struct {
	// ID is the name of the upstream. A worker may keep it over a restart.
	ID         state.Upstream
	Service    state.Service
	Address    string
	DataCentre state.DataCentre
	// Slots is the number of requests that the upstream runs at once; 0 if it
	// does not report one.
	Slots int
	// Leaving is set if the upstream finishes its current requests and accepts
	// no new ones.
	Leaving bool
	// ColdFor is how much longer the upstream stays cold, counted from when it
	// wrote this entry; 0 if it is warm. A cold upstream tolerates few requests
	// per second.
	ColdFor time.Duration
	// Born is the start time in Unix milliseconds, which distinguishes
	// processes with the same ID; zero if the upstream does not report it.
	Born int64
}

// Entry is the state of one upstream in the platform's list.
type Entry struct {
	// Revision is the revision of the entry's latest change. For a removed
	// entry it is the revision of the removal, which may equal that of the
	// removed entry.
	Revision uint64
	// Present is false if the entry was removed or does not describe a usable
	// upstream.
	Present  bool
	Upstream Upstream
}

// Directory is a set of entries. Use New to create one. A Directory is not safe
// for concurrent use.
type Directory struct {
	entries map[state.Upstream]Entry
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[state.Upstream]Entry)}
}

// Apply stores an entry if it is newer than the stored one, and reports whether
// it did.
func (d *Directory) Apply(id state.Upstream, entry Entry) bool {
	if !d.IsNewer(id, entry) {
		return false
	}
	d.entries[id] = entry
	return true
}

// IsNewer reports whether an entry is newer than the stored one. Revisions only
// increase, so neither an outdated answer of the store nor a peer that was cut
// off can restore an upstream that was removed. A removal also counts as newer
// if it has the same revision as the entry that it removes.
func (d *Directory) IsNewer(id state.Upstream, entry Entry) bool {
	current, ok := d.entries[id]
	removes := !entry.Present && current.Present && current.Revision == entry.Revision
	return !ok || current.Revision < entry.Revision || removes
}

// Entry returns the stored entry of an upstream.
func (d *Directory) Entry(id state.Upstream) (Entry, bool) {
	entry, ok := d.entries[id]
	return entry, ok
}

// Entries returns a copy of all entries, including those of removed upstreams.
func (d *Directory) Entries() map[state.Upstream]Entry { return maps.Clone(d.entries) }
