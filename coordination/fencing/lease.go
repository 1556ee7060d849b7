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

// AtMostSince is the longest time that may have passed since an earlier
// instant. A holder counts its lease by it: a clock that stood still must not
// make a lease last longer.
func (i Instant) AtMostSince(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// AtLeastSince is the shortest time that may have passed. A contender counts
// another's lease by it: a clock set forward must not end a lease early.
func (i Instant) AtLeastSince(earlier Instant) time.Duration {
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
	// Lease is how long a lease lasts after its latest write.
	Lease time.Duration
	// Margin is kept free at the lease's end: an order that is not handed to
	// the network before it is not sent.
	Margin time.Duration
	// Renew is the age at which the lease is renewed while an order runs.
	Renew time.Duration
	// Poll is the time between looks at a lease that another router holds.
	Poll time.Duration
	// Retry is the time before a failed call to the store is repeated.
	Retry time.Duration
	// Jump is the longest gap between two events of a process that runs, and
	// the largest difference between its clocks over such a gap.
	Jump time.Duration
	// ReportLag is how old a load report may be when it is read.
	ReportLag time.Duration
	// FirstBackoff and LastBackoff bound the time between orders while the
	// engine does not come to hold what is wanted.
	FirstBackoff time.Duration
	LastBackoff  time.Duration
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
		Lease:        15 * time.Second,
		Margin:       5 * time.Second,
		Renew:        4 * time.Second,
		Poll:         3 * time.Second,
		Retry:        2 * time.Second,
		Jump:         3 * time.Second,
		ReportLag:    3 * time.Second,
		FirstBackoff: 4 * time.Second,
		LastBackoff:  30 * time.Second,
	}
}
