// Package retry decides whether a request whose upstream was lost is dispatched
// once more.
package retry

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/figstile/figstile/state"
)

const (
	// MaxDispatches allows one attempt and one retry. A second retry would meet
	// the same fleet a moment later and would only add load to an outage.
	MaxDispatches = 2
	// retriesPerSecond and retryBurst bound the retries of one workspace. While
	// many upstreams fail, unlimited retries would double the load of the
	// remaining ones. A burst of ten covers the requests that one lost upstream
	// was running, and one retry per second covers single broken connections.
	retriesPerSecond = 1
	retryBurst       = 10
	// maxWorkspaces bounds the number of buckets in memory; see Budget.trim.
	maxWorkspaces = 4096
)

// Budget holds a token bucket per workspace.
type Budget struct {
	limiters map[state.Workspace]*rate.Limiter
}

// NewBudget returns a budget with full buckets.
func NewBudget() *Budget {
	return &Budget{limiters: make(map[state.Workspace]*rate.Limiter)}
}

// Allow reports whether a request that has been dispatched the given number of
// times may be dispatched again, and takes a token if so. Only requests that
// may run twice without harm are ever retried: after a lost connection the
// router cannot know whether, for example, a booking was completed.
func (b *Budget) Allow(now time.Time, w state.Workspace, repeatable bool, dispatches int) bool {
	if !repeatable || dispatches >= MaxDispatches {
		return false
	}
	return b.limiter(now, w).AllowN(now, 1)
}

func (b *Budget) limiter(now time.Time, w state.Workspace) *rate.Limiter {
	if l, ok := b.limiters[w]; ok {
		return l
	}
	if len(b.limiters) >= maxWorkspaces {
		b.trim(now)
	}
	l := rate.NewLimiter(retriesPerSecond, retryBurst)
	b.limiters[w] = l
	return l
}

// trim removes full buckets, which are equivalent to absent ones. If no bucket
// is full, it removes all of them: bounding the memory is more important than
// an exact budget.
func (b *Budget) trim(now time.Time) {
	for w, l := range b.limiters {
		if l.TokensAt(now) >= retryBurst {
			delete(b.limiters, w)
		}
	}
	if len(b.limiters) >= maxWorkspaces {
		clear(b.limiters)
	}
}
