package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// fetchTimeout is how long a peer may take to send an object that it announced
// before another peer is asked.
const fetchTimeout = 600 * time.Millisecond

// Fetch decides from which peer to fetch a large object that several peers
// announce, so that it crosses the router's network links only once. The zero
// value is ready to use. A Fetch is not safe for concurrent use.
type Fetch struct {
	// offeredRevisions holds the newest revision that each peer announced.
	offeredRevisions map[state.Router]uint64
	// askedPeer is the peer that was asked last, at askedAt; empty once a
	// revision has arrived.
	askedPeer state.Router
	askedAt   time.Time
}

// Announced records that a peer announced a revision, unless it is not newer
// than the stored revision.
func (f *Fetch) Announced(from state.Router, revision, storedRevision uint64) {
	if revision <= storedRevision || revision <= f.offeredRevisions[from] {
		return
	}
	if f.offeredRevisions == nil {
		f.offeredRevisions = make(map[state.Router]uint64)
	}
	f.offeredRevisions[from] = revision
}

// NextPeer returns the peer to ask now, if any. It chooses a peer that
// announced the newest revision.
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

// PeerLost records that a session with a peer has ended. Its offer is void, and
// an answer from it is no longer expected.
func (f *Fetch) PeerLost(peer state.Router) {
	delete(f.offeredRevisions, peer)
	if f.askedPeer == peer {
		f.askedPeer = ""
	}
}

// ExpectedRevision returns the revision that was requested, or 0 if none is
// pending.
func (f *Fetch) ExpectedRevision() uint64 {
	if f.askedPeer == "" {
		return 0
	}
	return f.offeredRevisions[f.askedPeer]
}

// RevisionReceived records that a revision was received.
func (f *Fetch) RevisionReceived(revision uint64) {
	f.askedPeer = ""
	maps.DeleteFunc(f.offeredRevisions, func(_ state.Router, offered uint64) bool { return offered <= revision })
}
