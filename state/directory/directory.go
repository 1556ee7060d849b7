package directory

import (
	"maps"

	"github.com/figstile/figstile/state"
)

// Upstream is one run of an engine or application worker, as it registered
// itself.
type Upstream struct {
	// ID names the upstream; a worker that restarts may keep it.
	ID         state.Upstream
	Service    state.Service
	Address    string
	DataCentre state.DataCentre
	// Slots is how many requests it runs at once; 0 if it does not say.
	Slots int
	// Leaving upstreams finish what they have and take nothing new.
	Leaving bool
	// Born is the Unix millisecond of its start; it tells runs under one id
	// apart. Zero if it does not say.
	Born int64
}

// Entry is what the platform's list says of one id.
type Entry struct {
	// Revision of the entry's last change; of its removal where it is gone.
	Revision uint64
	// Present is false once the entry was removed, or names no usable
	// upstream.
	Present  bool
	Upstream Upstream
}

// Directory is a set of entries. The zero value is not usable; it is not safe
// for concurrent use.
type Directory struct {
	entries map[state.Upstream]Entry
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[state.Upstream]Entry)}
}

// Apply takes an entry if it is newer than what is held, and says whether it
// did.
func (d *Directory) Apply(id state.Upstream, entry Entry) bool {
	if !d.IsNewer(id, entry) {
		return false
	}
	d.entries[id] = entry
	return true
}

// IsNewer says whether an entry is newer than what is held. Revisions only grow,
// so an old answer of the store, or a peer that was cut off, never brings back
// an upstream that has left. A removal counts against the revision that it
// removed.
func (d *Directory) IsNewer(id state.Upstream, entry Entry) bool {
	current, ok := d.entries[id]
	removes := !entry.Present && current.Present && current.Revision == entry.Revision
	return !ok || current.Revision < entry.Revision || removes
}

// Entry returns what is held of an id.
func (d *Directory) Entry(id state.Upstream) (Entry, bool) {
	entry, ok := d.entries[id]
	return entry, ok
}

// Entries returns a copy of all entries, those of gone upstreams included.
func (d *Directory) Entries() map[state.Upstream]Entry { return maps.Clone(d.entries) }
