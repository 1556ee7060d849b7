package overlay

import (
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// minExclusion and lastExclusion bound how long a router is passed over
	// that was lost or did not answer; the time doubles while that goes on.
	minExclusion = time.Second
	maxExclusion = 4 * time.Second
	// rejectedExclusion is how long a router is passed over that has no room.
	rejectedExclusion = 400 * time.Millisecond
)

// exclusion passes over a router for a while.
type exclusion struct {
	until    time.Time
	duration time.Duration
}

// exclusions are the routers that are passed over.
type exclusions map[state.Router]exclusion

// exclude passes over a router from now on, longer than the last time.
func (e exclusions) exclude(now time.Time, router state.Router) {
	duration := min(max(2*e[router].duration, minExclusion), maxExclusion)
	e[router] = exclusion{until: now.Add(duration), duration: duration}
}

// excludeBriefly passes over a router that is there but took no link.
func (e exclusions) excludeBriefly(now time.Time, router state.Router) {
	e[router] = exclusion{until: now.Add(rejectedExclusion), duration: e[router].duration}
}

// isExcluded says whether a router is passed over.
func (e exclusions) isExcluded(now time.Time, router state.Router) bool {
	return now.Before(e[router].until)
}

func (e exclusions) remove(router state.Router) { delete(e, router) }

// removeExpired forgets what lies long back.
func (e exclusions) removeExpired(now time.Time) {
	for router, x := range e {
		if now.Sub(x.until) > maxExclusion {
			delete(e, router)
		}
	}
}
