package overlay

import (
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// minExclusion and maxExclusion bound how long a router is not considered
	// as a parent after its link was lost or it did not answer. The time
	// doubles with each consecutive failure.
	minExclusion = time.Second
	maxExclusion = 4 * time.Second
	// rejectedExclusion is how long a router is not considered as a parent
	// after it rejected a link, for example because it has the maximum number
	// of children.
	rejectedExclusion = 400 * time.Millisecond
)

// exclusion records until when a router is excluded and how long the latest
// exclusion after a failure lasts.
type exclusion struct {
	until    time.Time
	duration time.Duration
}

// exclusions holds the routers that are currently excluded as parents or
// introduction targets.
type exclusions map[state.Router]exclusion

// exclude excludes a router after a failure, for twice as long as the previous
// time, within minExclusion and maxExclusion.
func (e exclusions) exclude(now time.Time, router state.Router) {
	duration := min(max(2*e[router].duration, minExclusion), maxExclusion)
	e[router] = exclusion{until: now.Add(duration), duration: duration}
}

// excludeBriefly excludes a router that answered but rejected the link. It does
// not lengthen later exclusions.
func (e exclusions) excludeBriefly(now time.Time, router state.Router) {
	e[router] = exclusion{until: now.Add(rejectedExclusion), duration: e[router].duration}
}

// isExcluded reports whether a router is excluded at the given time.
func (e exclusions) isExcluded(now time.Time, router state.Router) bool {
	return now.Before(e[router].until)
}

func (e exclusions) remove(router state.Router) { delete(e, router) }

// removeExpired removes exclusions that ended more than maxExclusion ago. Until
// then they are kept so that the next failure doubles their duration.
func (e exclusions) removeExpired(now time.Time) {
	for router, x := range e {
		if now.Sub(x.until) > maxExclusion {
			delete(e, router)
		}
	}
}
