package edge

import (
	"sync/atomic"
	"time"
)

const (
	// minNotReady is the shortest time for which a router that became
	// overloaded reports not ready. It is longer than load balancers take to
	// send new callers elsewhere.
	minNotReady = 4 * time.Second
	// maxNotReady limits that time, which doubles each time the router becomes
	// overloaded again within backoffResetAfter of being ready.
	maxNotReady       = 16 * time.Second
	backoffResetAfter = 8 * time.Second
)

// readinessBackoff decides how long an overloaded router stays out of rotation.
// If it became ready as soon as its load fell, the same callers would overload
// it again at once. Requests that it already relays continue, and load
// balancers that have no ready router send callers regardless.
type readinessBackoff struct {
	// active is set while the router has to report not ready. Only the periodic
	// task writes it.
	active atomic.Bool
	// duration is the length of the last not-ready period and remaining is the
	// rest of it. readyFor is the time since the router was last overloaded or
	// not ready.
	duration, remaining, readyFor time.Duration
}

// observe updates the state after an interval of the periodic task.
// becameOverloaded is set if the router became overloaded in that interval.
func (b *readinessBackoff) observe(overloaded, becameOverloaded bool, interval time.Duration) {
	if becameOverloaded {
		b.begin()
	} else {
		b.remaining = max(b.remaining-interval, 0)
	}
	b.active.Store(b.remaining > 0)
	if overloaded || b.remaining > 0 {
		b.readyFor = 0
		return
	}
	b.readyFor += interval
}

func (b *readinessBackoff) begin() {
	repeated := b.duration > 0 && b.readyFor < backoffResetAfter
	if !repeated {
		b.duration = 0
	}
	b.duration = min(max(2*b.duration, minNotReady), maxNotReady)
	b.remaining = b.duration
}
