package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

const (
	plainService  = "pages"
	plainWorkTime = 60 * time.Millisecond
	plainSlots    = 6
	plainQueue    = 8
	plainTarget   = 300 * time.Millisecond
	plainTimeout  = 1500 * time.Millisecond
)

// plainRequest is the request of one caller, with its retries.
type plainRequest struct {
	firstSentAt time.Duration
	attempts    int
	// answeredAt is when the answer arrived, zero if none did.
	answeredAt time.Duration
}

func (p plainRequest) onTime() bool {
	return p.answeredAt > 0 && p.answeredAt-p.firstSentAt <= plainTarget
}

// plainFleet replays plain requests on many routers in front of a few plain
// workers. Routers receive each other's loads with a delay.
type plainFleet struct {
	routers []*placement.View
	// exchangeDelay is the age of the loads that routers receive from each
	// other.
	exchangeDelay time.Duration
	workers       map[state.Upstream]*plainWorker
	rng           *rand.Rand
	events        []scheduledEvent
	requests      []*plainRequest
	// dispatched counts requests sent to workers, rejected those that arrived
	// at a full worker.
	dispatched, rejected int
}

// plainWorker serves several requests at a time and queues a few more.
type plainWorker struct{ running, queued int }

func newPlainFleet(routers, workers int, delay time.Duration, seed uint64) *plainFleet {
	f := &plainFleet{workers: make(map[state.Upstream]*plainWorker), exchangeDelay: delay, rng: rand.New(rand.NewPCG(seed, 9))}
	for range routers {
		f.routers = append(f.routers, placement.New("dc"))
		f.routers[len(f.routers)-1].SeedScatter(f.rng.Uint64())
	}
	for i := range workers {
		id := state.Upstream(fmt.Sprintf("w%d", i))
		f.workers[id] = &plainWorker{}
		for _, r := range f.routers {
			r.SetUpstream(directory.Upstream{ID: id, Service: plainService, Address: "a", DataCentre: "dc", Slots: plainSlots})
		}
	}
	return f
}

func (f *plainFleet) schedule(at time.Duration, run func()) {
	i, _ := slices.BinarySearchFunc(f.events, at, func(e scheduledEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	f.events = slices.Insert(f.events, i, scheduledEvent{at, run})
}

// run replays requests at a rate per second for a duration.
func (f *plainFleet) run(perSecond float64, duration time.Duration) {
	for at := time.Duration(0); at < duration; {
		at += time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
		p := &plainRequest{firstSentAt: at}
		f.requests = append(f.requests, p)
		f.schedule(at, func() { f.send(at, p) })
	}
	for at := f.exchangeDelay; at < duration; at += f.exchangeDelay {
		f.schedule(at, func() { f.exchangeLoads(at) })
	}
	for len(f.events) > 0 {
		next := f.events[0]
		f.events = f.events[1:]
		next.run()
	}
}

func (f *plainFleet) exchangeLoads(at time.Duration) {
	for i, from := range f.routers {
		loads := from.TakeChangedLoads()
		if len(loads) == 0 {
			continue
		}
		source := state.Router(fmt.Sprint(i))
		for j, to := range f.routers {
			if i != j {
				to.ReceiveLoads(epoch.Add(at), source, loads, false)
			}
		}
	}
}

// send sends a request to a random router. The retries of a caller may reach
// other routers.
func (f *plainFleet) send(at time.Duration, p *plainRequest) {
	p.attempts++
	r := f.routers[f.rng.IntN(len(f.routers))]
	f.dispatch(at, p, r, Request{
		Work:    placement.Work{Service: plainService, TargetLatency: plainTarget},
		Elapsed: at - p.firstSentAt, Timeout: plainTimeout - (at - p.firstSentAt),
	})
}

func (f *plainFleet) dispatch(at time.Duration, p *plainRequest, r *placement.View, request Request) {
	best, found := r.Choose(epoch.Add(at), request.Work)
	verdict := Decide(request, best, found, shares.Standing{}, f.rng.Float64())
	if !verdict.IsAdmitted() {
		f.scheduleRetry(at, p, verdict.RetryAfter)
		return
	}
	ticket := r.Place(epoch.Add(at), request.Work, best)
	w := f.workers[best.Upstream]
	f.dispatched++
	if w.running+w.queued >= plainSlots+plainQueue {
		f.rejected++
		r.RecordEnd(epoch.Add(at), ticket, placement.Rejected)
		request.Excluded = append(request.Excluded, best.Upstream)
		if len(request.Excluded) < 2 {
			f.dispatch(at, p, r, request)
			return
		}
		f.scheduleRetry(at, p, 250*time.Millisecond)
		return
	}
	w.queued++
	finish := func(at time.Duration) {
		p.answeredAt = at
		r.RecordEnd(epoch.Add(at), ticket, placement.Answered)
	}
	f.serve(at, w, finish)
}

func (f *plainFleet) scheduleRetry(at time.Duration, p *plainRequest, after time.Duration) {
	if p.attempts < 2 {
		f.schedule(at+after, func() { f.send(at+after, p) })
	}
}

// serve starts a request if a slot is free and polls for a slot otherwise. A
// worker serves its queue in order of arrival, so counting the queued requests
// is sufficient.
func (f *plainFleet) serve(at time.Duration, w *plainWorker, finish func(time.Duration)) {
	if w.running >= plainSlots {
		f.schedule(at+time.Millisecond, func() { f.serve(at+time.Millisecond, w, finish) })
		return
	}
	w.running++
	w.queued--
	end := at + time.Duration(float64(plainWorkTime)*(0.5+f.rng.Float64()))
	f.schedule(end, func() {
		w.running--
		finish(end)
	})
}

func (f *plainFleet) servedFractions() (onTime, served float64) {
	for _, p := range f.requests {
		if p.onTime() {
			onTime++
		}
		if p.answeredAt > 0 {
			served++
		}
	}
	n := float64(len(f.requests))
	return onTime / n, served / n
}

// A service gets 80, 100 and 120 percent of its workers' capacity from callers
// of many routers, whose loads are up to 200 ms old when peers receive them.
// Routers that all follow the same old loads send every request to one worker
// until it rejects them, while the other workers idle.
func TestPlainWorkersStayUtilisedWithStaleLoads(t *testing.T) {
	for _, load := range []struct {
		routers, workers         int
		delay                    time.Duration
		perSecond                float64
		onTime, served, rejected float64
	}{
		{85, 5, 200 * time.Millisecond, 400, 0.97, 0.98, 0.05},
		{85, 5, 200 * time.Millisecond, 500, 0.85, 0.9, 0.25},
		{85, 5, 200 * time.Millisecond, 600, 0.7, 0.75, 0.45},
		{8, 4, 100 * time.Millisecond, 320, 0.98, 0.98, 0.02},
		{8, 4, 100 * time.Millisecond, 480, 0.72, 0.75, 0.35},
		{1, 4, 100 * time.Millisecond, 320, 0.98, 0.98, 0.02},
	} {
		f := newPlainFleet(load.routers, load.workers, load.delay, 1)
		f.run(load.perSecond, 10*time.Second)
		onTime, served := f.servedFractions()
		rejected := float64(f.rejected) / float64(f.dispatched)
		t.Logf("%d routers, %.0f a second: on time %.2f, served %.2f, rejected %.2f of the arrivals", load.routers, load.perSecond, onTime, served, rejected)
		require.Greater(t, onTime, load.onTime)
		require.Greater(t, served, load.served)
		require.Less(t, rejected, load.rejected)
	}
}
