// Package outlier takes upstreams that keep failing out of use for a while.
// An upstream that fails at once looks idle and would draw all the work.
package outlier

import "time"

const (
	// failureThreshold is how many dispatches in a row must fail. Fewer would act on
	// a single broken connection of several requests.
	failureThreshold = 3
	// initialCoolDown doubles with each relapse up to maxCoolDown: short, since
	// a restarting worker is back within a second; capped, since nothing but
	// the next dispatch finds out that it is back.
	initialCoolDown = time.Second
	maxCoolDown     = 30 * time.Second
)

// Detector watches the outcomes on one upstream.
type Detector struct {
	failures     int
	coolDown     time.Duration
	coolingUntil time.Time
}

// RecordSuccess notes a dispatch that reached the upstream.
func (d *Detector) RecordSuccess() {
	*d = Detector{}
}

// RecordFailure notes a dispatch that could not be sent or lost its connection. It
// reports whether the upstream should cool down; the caller may overrule that
// by not calling CoolDown.
func (d *Detector) RecordFailure() bool {
	d.failures++
	return d.failures >= failureThreshold
}

// StartCoolDown takes the upstream out of use and returns for how long. The first
// failure afterwards counts as a relapse.
func (d *Detector) StartCoolDown(now time.Time) time.Duration {
	d.coolDown = min(max(2*d.coolDown, initialCoolDown), maxCoolDown)
	d.coolingUntil = now.Add(d.coolDown)
	d.failures = failureThreshold - 1
	return d.coolDown
}

// InCoolDown reports whether the upstream is out of use.
func (d *Detector) InCoolDown(now time.Time) bool {
	return now.Before(d.coolingUntil)
}
