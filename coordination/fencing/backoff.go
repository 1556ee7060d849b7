package fencing

import (
	"maps"
	"slices"
	"time"
)

// orderAttempts remembers the orders that were given and did not show their effect
// yet. Each order backs off on its own: a model that cannot be loaded must
// neither be loaded over and over, which uses up the weight store's rate, nor
// hold up the orders behind it.
type orderAttempts struct {
	timing  Timing
	byOrder map[Order]orderAttempt
}

// orderAttempt is how often an order was given and when it may be given again.
type orderAttempt struct {
	count     int
	notBefore time.Duration
}

// maxDoublings keeps the shift far from overflow.
const maxDoublings = 10

// orderEnded notes the end of an order.
func (a *orderAttempts) orderEnded(order Order, now time.Duration) {
	order.Number = 0
	previous := a.byOrder[order]
	delay := a.timing.MinBackoff << min(previous.count, maxDoublings)
	a.byOrder[order] = orderAttempt{count: previous.count + 1, notBefore: now + min(delay, a.timing.MaxBackoff)}
}

// nextDue returns the first of the missing orders that may be given now, and
// forgets those that are no longer missing.
func (a *orderAttempts) nextDue(missing []Order, now time.Duration) (Order, bool) {
	maps.DeleteFunc(a.byOrder, func(order Order, _ orderAttempt) bool { return !slices.Contains(missing, order) })
	for _, order := range missing {
		if now >= a.byOrder[order].notBefore {
			return order, true
		}
	}
	return Order{}, false
}
