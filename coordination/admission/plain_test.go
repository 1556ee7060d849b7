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
	plainService = "pages"
	plainWork    = 60 * time.Millisecond
	plainSlots   = 6
	plainQueue   = 8
	plainTarget  = 300 * time.Millisecond
	plainPatient = 1500 * time.Millisecond
)

// page is one caller's request for a page.
type page struct {
	began    time.Duration
	attempts int
	// done is when the answer came; zero if none did.
	done time.Duration
}

func (p page) onTime() bool { return p.done > 0 && p.done-p.began <= plainTarget }

// plainFleet replays pages on many routers before a few plain workers. Routers
// hear of each other's placements a while later.
type plainFleet struct {
	routers []*placement.Picture
	// delay is the age of what routers hear of each other.
	delay   time.Duration
	workers map[state.Upstream]*plainWorker
	draw    *rand.Rand
	events  []pendingEvent
	pages   []*page
	// arrivals counts requests at workers, rejected those that were full.
	arrivals, rejected int
}

// plainWorker serves some requests at a time and queues a few.
type plainWorker struct{ running, queued int }

func newPlainFleet(routers, workers int, delay time.Duration, seed uint64) *plainFleet {
	f := &plainFleet{workers: make(map[state.Upstream]*plainWorker), delay: delay, draw: rand.New(rand.NewPCG(seed, 9))}
	for range routers {
		f.routers = append(f.routers, placement.New("dc"))
		f.routers[len(f.routers)-1].Seed(f.draw.Uint64())
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

func (f *plainFleet) later(at time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(f.events, at, func(e pendingEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	f.events = slices.Insert(f.events, i, pendingEvent{at, do})
}

// run replays a number of pages a second for a while.
func (f *plainFleet) run(perSecond float64, length time.Duration) {
	for at := time.Duration(0); at < length; {
		at += time.Duration(f.draw.ExpFloat64() / perSecond * float64(time.Second))
		p := &page{began: at}
		f.pages = append(f.pages, p)
		f.later(at, func() { f.ask(at, p) })
	}
	for at := f.delay; at < length; at += f.delay {
		f.later(at, func() { f.tell(at) })
	}
	for len(f.events) > 0 {
		next := f.events[0]
		f.events = f.events[1:]
		next.do()
	}
}

func (f *plainFleet) tell(at time.Duration) {
	for i, from := range f.routers {
		loads := from.TakeChanged()
		if len(loads) == 0 {
			continue
		}
		source := state.Router(fmt.Sprint(i))
		for j, to := range f.routers {
			if i != j {
				to.Heard(epoch.Add(at), source, loads, false)
			}
		}
	}
}

// ask sends a page to any router; each attempt of a caller reaches another.
func (f *plainFleet) ask(at time.Duration, p *page) {
	p.attempts++
	r := f.routers[f.draw.IntN(len(f.routers))]
	f.dispatch(at, p, r, Request{
		Work:    placement.Work{Service: plainService, Target: plainTarget},
		Elapsed: at - p.began, Timeout: plainPatient - (at - p.began),
	})
}

func (f *plainFleet) dispatch(at time.Duration, p *page, r *placement.Picture, request Request) {
	best, found := r.Choose(epoch.Add(at), request.Work)
	verdict := Decide(request, best, found, shares.Standing{}, f.draw.Float64())
	if !verdict.Admit() {
		f.refused(at, p, verdict.RetryAfter)
		return
	}
	ticket := r.Place(epoch.Add(at), request.Work, best)
	w := f.workers[best.Upstream]
	f.arrivals++
	if w.running+w.queued >= plainSlots+plainQueue {
		f.rejected++
		r.End(epoch.Add(at), ticket, placement.Rejected)
		request.Excluded = append(request.Excluded, best.Upstream)
		if len(request.Excluded) < 2 {
			f.dispatch(at, p, r, request)
			return
		}
		f.refused(at, p, 250*time.Millisecond)
		return
	}
	w.queued++
	finish := func(at time.Duration) {
		p.done = at
		r.End(epoch.Add(at), ticket, placement.Answered)
	}
	f.serve(at, w, finish)
}

func (f *plainFleet) refused(at time.Duration, p *page, after time.Duration) {
	if p.attempts < 2 {
		f.later(at+after, func() { f.ask(at+after, p) })
	}
}

// serve starts work if a slot is free; a worker's queue is in order of arrival,
// so that it is enough to count who waits.
func (f *plainFleet) serve(at time.Duration, w *plainWorker, finish func(time.Duration)) {
	if w.running >= plainSlots {
		f.later(at+time.Millisecond, func() { f.serve(at+time.Millisecond, w, finish) })
		return
	}
	w.running++
	w.queued--
	end := at + time.Duration(float64(plainWork)*(0.5+f.draw.Float64()))
	f.later(end, func() {
		w.running--
		finish(end)
	})
}

func (f *plainFleet) report() (onTime, served float64) {
	for _, p := range f.pages {
		if p.onTime() {
			onTime++
		}
		if p.done > 0 {
			served++
		}
	}
	n := float64(len(f.pages))
	return onTime / n, served / n
}

// A kiosk service gets four fifths of what its workers can do, all of it, and a
// fifth more, from callers of many routers that hear of each other a fifth of a
// second late. Routers that all follow the same old news send to one worker
// until it rejects them, while the others idle.
func TestPlainWorkersStayBusyOnOldNews(t *testing.T) {
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
		onTime, served := f.report()
		rejected := float64(f.rejected) / float64(f.arrivals)
		t.Logf("%d routers, %.0f a second: on time %.2f, served %.2f, rejected %.2f of the arrivals", load.routers, load.perSecond, onTime, served, rejected)
		require.Greater(t, onTime, load.onTime)
		require.Greater(t, served, load.served)
		require.Less(t, rejected, load.rejected)
	}
}
