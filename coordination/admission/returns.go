package admission

import (
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// returnMemory is how long a refused request is remembered at least. Its
	// caller comes back within a third of its timeout, which is 15 s at most.
	returnMemory = 5 * time.Second
	// maxReturns bounds the requests remembered in that time, some 64 bytes
	// each, and those told to peers at once. What is left out is judged as new.
	maxReturns     = 20000
	maxReturnsTold = 256
)

// Returns recognises callers that come back after a refusal, to this router or
// a neighbour. A caller says how long it will wait, not how long it has waited,
// and callers of a route differ too much to tell the one from the other. It is
// not safe for concurrent use.
type Returns struct {
	// recent and older hold when requests first arrived, by what they were
	// refused in this and the last period of memory.
	recent, older map[uint32]time.Time
	since         time.Time
	told          []uint32
}

// key is what a request is remembered and told by. Of ten thousand, two are
// mistaken for another once in a hundred times.
func key(f state.Fingerprint) uint32 { return uint32(f ^ f>>32) }

// Refused notes that a request was refused now and had waited since its caller's
// first attempt.
func (r *Returns) Refused(now time.Time, f state.Fingerprint, elapsed time.Duration) {
	r.remember(now, key(f), now.Add(-elapsed))
	if len(r.told) < maxReturnsTold {
		r.told = append(r.told, key(f))
	}
}

// Heard takes the requests that a neighbour refused since it last told of any.
func (r *Returns) Heard(now time.Time, keys []uint32) {
	for _, k := range keys {
		if _, known := r.first(k); !known {
			r.remember(now, k, now)
		}
	}
}

// TakeRefused returns what was refused since the last call, to be told to
// neighbours.
func (r *Returns) TakeRefused() []uint32 {
	told := r.told
	r.told = nil
	return told
}

// Elapsed returns how long ago the caller of a request first sent it; zero
// unless it was refused before.
func (r *Returns) Elapsed(now time.Time, f state.Fingerprint) time.Duration {
	first, known := r.first(key(f))
	if !known {
		return 0
	}
	return max(now.Sub(first), 0)
}

func (r *Returns) first(k uint32) (time.Time, bool) {
	if first, ok := r.recent[k]; ok {
		return first, true
	}
	first, ok := r.older[k]
	return first, ok
}

func (r *Returns) remember(now time.Time, k uint32, first time.Time) {
	if r.recent == nil || now.Sub(r.since) > returnMemory {
		r.older, r.recent, r.since = r.recent, make(map[uint32]time.Time), now
	}
	if len(r.recent) < maxReturns {
		r.recent[k] = first
	}
}
