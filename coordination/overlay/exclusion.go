package overlay

import (
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// firstExclusion and lastExclusion bound how long a router is passed over
	// that was lost or did not answer; the time doubles while that goes on.
	firstExclusion = time.Second
	lastExclusion  = 4 * time.Second
	// refusedFor is how long a router is passed over that has no room.
	refusedFor = 400 * time.Millisecond
)

// exclusion passes over a router for a while.
type exclusion struct {
	until time.Time
	last  time.Duration
}

// exclusions are the routers that are passed over.
type exclusions map[state.Router]exclusion

// add passes over a router from now on, longer than the last time.
func (e exclusions) add(now time.Time, router state.Router) {
	lasts := min(max(2*e[router].last, firstExclusion), lastExclusion)
	e[router] = exclusion{until: now.Add(lasts), last: lasts}
}

// refused passes over a router that is there but took no link.
func (e exclusions) refused(now time.Time, router state.Router) {
	e[router] = exclusion{until: now.Add(refusedFor), last: e[router].last}
}

// at says whether a router is passed over.
func (e exclusions) at(now time.Time, router state.Router) bool { return now.Before(e[router].until) }

func (e exclusions) clear(router state.Router) { delete(e, router) }

// expire forgets what lies long back.
func (e exclusions) expire(now time.Time) {
	for router, x := range e {
		if now.Sub(x.until) > lastExclusion {
			delete(e, router)
		}
	}
}
