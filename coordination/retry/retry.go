// Package retry decides whether a request whose upstream was lost is tried
// once more.
package retry

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/figstile/figstile/state"
)

const (
	// MaxDispatches is one try and one retry. A second retry would find the
	// same fleet a moment later and would only add load to an outage.
	MaxDispatches = 2
	// retriesPerSecond and burst bound the retries of one workspace. While many
	// upstreams fail, retries would double the load of those that are left;
	// ten cover the requests that one lost upstream was running, and one a
	// second covers single broken connections.
	retriesPerSecond = 1
	retryBurst       = 10
	// maxWorkspaces bounds the memory; see Budget.trim.
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

// Allow reports whether a request that was dispatched so many times may be
// dispatched again, and takes a token if so. Only requests that may run twice
// without harm are ever retried: after a lost connection nobody knows whether
// a booking went through.
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

// trim drops full buckets, which say no more than absent ones. If none is
// full, all are dropped: memory comes before the exactness of a budget.
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
