// Package outlier takes upstreams that fail repeatedly out of use for a while.
// An upstream whose requests fail immediately appears idle and would otherwise
// attract all requests.
package outlier

import "time"

const (
	// failureThreshold is the number of consecutive dispatches that must fail.
	// A lower threshold would react to a single broken connection that carried
	// several requests.
	failureThreshold = 3
	// initialCoolDown is the first cool-down. It is short because a restarting
	// worker is back within a second. The cool-down doubles with each relapse
	// up to maxCoolDown. The maximum is needed because only the next dispatch
	// detects that the upstream has recovered.
	initialCoolDown = time.Second
	maxCoolDown     = 30 * time.Second
)

// Detector counts the consecutive failures of one upstream.
type Detector struct {
	failures     int
	coolDown     time.Duration
	coolingUntil time.Time
}

// RecordSuccess records a dispatch that reached the upstream.
func (d *Detector) RecordSuccess() {
	*d = Detector{}
}

// RecordFailure records a dispatch that could not be sent or lost its
// connection. It reports whether the upstream should cool down. The caller may
// decide otherwise by not calling StartCoolDown.
func (d *Detector) RecordFailure() bool {
	d.failures++
	return d.failures >= failureThreshold
}

// StartCoolDown takes the upstream out of use and returns the duration. The
// first failure afterwards counts as a relapse.
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
