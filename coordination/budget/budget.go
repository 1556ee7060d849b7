// Package budget bounds how often requests are sent to an upstream again. All
// routers together may repeat a fraction of the requests plus a fixed number,
// so that retries never multiply an overload. Each router spends its own part
// without coordination: the fraction of its own requests and an equal part of
// the fixed number.
package budget

import "time"

// Limits holds the operators' bounds for the whole fleet.
type Limits struct {
	// Ratio is the fraction of the requests that may be repeated.
	Ratio float64
	// Slack is the fixed number of additional repeats that all routers together
	// may make within the window.
	Slack float64
	// Window is the duration over which requests and repeats are counted.
	Window time.Duration
}

// usableFraction is the fraction of the allowance that routers use. The rest is
// a margin: each router counts only its own repeats, the repeats of a router
// that has just stopped still count for the fleet, and the windows of different
// routers do not end at the same time.
const usableFraction = 0.7

// bucketCount is the number of buckets: those of the window and one more.
// Without the additional bucket, the repeats counted at the end of a bucket
// would be dropped before the window has passed, and twice the allowance could
// fall into one window.
const bucketCount = 21

type bucket struct {
	interval int64
	requests int
	repeats  int
}

// Budget counts the requests and repeats of one service at this router. The
// zero value is empty. It is not safe for concurrent use.
type Budget struct {
	buckets [bucketCount]bucket
}

func (b *Budget) bucketAt(now time.Time, window time.Duration) *bucket {
	interval := now.UnixNano() / int64(window/(bucketCount-1))
	c := &b.buckets[interval%bucketCount]
	if c.interval != interval {
		*c = bucket{interval: interval}
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

// TryRepeat spends one repeat and returns true if the budget allows it. The
// argument routers is the number of live routers, including this one.
func (b *Budget) TryRepeat(now time.Time, limits Limits, routers int) bool {
	if limits.Window <= 0 {
		return true
	}
	current := b.bucketAt(now, limits.Window)
	var requests, repeats int
	for _, c := range b.buckets {
		if c.interval > current.interval-bucketCount && c.interval <= current.interval {
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
