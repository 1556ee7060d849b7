package coldstart

import (
	"math"
	"time"
)

// maxSenders is the number of routers that may send to one cold upstream at the
// same time, because their views of the fleet differ.
const maxSenders = 2

// Limit bounds the requests per second to a cold upstream, relative to the rate
// that it tolerates. The zero value means that there is no bound.
type Limit struct {
	// Factor is multiplied by the tolerated rate, and Extra is a number of
	// requests per second that is added.
	Factor, Extra float64
}

// Enabled reports whether there is a bound.
func (l Limit) Enabled() bool { return l.Factor > 0 || l.Extra > 0 }

// Interval returns the shortest time between two requests of one router to an
// upstream that tolerates the given number of requests per second. It returns
// false if the bound is too low for any request.
//
// Requests at this interval number at most one more than their rate within any
// second, and that of all senders together is within the bound.
func (l Limit) Interval(rate float64) (time.Duration, bool) {
	perSender := math.Floor((rate*l.Factor + l.Extra) / maxSenders)
	perSecond := min(perSender-1, rate)
	if perSecond <= 0 {
		return 0, false
	}
	return time.Duration(float64(time.Second) / perSecond), true
}
