// Package budget bounds how often requests are sent to an upstream again. All
// routers together may repeat a part of the requests and a fixed number more,
// so that retries never multiply an overload. Each router spends its own part
// without asking anybody: a part of its own requests and an even part of the
// fixed number.
package budget

import "time"

// Limits are the operators' bounds for the whole fleet.
type Limits struct {
	// Ratio is the part of the requests that may be repeated.
	Ratio float64
	// Slack is the number of repeats beyond, over the window, of all routers.
	Slack float64
	// Window is the time over which both are counted.
	Window time.Duration
}

// usableFraction is the part of the allowance that is used: peers count alone, a
// router that has just gone has spent, and windows of different routers don't
// end together.
const usableFraction = 0.7

// bucketCount cover the window and one bucket more. With a bucket less, what was
// spent at the end of one would be forgotten before the window has passed, and
// twice the allowance could fall into one window.
const bucketCount = 21

type bucket struct {
	slot     int64
	requests int
	repeats  int
}

// Budget counts one service's requests and repeats at this router. The zero
// value is empty. It is not safe for concurrent use.
type Budget struct {
	buckets [bucketCount]bucket
}

func (b *Budget) bucketAt(now time.Time, window time.Duration) *bucket {
	slot := now.UnixNano() / int64(window/(bucketCount-1))
	c := &b.buckets[slot%bucketCount]
	if c.slot != slot {
		*c = bucket{slot: slot}
	}
	return c
}

// RecordRequest counts a request that arrived.
func (b *Budget) RecordRequest(now time.Time, limits Limits) {
	if limits.Window <= 0 {
		return
	}
	b.bucketAt(now, limits.Window).requests++
}

// TryRepeat spends one repeat if the budget has it. Routers is the number of live
// routers, this one included.
func (b *Budget) TryRepeat(now time.Time, limits Limits, routers int) bool {
	if limits.Window <= 0 {
		return true
	}
	current := b.bucketAt(now, limits.Window)
	var requests, repeats int
	for _, c := range b.buckets {
		if c.slot > current.slot-bucketCount && c.slot <= current.slot {
			requests += c.requests
			repeats += c.repeats
		}
	}
	allowed := usableFraction * (limits.Ratio*float64(requests) + limits.Slack/float64(max(routers, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}
