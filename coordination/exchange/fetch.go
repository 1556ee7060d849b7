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
	// offers are the newest revisions that peers announced.
	offers map[state.Router]uint64
	// asked is the peer that was asked last, empty once it has answered.
	asked state.Router
	at    time.Time
}

// Announced takes that a peer holds a revision.
func (f *Fetch) Announced(from state.Router, revision, held uint64) {
	if revision <= held || revision <= f.offers[from] {
		return
	}
	if f.offers == nil {
		f.offers = make(map[state.Router]uint64)
	}
	f.offers[from] = revision
}

// Next returns the peer to ask now, if any: one that announced the newest
// revision.
func (f *Fetch) Next(now time.Time, held uint64) (state.Router, bool) {
	if f.asked != "" {
		if now.Sub(f.at) < fetchTimeout {
			return "", false
		}
		delete(f.offers, f.asked)
		f.asked = ""
	}
	maps.DeleteFunc(f.offers, func(_ state.Router, revision uint64) bool { return revision <= held })
	if len(f.offers) == 0 {
		return "", false
	}
	f.asked = slices.MaxFunc(slices.Sorted(maps.Keys(f.offers)), func(a, b state.Router) int {
		return cmp.Compare(f.offers[a], f.offers[b])
	})
	f.at = now
	return f.asked, true
}

// Expected returns the revision that was asked for, 0 if none was.
func (f *Fetch) Expected() uint64 {
	if f.asked == "" {
		return 0
	}
	return f.offers[f.asked]
}

// Taken notes that a revision was received.
func (f *Fetch) Taken(revision uint64) {
	f.asked = ""
	maps.DeleteFunc(f.offers, func(_ state.Router, offered uint64) bool { return offered <= revision })
}
