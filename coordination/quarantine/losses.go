package quarantine

import (
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// LossExpiry is how long a lost connection counts as a possible crash.
	// The owner polls once a second and waits a second for the answer; what
	// is not confirmed after that, with some to spare, was a broken
	// connection.
	LossExpiry = 3 * time.Second
	// maxLossFingerprints bounds the fingerprints on hold.
	maxLossFingerprints = 1024
)

// Losses holds back requests between the loss of their upstream and the
// verdict on it. A caller that sends a crashing request again at once is
// faster than any load report: without the hold the same request took down six
// runs of two engines before the second crash was confirmed. The guard holds
// because every loss, confirmed or not, counts until it is settled.
type Losses struct {
	byFingerprint map[state.Fingerprint][]time.Time
}

// NewLosses returns an empty record.
func NewLosses() *Losses {
	return &Losses{byFingerprint: make(map[state.Fingerprint][]time.Time)}
}

// Add notes that a request lost its upstream. Beyond the bound, losses that
// are settled are dropped first; if there are none, the new one is not kept.
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

// Count returns the unsettled losses of a request.
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

// ConfirmOldest drops the oldest loss of a request: it has been confirmed, and the
// list counts it from now on.
func (l *Losses) ConfirmOldest(f state.Fingerprint) {
	times := l.byFingerprint[f]
	if len(times) <= 1 {
		delete(l.byFingerprint, f)
		return
	}
	l.byFingerprint[f] = times[1:]
}

// Forget drops all losses of a request that was served whole.
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
