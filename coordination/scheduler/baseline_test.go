package scheduler

import (
	"time"

	"github.com/figstile/figstile/state"
)

// roundRobin sends each request at once to the next engine in rotation.
type roundRobin struct {
	engines []state.Upstream
	next    int
}

func newRoundRobin(_ Peer, seed uint64) stepper { return &roundRobin{next: int(seed)} }

func (r *roundRobin) Step(_ time.Time, ev Event) []Action {
	switch e := ev.(type) {
	case Configured:
		for _, u := range e.Settings.Services[0].Upstreams {
			r.engines = append(r.engines, u.Name)
		}
	case Arrived:
		r.next++
		return []Action{Dispatch{ID: e.Request.ID, Upstream: r.engines[r.next%len(r.engines)], Attempt: 1}}
	}
	return nil
}

// isolatedScheduler schedules fairly, but only among the requests and engines
// of one router. Each owner is a Scheduler that receives no demand or counters
// of peers.
type isolatedScheduler struct{ *Scheduler }

func newIsolatedScheduler(self Peer, seed uint64) stepper {
	return isolatedScheduler{New(Options{Self: self, Seed: seed})}
}

func (r isolatedScheduler) Step(now time.Time, ev Event) []Action {
	switch ev.(type) {
	case DemandHeard, UsageHeard, GrantHeard:
		return nil
	}
	return r.Scheduler.Step(now, ev)
}
