package admission

import (
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// refusalMemory is how long a refused request is remembered at least. Its
	// caller comes back within a third of its timeout, which is 15 s at most.
	refusalMemory = 5 * time.Second
	// maxRememberedRefusals bounds the requests remembered in that time, some 64 bytes
	// each, and those told to peers at once. What is left out is judged as new.
	maxRememberedRefusals = 20000
	maxAnnouncedRefusals  = 256
)

// RetryTracker recognises callers that come back after a refusal, to this router or
// a neighbour. A caller says how long it will wait, not how long it has waited,
// and callers of a route differ too much to tell the one from the other. It is
// not safe for concurrent use.
type RetryTracker struct {
	// recent and older hold when requests first arrived, by what they were
	// refused in this and the last period of memory.
	recent, older map[uint32]time.Time
	recentSince   time.Time
	unannounced   []uint32
}

// refusalKey is what a request is remembered and told by. Of ten thousand, two are
// mistaken for another once in a hundred times.
func refusalKey(f state.Fingerprint) uint32 { return uint32(f ^ f>>32) }

// RecordRefusal notes that a request was refused now and had waited since its caller's
// first attempt.
func (r *RetryTracker) RecordRefusal(now time.Time, f state.Fingerprint, elapsed time.Duration) {
	r.remember(now, refusalKey(f), now.Add(-elapsed))
	if len(r.unannounced) < maxAnnouncedRefusals {
		r.unannounced = append(r.unannounced, refusalKey(f))
	}
}

// ReceiveRefusals takes the requests that a neighbour refused since it last told of any.
func (r *RetryTracker) ReceiveRefusals(now time.Time, keys []uint32) {
	for _, k := range keys {
		if _, known := r.firstArrival(k); !known {
			r.remember(now, k, now)
		}
	}
}

// TakeUnannounced returns what was refused since the last call, to be told to
// neighbours.
func (r *RetryTracker) TakeUnannounced() []uint32 {
	refused := r.unannounced
	r.unannounced = nil
	return refused
}

// Elapsed returns how long ago the caller of a request first sent it; zero
// unless it was refused before.
func (r *RetryTracker) Elapsed(now time.Time, f state.Fingerprint) time.Duration {
	first, known := r.firstArrival(refusalKey(f))
	if !known {
		return 0
	}
	return max(now.Sub(first), 0)
}

func (r *RetryTracker) firstArrival(k uint32) (time.Time, bool) {
	if first, ok := r.recent[k]; ok {
		return first, true
	}
	first, ok := r.older[k]
	return first, ok
}

func (r *RetryTracker) remember(now time.Time, k uint32, first time.Time) {
	if r.recent == nil || now.Sub(r.recentSince) > refusalMemory {
		r.older, r.recent, r.recentSince = r.recent, make(map[uint32]time.Time), now
	}
	if len(r.recent) < maxRememberedRefusals {
		r.recent[k] = first
	}
}
