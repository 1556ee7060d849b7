package fencing

import (
	"maps"
	"slices"
	"time"
)

// orderAttempts remembers the orders that were sent and whose effect no report
// has shown yet. Each order backs off separately: a model that cannot be loaded
// must not be loaded again and again, which would use up the rate limit of the
// weight store, and it must not delay the orders behind it.
type orderAttempts struct {
	timing  Timing
	byOrder map[Order]orderAttempt
}

// orderAttempt counts how often an order was sent and holds the earliest time
// to send it again.
type orderAttempt struct {
	count     int
	notBefore time.Duration
}

// maxDoublings limits the doublings of the delay so that the shift cannot
// overflow.
const maxDoublings = 10

// orderEnded records that an order has ended and doubles the delay before the
// same order may be sent again, up to Timing.MaxBackoff.
func (a *orderAttempts) orderEnded(order Order, now time.Duration) {
	order.Number = 0
	previous := a.byOrder[order]
	delay := a.timing.MinBackoff << min(previous.count, maxDoublings)
	a.byOrder[order] = orderAttempt{count: previous.count + 1, notBefore: now + min(delay, a.timing.MaxBackoff)}
}

// nextDue returns the first missing order that may be sent now. It forgets the
// attempts of orders that are no longer missing.
func (a *orderAttempts) nextDue(missing []Order, now time.Duration) (Order, bool) {
	maps.DeleteFunc(a.byOrder, func(order Order, _ orderAttempt) bool { return !slices.Contains(missing, order) })
	for _, order := range missing {
		if now >= a.byOrder[order].notBefore {
			return order, true
		}
	}
	return Order{}, false
}
