package quarantine

import (
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// LossExpiry is how long a lost connection counts as a possible crash. The
	// owner polls once a second and waits one second for the answer. A loss
	// that is not confirmed after that, with some margin, was only a broken
	// connection.
	LossExpiry = 3 * time.Second
	// maxLossFingerprints bounds the number of fingerprints with unconfirmed
	// losses.
	maxLossFingerprints = 1024
)

// Losses counts lost connections per request until the owner confirms that the
// upstream crashed or the loss expires, so that suspect requests can be held
// back. A caller that immediately repeats a crashing request is faster than any
// load report: when only confirmed crashes counted, the same request took down
// six runs of two engines before the second crash was confirmed. Every loss
// therefore counts at once, until the List counts it as a confirmed crash or it
// has expired.
type Losses struct {
	byFingerprint map[state.Fingerprint][]time.Time
}

// NewLosses returns an empty record.
func NewLosses() *Losses {
	return &Losses{byFingerprint: make(map[state.Fingerprint][]time.Time)}
}

// Add records that a request lost its upstream. If the record is full, expired
// losses are dropped first. If there are none, the new loss is not recorded.
func (l *Losses) Add(now time.Time, f state.Fingerprint) {
	if f == 0 {
		return
	}
	if _, known := l.byFingerprint[f]; !known && len(l.byFingerprint) >= maxLossFingerprints {
		l.dropExpired(now)
	}
	if _, known := l.byFingerprint[f]; !known && len(l.byFingerprint) >= maxLossFingerprints {
		return
	}
	l.byFingerprint[f] = append(unexpired(now, l.byFingerprint[f]), now)
}

// Count returns the number of losses of a request that are neither confirmed
// nor expired.
func (l *Losses) Count(now time.Time, f state.Fingerprint) int {
	times, ok := l.byFingerprint[f]
	if !ok {
		return 0
	}
	times = unexpired(now, times)
	if len(times) == 0 {
		delete(l.byFingerprint, f)
		return 0
	}
	l.byFingerprint[f] = times
	return len(times)
}

// ConfirmOldest removes the oldest loss of a request because its crash was
// confirmed. From then on the List counts that crash.
func (l *Losses) ConfirmOldest(f state.Fingerprint) {
	times := l.byFingerprint[f]
	if len(times) <= 1 {
		delete(l.byFingerprint, f)
		return
	}
	l.byFingerprint[f] = times[1:]
}

// Forget removes all losses of a request that was answered completely.
func (l *Losses) Forget(f state.Fingerprint) { delete(l.byFingerprint, f) }

func (l *Losses) dropExpired(now time.Time) {
	for f := range l.byFingerprint {
		l.Count(now, f)
	}
}

func unexpired(now time.Time, times []time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) > LossExpiry {
		times = times[1:]
	}
	return times
}
