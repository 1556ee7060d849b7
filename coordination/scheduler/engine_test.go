package scheduler

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// engine runs requests in its slots and queues those for which no slot is free.
type engine struct {
	name             state.Upstream
	partition, slots int
	slowdown         float64
	running          map[*job]struct{}
	waiting          []*job
	models           []state.Model
}

func (f *fleet) sendReport(e *engine) {
	report := Reported{Report: state.LoadReport{Upstream: e.name, Boot: "1", Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots, Models: e.models}}
	f.after(reportDelay, func() {
		for _, r := range f.routers {
			switch {
			case !slices.Contains(r.owned, e.name):
			case r.partition == e.partition:
				f.deliver(r, report)
			default:
				f.deliver(r, Unreachable{Upstream: e.name})
			}
		}
	})
}

func (f *fleet) connect(e *engine, j *job) {
	outcome := f.dispatchFailure()
	if e.partition != j.entryRouter.partition {
		outcome = OutcomeNotSent
	}
	if outcome == 0 {
		f.admit(e, j)
		return
	}
	j.running = false
	f.deliver(j.entryRouter, Ended{ID: j.id, Outcome: outcome})
}

func (f *fleet) admit(e *engine, j *job) {
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, j)
		return
	}
	e.running[j] = struct{}{}
	f.slotsInUse++
	j.started, j.reported = f.now, f.now
	f.advance(e, j)
}

// advance reports one second of progress of a request, or its end.
func (f *fleet) advance(e *engine, j *job) {
	remaining := time.Duration(float64(j.cost)*e.slowdown) - f.now.Sub(j.started)
	f.after(min(remaining, time.Second), func() {
		spent := f.now.Sub(j.reported)
		j.reported = f.now
		f.served[j.ws] += spent
		if remaining > time.Second {
			f.deliver(j.entryRouter, Progressed{ID: j.id, Cost: state.Cost(spent.Milliseconds())})
			f.advance(e, j)
			return
		}
		delete(e.running, j)
		f.slotsInUse--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			f.admit(e, next)
		}
		f.after(netDelay, func() {
			j.running = false
			f.deliver(j.entryRouter, Ended{ID: j.id, Cost: state.Cost(spent.Milliseconds()), Outcome: OutcomeServed})
			f.finish(j)
		})
	})
}
