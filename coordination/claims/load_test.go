package claims

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

const (
	loadSeconds = 10
	// loadCallTime is the duration of a call to the platform in the load tests.
	loadCallTime = 5 * time.Millisecond
	// loadRunTime is the time for which a claimed request runs.
	loadRunTime = 300 * time.Millisecond
)

// load sends claims to a fleet at a constant rate, with a simulated clock that
// advances by one millisecond per step.
type load struct {
	p           *platform
	routers     []*router
	due         []dueEvent
	requestedAt map[state.AttemptID]time.Time
	waits       []time.Duration
	ended       int
}

type dueEvent struct {
	at     time.Time
	router *router
	call   Action
	done   Request
}

func newLoad(routers int) *load {
	l := &load{p: &platform{}, requestedAt: map[state.AttemptID]time.Time{}}
	for i := range routers {
		r := newRouter(state.Router(fmt.Sprint("r", i)), 1)
		r.step(FleetResized{Routers: routers})
		l.routers = append(l.routers, r)
	}
	return l
}

func (l *load) run(t *testing.T, rate int) {
	t.Helper()
	sent := 0
	last := epoch.Add(loadSeconds * time.Second)
	for now := epoch; now.Before(last) || l.ended < rate*loadSeconds; now = now.Add(time.Millisecond) {
		require.Less(t, now.Sub(last), time.Minute, "claims were left undecided")
		for want := int(now.Sub(epoch).Seconds() * float64(rate)); sent < min(want, rate*loadSeconds); sent++ {
			r := l.routers[sent%len(l.routers)]
			req := r.request(fmt.Sprint("k", sent), uint64(sent))
			l.requestedAt[req.Attempt] = now
			r.now = now
			r.step(ClaimWanted{Request: req})
		}
		l.deliver(now)
		for _, r := range l.routers {
			l.advance(t, r, now)
		}
	}
}

func (l *load) deliver(now time.Time) {
	due := l.due
	l.due = nil
	for _, d := range due {
		switch {
		case now.Before(d.at):
			l.due = append(l.due, d)
		case d.call != nil:
			d.router.now = now
			d.router.answer(l.p, d.call)
		default:
			d.router.now = now
			d.router.step(RequestFinished{Request: d.done, Ran: result.RanYes})
			l.ended++
		}
	}
}

func (l *load) advance(t *testing.T, r *router, now time.Time) {
	r.now = now
	r.step(Tick{})
	for _, call := range r.calls {
		l.due = append(l.due, dueEvent{at: now.Add(loadCallTime), router: r, call: call})
	}
	r.calls = nil
	for attempt, res := range r.decided {
		require.Equal(t, result.OK, res.Code)
		l.waits = append(l.waits, now.Sub(l.requestedAt[attempt]))
		done := r.request(fmt.Sprint("k", attempt.Sequence), attempt.Sequence)
		l.due = append(l.due, dueEvent{at: now.Add(loadRunTime), router: r, done: done})
		delete(r.decided, attempt)
	}
}

// TestGroupCommit counts the calls to the platform under load: a burst of
// claims must not use up the writes that settings and status also need.
func TestGroupCommit(t *testing.T) {
	for _, routers := range []int{1, 8} {
		for _, rate := range []int{10, 100, 1000} {
			l := newLoad(routers)
			l.run(t, rate)
			slices.Sort(l.waits)
			n := len(l.waits)
			t.Logf("routers=%d claims/s=%d writes/s=%.1f conflicts/s=%.1f reads/s=%.1f wait p50=%v p99=%v max=%v written/claim=%d B read/claim=%d B seals=%d",
				routers, rate, perSecond(l.p.writes), perSecond(l.p.conflicts), perSecond(l.p.reads),
				l.waits[n/2], l.waits[n*99/100], l.waits[n-1], l.p.writtenBytes/n, l.p.readBytes/n, l.p.seals)
			require.LessOrEqual(t, l.p.writes, FleetRoundsPerSecond*(loadSeconds+3))
			require.Less(t, l.waits[n-1], maxDecisionTime)
		}
	}
}

func perSecond(count int) float64 { return float64(count) / loadSeconds }

// initialKeys is the number of keys in each shard before the load of
// TestWritesStaySmall.
const initialKeys = 20_000

// TestWritesStaySmall checks that the traffic for claims does not grow with the
// number of remembered keys, as it would if each write carried all of them. A
// write carries at most one segment, and each router reads every segment that
// is new to it once.
func TestWritesStaySmall(t *testing.T) {
	for _, rate := range []int{10, 100, 1000} {
		l := newLoad(8)
		l.p.fill(t, initialKeys)
		l.run(t, rate)
		n := len(l.waits)
		t.Logf("keys=%d claims/s=%d written/claim=%d B read/claim=%d B reads of whole chains=%d of %d B each writes/s=%.1f reads/s=%.1f",
			Shards*initialKeys, rate, l.p.writtenBytes/n, (l.p.readBytes-l.p.wholeReadBytes)/n, l.p.wholeReads, l.p.wholeReadBytes/l.p.wholeReads,
			perSecond(l.p.writes), perSecond(l.p.reads))
		require.LessOrEqual(t, l.p.writtenBytes, 2*SegmentBytes*l.p.writes)
		require.LessOrEqual(t, l.p.wholeReads, 8*Shards, "each router reads the whole chain of a shard at most once")
	}
}

// fill gives each shard a chain with the given number of keys.
func (p *platform) fill(t *testing.T, keys int) {
	t.Helper()
	segments := completedSegments(keys)
	for shard := range Shards {
		for slot, segment := range segments {
			value, err := segment.Encode()
			require.NoError(t, err)
			require.Equal(t, WriteOK, p.write(Write{Shard: shard, Slot: slot, Value: value}).Outcome)
		}
	}
	p.writes, p.writtenBytes, p.seals = 0, 0, 0
}
