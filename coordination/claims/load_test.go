package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state/result"
)

// commitLoad drives one of eight routers in steps of a millisecond and returns
// the calls it made.
func commitLoad(t *testing.T, rate, seconds int, callTime time.Duration) (reads, writes int) {
	t.Helper()
	p := &platform{}
	r := newRouter("pudahuel-1", 1)
	r.step(FleetSized{Routers: 8})
	type timed struct {
		at   time.Time
		call Action
		done Request
	}
	var due []timed
	sent, finished := 0, 0
	last := epoch.Add(time.Duration(seconds) * time.Second)
	for ; r.now.Before(last) || finished < rate*seconds; r.now = r.now.Add(time.Millisecond) {
		require.Less(t, r.now.Sub(last), time.Minute, "claims were left undecided")
		for want := int(r.now.Sub(epoch).Seconds() * float64(rate)); sent < min(want, rate*seconds); sent++ {
			r.step(Wanted{Request: r.request(fmt.Sprint("k", sent), uint64(sent))})
		}
		later := due[:0:0]
		for _, d := range due {
			switch {
			case r.now.Before(d.at):
				later = append(later, d)
			case d.call != nil:
				r.answer(p, d.call)
			default:
				r.step(Finished{Request: d.done, Ran: result.RanYes})
				finished++
			}
		}
		due = later
		r.step(Tick{})
		for _, call := range r.calls {
			due = append(due, timed{at: r.now.Add(callTime), call: call})
		}
		r.calls = nil
		for attempt, res := range r.decided {
			require.Equal(t, result.OK, res.Code)
			done := r.request(fmt.Sprint("k", attempt.Sequence), attempt.Sequence)
			due = append(due, timed{at: r.now.Add(300 * time.Millisecond), done: done})
			delete(r.decided, attempt)
		}
	}
	return p.reads, p.writes
}
