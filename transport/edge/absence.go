package edge

import (
	"sync/atomic"
	"time"
)

const (
	// minAway is how long a router that became busy says that it is not ready,
	// longer than balancers take to send new callers elsewhere.
	minAway = 4 * time.Second
	// maxAway bounds that time, which doubles each time that the router becomes
	// busy again within relapseWithin of its return.
	maxAway       = 16 * time.Second
	relapseWithin = 8 * time.Second
)

// absence is how long a router stays out of rotation. One that came back as soon
// as it was calm would be flooded by the same callers at once. What it relays
// goes on, and balancers that lack routers send callers nevertheless.
type absence struct {
	// holds is set until the time is over; only the periodic task writes.
	holds atomic.Bool
	// length is that of the last absence, left what remains of it, back the time
	// since the return.
	length, left, back time.Duration
}

// observe takes a round; became is set if the router became busy in it.
func (a *absence) observe(busy, became bool, round time.Duration) {
	if became {
		a.begin()
	} else {
		a.left = max(a.left-round, 0)
	}
	a.holds.Store(a.left > 0)
	if busy || a.left > 0 {
		a.back = 0
		return
	}
	a.back += round
}

func (a *absence) begin() {
	relapsed := a.length > 0 && a.back < relapseWithin
	if !relapsed {
		a.length = 0
	}
	a.length = min(max(2*a.length, minAway), maxAway)
	a.left = a.length
}
