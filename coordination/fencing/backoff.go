package fencing

import (
	"maps"
	"slices"
	"time"
)

// attempts remembers the orders that were given and did not show their effect
// yet. Each order backs off on its own: a model that cannot be loaded must
// neither be loaded over and over, which uses up the weight store's rate, nor
// hold up the orders behind it.
type attempts struct {
	timing Timing
	given  map[Order]attempt
}

// attempt is how often an order was given and when it may be given again.
type attempt struct {
	times int
	after time.Duration
}

// maxDoublings keeps the shift far from overflow.
const maxDoublings = 10

// ended notes the end of an order.
func (a *attempts) ended(order Order, now time.Duration) {
	order.Number = 0
	last := a.given[order]
	delay := a.timing.FirstBackoff << min(last.times, maxDoublings)
	a.given[order] = attempt{times: last.times + 1, after: now + min(delay, a.timing.LastBackoff)}
}

// due returns the first of the missing orders that may be given now, and
// forgets those that are no longer missing.
func (a *attempts) due(missing []Order, now time.Duration) (Order, bool) {
	maps.DeleteFunc(a.given, func(order Order, _ attempt) bool { return !slices.Contains(missing, order) })
	for _, order := range missing {
		if now >= a.given[order].after {
			return order, true
		}
	}
	return Order{}, false
}
