package fencing

import (
	"time"

	"github.com/figstile/figstile/state"
)

// Instant is a point in time on two clocks of one process: a monotonic clock,
// which some machines stop while they are suspended, and the wall clock, which
// can be set.
type Instant struct {
	Monotonic time.Duration
	Wall      time.Time
}

// MaxElapsedSince returns the longest time that may have passed since an
// earlier instant. A holder uses it to measure the age of its own lease, so
// that a clock that stopped does not extend the lease.
func (i Instant) MaxElapsedSince(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// MinElapsedSince returns the shortest time that may have passed since an
// earlier instant. A router that waits for another router's lease uses it, so
// that a clock that was set forward does not end the lease early.
func (i Instant) MinElapsedSince(earlier Instant) time.Duration {
	return min(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// Lease is the value of the lease object of an upstream.
type Lease struct {
	// Holder is the router that holds the lease; empty if the lease was
	// released.
	Holder      state.Router      `json:"holder,omitempty"`
	Incarnation state.Incarnation `json:"incarnation,omitempty"`
	// Number is the fencing number. It is kept when the lease is released.
	Number uint64 `json:"number"`
	// DurationMs is how long the holder may rely on the lease after it sent the
	// write, in milliseconds.
	DurationMs int64 `json:"duration_ms"`
}

// Duration returns the duration of the lease.
func (l Lease) Duration() time.Duration { return time.Duration(l.DurationMs) * time.Millisecond }

// Timing holds the durations that govern leases and orders.
type Timing struct {
	// LeaseDuration is how long a lease lasts after its latest write.
	LeaseDuration time.Duration
	// SafetyMargin is the last part of the lease duration, in which no order is
	// handed to the network any more.
	SafetyMargin time.Duration
	// RenewAfter is the age at which the lease is renewed while an order is
	// under way.
	RenewAfter time.Duration
	// PollInterval is the time between two reads of a lease that another router
	// holds.
	PollInterval time.Duration
	// RetryDelay is the time before a failed call to the store is repeated.
	RetryDelay time.Duration
	// MaxStepGap is the longest gap between two events while the process is
	// running, and the largest difference between its two clocks over such a
	// gap.
	MaxStepGap time.Duration
	// MaxReportAge is the greatest possible age of a load report when it is
	// read.
	MaxReportAge time.Duration
	// MinBackoff and MaxBackoff bound the time between two sends of the same
	// order while the engine does not reach the desired state.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultTiming returns durations for a platform that answers within
// milliseconds and a host that sends a Tick every second.
//
// The safety margin is 5 s of the lease's 15 s: up to 3 s for the order to
// connect to and reach the engine, 1 s for a stall of the process after it last
// read the clock, and 1 s for clocks that run at different speeds. That last
// second is 7 % of the lease and far more than the clocks of VMs differ. An
// order that is delayed by more than the margin after it was sent can still
// arrive late.
//
// Loading a model reads much data from a rate-limited weight store, so a load
// that has failed several times is repeated at most twice a minute.
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
