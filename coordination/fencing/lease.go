package fencing

import (
	"time"

	"github.com/figstile/figstile/state"
)

// Instant is a moment by two clocks of one process: a monotonic one, which
// some machines stop while they are suspended, and the wall clock, which may
// be set.
type Instant struct {
	Monotonic time.Duration
	Wall      time.Time
}

// MaxElapsedSince is the longest time that may have passed since an earlier
// instant. A holder counts its lease by it: a clock that stood still must not
// make a lease last longer.
func (i Instant) MaxElapsedSince(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// MinElapsedSince is the shortest time that may have passed. A contender counts
// another's lease by it: a clock set forward must not end a lease early.
func (i Instant) MinElapsedSince(earlier Instant) time.Duration {
	return min(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// Lease is the value of an upstream's lease object.
type Lease struct {
	// Holder is empty if the lease was released.
	Holder      state.Router      `json:"holder,omitempty"`
	Incarnation state.Incarnation `json:"incarnation,omitempty"`
	// Number is the fencing number. It outlives a release.
	Number uint64 `json:"number"`
	// DurationMs is how long the holder may count on the lease after it sent
	// the write.
	DurationMs int64 `json:"duration_ms"`
}

// Duration returns how long the lease lasts.
func (l Lease) Duration() time.Duration { return time.Duration(l.DurationMs) * time.Millisecond }

// Timing holds the durations that orders go by.
type Timing struct {
	// LeaseDuration is how long a lease lasts after its latest write.
	LeaseDuration time.Duration
	// SafetyMargin is kept free at the lease's end: an order that is not handed to
	// the network before it is not sent.
	SafetyMargin time.Duration
	// RenewAfter is the age at which the lease is renewed while an order runs.
	RenewAfter time.Duration
	// PollInterval is the time between looks at a lease that another router holds.
	PollInterval time.Duration
	// RetryDelay is the time before a failed call to the store is repeated.
	RetryDelay time.Duration
	// MaxStepGap is the longest gap between two events of a process that runs, and
	// the largest difference between its clocks over such a gap.
	MaxStepGap time.Duration
	// MaxReportAge is how old a load report may be when it is read.
	MaxReportAge time.Duration
	// MinBackoff and LastBackoff bound the time between orders while the
	// engine does not come to hold what is wanted.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultTiming is for a platform that answers in milliseconds and hosts that
// send a Tick every second.
//
// The margin is 5 s of 15: up to 3 s for the order to connect and reach the
// engine, 1 s for a stall of the process after its last look at the clock, and
// 1 s for clocks that run at different speeds, which is 7 % of the lease and
// far more than clocks of virtual machines differ. An order that is delayed by
// more than this after it was sent can still arrive late.
//
// Loading a model takes a large read from a rate-limited weight store, so a
// load that does not take is not repeated more often than twice a minute once
// it has failed some times.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration: 15 * time.Second,
		SafetyMargin:  5 * time.Second,
		RenewAfter:    4 * time.Second,
		PollInterval:  3 * time.Second,
		RetryDelay:    2 * time.Second,
		MaxStepGap:    3 * time.Second,
		MaxReportAge:  3 * time.Second,
		MinBackoff:    4 * time.Second,
		MaxBackoff:    30 * time.Second,
	}
}
