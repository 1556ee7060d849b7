// Package drain decides which requests a router still accepts after it was
// ordered to stop, so that its callers' requests end before its process does.
// The package does no I/O and takes the time as an argument.
package drain

import "time"

const (
	// maxAcceptTime is how long new requests are still accepted after the stop
	// was ordered. Load balancers check once a second whether a router is ready
	// and need two failed checks, and callers on open connections learn of the
	// stop with their next answer. The rest is a margin in case the stop order
	// is noticed late.
	maxAcceptTime = 2500 * time.Millisecond
	// maxAcceptFraction limits the accept time, as a fraction of the grace
	// period, if the grace period is short. The requests accepted last need
	// time to end as well.
	maxAcceptFraction = 1.0 / 3
	// maxEndMargin is the part of the grace period that is reserved for its
	// end, provided that the grace period is long enough. One half is for
	// answering the requests that have not ended, the other half for the
	// regular end of the process.
	maxEndMargin = 500 * time.Millisecond
	// endMarginFraction limits the end margin, as a fraction of the grace
	// period, if the grace period is short.
	endMarginFraction = 1.0 / 8
)

// Drain describes the progress of a stop. The zero value describes a router
// that was not ordered to stop.
type Drain struct {
	startedAt   time.Time
	gracePeriod time.Duration
}

// Begin returns the Drain of a stop that is ordered now. The process is killed
// after the grace period.
func Begin(now time.Time, gracePeriod time.Duration) Drain {
	return Drain{startedAt: now, gracePeriod: gracePeriod}
}

// Begun reports whether the router was ordered to stop.
func (d Drain) Begun() bool { return !d.startedAt.IsZero() }

// Age returns the time since the router was ordered to stop, zero if it was
// not.
func (d Drain) Age(now time.Time) time.Duration {
	if !d.Begun() {
		return 0
	}
	return now.Sub(d.startedAt)
}

// Accepting reports whether new requests are accepted, provided that they can
// end in time.
func (d Drain) Accepting(now time.Time) bool { return !d.Begun() || d.AcceptTimeLeft(now) > 0 }

// AcceptTimeLeft returns how long new requests are still accepted, zero or less
// if they are not. It must not be called unless the router was ordered to stop.
func (d Drain) AcceptTimeLeft(now time.Time) time.Duration {
	return min(maxAcceptTime, fractionOf(d.gracePeriod, maxAcceptFraction)) - d.Age(now)
}

// RunTimeLeft returns how long requests may still run, zero or less if they may
// not. It must not be called unless the router was ordered to stop.
func (d Drain) RunTimeLeft(now time.Time) time.Duration {
	return d.gracePeriod - d.endMargin() - d.Age(now)
}

// AnswerTimeLeft returns how long requests that have not ended in time may
// still be answered, zero or less if they may not. It must not be called unless
// the router was ordered to stop.
func (d Drain) AnswerTimeLeft(now time.Time) time.Duration {
	return d.gracePeriod - d.endMargin()/2 - d.Age(now)
}

func (d Drain) endMargin() time.Duration {
	return min(maxEndMargin, fractionOf(d.gracePeriod, endMarginFraction))
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
