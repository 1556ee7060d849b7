package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// fetchTimeout is how long a peer may take to send an object that it announced,
// before another one is asked.
const fetchTimeout = 600 * time.Millisecond

// Fetch decides from which peer a large object is fetched that several announce,
// so that it crosses the links of a router once. The zero value is usable. It is
// not safe for concurrent use.
type Fetch struct {
	// offeredRevisions are the newest revisions that peers announced.
	offeredRevisions map[state.Router]uint64
	// askedPeer is the peer that was asked last, empty once it has answered.
	askedPeer state.Router
	askedAt   time.Time
}

// Announced takes that a peer holds a revision.
func (f *Fetch) Announced(from state.Router, revision, storedRevision uint64) {
	if revision <= storedRevision || revision <= f.offeredRevisions[from] {
		return
	}
	if f.offeredRevisions == nil {
		f.offeredRevisions = make(map[state.Router]uint64)
	}
	f.offeredRevisions[from] = revision
}

// NextPeer returns the peer to ask now, if any: one that announced the newest
// revision.
func (f *Fetch) NextPeer(now time.Time, storedRevision uint64) (state.Router, bool) {
	if f.askedPeer != "" {
		if now.Sub(f.askedAt) < fetchTimeout {
			return "", false
		}
		delete(f.offeredRevisions, f.askedPeer)
		f.askedPeer = ""
	}
	maps.DeleteFunc(f.offeredRevisions, func(_ state.Router, revision uint64) bool { return revision <= storedRevision })
	if len(f.offeredRevisions) == 0 {
		return "", false
	}
	f.askedPeer = slices.MaxFunc(slices.Sorted(maps.Keys(f.offeredRevisions)), func(a, b state.Router) int {
		return cmp.Compare(f.offeredRevisions[a], f.offeredRevisions[b])
	})
	f.askedAt = now
	return f.askedPeer, true
}

// ExpectedRevision returns the revision that was asked for, 0 if none was.
func (f *Fetch) ExpectedRevision() uint64 {
	if f.askedPeer == "" {
		return 0
	}
	return f.offeredRevisions[f.askedPeer]
}

// RevisionReceived notes that a revision was received.
func (f *Fetch) RevisionReceived(revision uint64) {
	f.askedPeer = ""
	maps.DeleteFunc(f.offeredRevisions, func(_ state.Router, offered uint64) bool { return offered <= revision })
}
