package edge

import (
	"sync/atomic"
	"time"
)

const (
	// minNotReady is how long a router that became busy says that it is not ready,
	// longer than balancers take to send new callers elsewhere.
	minNotReady = 4 * time.Second
	// maxNotReady bounds that time, which doubles each time that the router becomes
	// busy again within relapseWithin of its return.
	maxNotReady       = 16 * time.Second
	backoffResetAfter = 8 * time.Second
)

// readinessBackoff is how long a router stays out of rotation. One that came back as soon
// as it was calm would be flooded by the same callers at once. What it relays
// goes on, and balancers that lack routers send callers nevertheless.
type readinessBackoff struct {
	// active is set until the time is over; only the periodic task writes.
	active atomic.Bool
	// duration is that of the last absence, left what remains of it, back the time
	// since the return.
	duration, remaining, readyFor time.Duration
}

// observe takes a round; became is set if the router became busy in it.
func (a *readinessBackoff) observe(overloaded, becameOverloaded bool, interval time.Duration) {
	if becameOverloaded {
		a.begin()
	} else {
		a.remaining = max(a.remaining-interval, 0)
	}
	a.active.Store(a.remaining > 0)
	if overloaded || a.remaining > 0 {
		a.readyFor = 0
		return
	}
	a.readyFor += interval
}

func (a *readinessBackoff) begin() {
	repeated := a.duration > 0 && a.readyFor < backoffResetAfter
	if !repeated {
		a.duration = 0
	}
	a.duration = min(max(2*a.duration, minNotReady), maxNotReady)
	a.remaining = a.duration
}
