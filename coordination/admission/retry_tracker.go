package admission

import (
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// refusalMemory is the minimum time for which a refused request is
	// remembered. Its caller retries within a third of its timeout, and
	// timeouts are at most 15 s.
	refusalMemory = 5 * time.Second
	// maxRememberedRefusals bounds the number of requests remembered in that
	// time, at about 64 bytes each, and maxAnnouncedRefusals the number sent to
	// peers at once. Requests beyond these bounds are treated as new when they
	// are retried.
	maxRememberedRefusals = 20000
	maxAnnouncedRefusals  = 256
)

// RetryTracker recognises requests that were refused before, by this router or
// by another router of its data centre. A caller sends how long it will wait
// but not how long it has waited, and the timeouts of a route's callers differ
// too much to derive the elapsed time from them. A RetryTracker is not safe for
// concurrent use.
type RetryTracker struct {
	// recent and older hold the time of the first arrival by refusal key, for
	// requests refused in the current and in the previous period of
	// refusalMemory.
	recent, older map[uint32]time.Time
	recentSince   time.Time
	unannounced   []uint32
}

// refusalKey returns the key under which a refused request is stored and
// announced to peers. Among ten thousand requests, two share a key with a
// probability of about one percent.
func refusalKey(f state.Fingerprint) uint32 { return uint32(f ^ f>>32) }

// RecordRefusal records that a request is refused now, and how long ago its
// caller's first attempt was.
func (r *RetryTracker) RecordRefusal(now time.Time, f state.Fingerprint, elapsed time.Duration) {
	r.remember(now, refusalKey(f), now.Add(-elapsed))
	if len(r.unannounced) < maxAnnouncedRefusals {
		r.unannounced = append(r.unannounced, refusalKey(f))
	}
}

// ReceiveRefusals records the keys of requests that a neighbouring router has
// refused since its last announcement.
func (r *RetryTracker) ReceiveRefusals(now time.Time, keys []uint32) {
	for _, k := range keys {
		if _, known := r.firstArrival(k); !known {
			r.remember(now, k, now)
		}
	}
}

// TakeUnannounced returns the keys of requests refused since the last call, to
// be announced to neighbouring routers.
func (r *RetryTracker) TakeUnannounced() []uint32 {
	refused := r.unannounced
	r.unannounced = nil
	return refused
}

// Elapsed returns the time since the caller's first attempt of a request. It is
// zero unless the request was refused before.
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
