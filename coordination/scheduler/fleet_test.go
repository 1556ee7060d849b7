package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/google/btree"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// stepper is a Scheduler or a baseline to compare it with.
type stepper interface {
	Step(now time.Time, ev Event) []Action
}

type timedCall struct {
	at  time.Time
	seq int
	run func()
}

func (t timedCall) before(o timedCall) bool {
	return t.at.Before(o.at) || t.at.Equal(o.at) && t.seq < o.seq
}

type job struct {
	id                         state.RequestID
	entryRouter                *router
	ws                         state.Workspace
	cost                       time.Duration
	arrived, started, reported time.Time
	running                    bool
	refusals, finalAnswers     int
}

type router struct {
	name        state.Router
	scheduler   stepper
	incarnation state.Incarnation
	partition   int
	owned       []state.Upstream
	jobs        map[state.RequestID]*job
	lastRequest state.RequestID
}

// fleet is an in-memory network of routers and engines with a simulated clock.
// Costs are in slot-seconds. The run is determined by the seed alone.
type fleet struct {
	now          time.Time
	seq          int
	pending      *btree.BTreeG[timedCall]
	rng          *rand.Rand
	routers      []*router
	engines      []*engine
	byName       map[state.Upstream]*engine
	served       map[state.Workspace]time.Duration
	waits        map[state.Workspace][]time.Duration
	busySlotTime time.Duration
	slotsInUse   int
	messages     int
	// cost draws the cost of a request. onEnd is called at the end of each
	// request and onStep after each step of a router. dispatchFailure returns
	// the outcome with which a dispatch fails, or zero if it succeeds.
	cost            func(ws state.Workspace) time.Duration
	model           func(ws state.Workspace) state.Model
	onEnd           func(j *job)
	onStep          func(r *router, ev Event, actions []Action)
	dispatchFailure func() Outcome
}

const (
	netDelay     = time.Millisecond
	reportPeriod = 500 * time.Millisecond
	reportDelay  = 100 * time.Millisecond
)

func newFleet(routers, engines, slots int, seed uint64, build func(self Peer, seed uint64) stepper) *fleet {
	f := &fleet{
		now: time.Unix(1_700_000_000, 0), pending: btree.NewG(8, timedCall.before), rng: rand.New(rand.NewPCG(seed, 1)), byName: map[state.Upstream]*engine{},
		served: map[state.Workspace]time.Duration{}, waits: map[state.Workspace][]time.Duration{},
		model: func(state.Workspace) state.Model { return "" }, onEnd: func(*job) {}, onStep: func(*router, Event, []Action) {}, dispatchFailure: func() Outcome { return 0 },
	}
	f.cost = func(state.Workspace) time.Duration { return f.lognormal(4*time.Second, 1) }
	for i := range engines {
		e := &engine{name: state.Upstream(fmt.Sprintf("engine-%02d", i)), slots: slots / engines, slowdown: 1, running: map[*job]struct{}{}}
		if i < slots%engines {
			e.slots++
		}
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
	}
	for i := range routers {
		self := Peer{Router: state.Router(fmt.Sprintf("router-%d", i)), DataCentre: dataCentreName(i), Incarnation: 1}
		f.routers = append(f.routers, &router{name: self.Router, incarnation: 1, scheduler: build(self, seed), jobs: map[state.RequestID]*job{}})
	}
	return f
}

func dataCentreName(i int) state.DataCentre { return state.DataCentre(fmt.Sprintf("dc-%d", i%4)) }

func (f *fleet) settings(shares map[state.Workspace]float64) config.Settings {
	svc := config.Service{Name: "draft", Kind: config.KindEngine, Limits: config.Limits{QueueRequests: 10_000, DeadlineMillis: 3_600_000}}
	for i, e := range f.engines {
		svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: e.name, DataCentre: dataCentreName(i)})
	}
	out := config.Settings{Services: []config.Service{svc}}
	for i := range len(shares) {
		out.Workspaces = append(out.Workspaces, config.WorkspaceSettings{Name: workspaceName(i), Share: shares[workspaceName(i)]})
	}
	return out
}

func workspaceName(i int) state.Workspace { return state.Workspace(fmt.Sprintf("w%02d", i)) }

// start starts every router and the periodic tasks.
func (f *fleet) start(settings config.Settings) {
	f.sendPeers()
	for _, r := range f.routers {
		f.deliver(r, Configured{Settings: settings})
		f.every(TickInterval, func() { f.deliver(r, Tick{}) })
	}
	for _, e := range f.engines {
		f.every(reportPeriod, func() { f.sendReport(e) })
	}
}

// sendPeers sends every router the list of routers that it can reach.
func (f *fleet) sendPeers() {
	for _, r := range f.routers {
		var peers []Peer
		for i, p := range f.routers {
			if p.partition == r.partition {
				peers = append(peers, Peer{Router: p.name, DataCentre: dataCentreName(i), Incarnation: p.incarnation})
			}
		}
		f.deliver(r, PeersChanged{Peers: peers})
	}
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	f.pending.ReplaceOrInsert(timedCall{at: f.now.Add(d), seq: f.seq, run: run})
}

func (f *fleet) every(d time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		run()
		f.after(d, repeat)
	}
	f.after(time.Duration(f.rng.Int64N(int64(d))), repeat)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); ; {
		next, ok := f.pending.Min()
		if !ok || next.at.After(end) {
			return
		}
		f.pending.DeleteMin()
		f.busySlotTime += time.Duration(f.slotsInUse) * next.at.Sub(f.now)
		f.now = next.at
		next.run()
	}
}

func (f *fleet) lognormal(median time.Duration, sigma float64) time.Duration {
	return min(time.Duration(float64(median)*math.Exp(sigma*f.rng.NormFloat64())), time.Minute)
}

func (f *fleet) submit(r *router, ws state.Workspace) *job {
	r.lastRequest++
	j := &job{id: r.lastRequest, entryRouter: r, ws: ws, cost: f.cost(ws), arrived: f.now}
	r.jobs[j.id] = j
	f.deliver(r, Arrived{Request: Request{ID: j.id, Service: "draft", Workspace: ws, Model: f.model(ws), Repeatable: true}})
	return j
}

func (f *fleet) send(from *router, to state.Router, ev Event) {
	for _, r := range f.routers {
		if r != from && (to == "" || r.name == to) {
			f.messages++
			f.after(netDelay, func() {
				if r.partition == from.partition {
					f.deliver(r, ev)
				}
			})
		}
	}
}

func (f *fleet) deliver(r *router, ev Event) {
	actions := r.scheduler.Step(f.now, ev)
	f.onStep(r, ev, actions)
	for _, a := range actions {
		f.perform(r, a)
	}
}

func (f *fleet) perform(r *router, action Action) {
	switch a := action.(type) {
	case Dispatch:
		j := r.jobs[a.ID]
		j.running = true
		f.waits[j.ws] = append(f.waits[j.ws], f.now.Sub(j.arrived))
		f.after(netDelay, func() { f.connect(f.byName[a.Upstream], j) })
	case Refuse:
		r.jobs[a.ID].refusals++
		f.finish(r.jobs[a.ID])
	case SendCrash, SendLeaving, Drained:
	case SendDemand:
		f.send(r, a.To, DemandHeard{From: r.name, Demand: a.Demand})
	case SendGrant:
		f.send(r, a.To, GrantHeard{Grant: a.Grant})
		if f.rng.IntN(100) == 0 {
			f.send(r, a.To, GrantHeard{Grant: a.Grant})
		}
	case SendDecline:
		f.send(r, a.To, DeclineHeard{From: r.name, Sequence: a.Sequence, Service: a.Service, Demand: a.Demand})
	case SendProgress:
		f.send(r, a.To, ProgressHeard{From: r.name, Sequence: a.Sequence, Upstream: a.Upstream, Service: a.Service, Workspace: a.Workspace, Cost: a.Cost, Started: a.Started})
	case SendEnded:
		f.send(r, a.To, EndedHeard{From: r.name, Sequence: a.Sequence, Upstream: a.Upstream, Service: a.Service, Workspace: a.Workspace, Cost: a.Cost, Outcome: a.Outcome})
	case SendUsage:
		f.send(r, a.To, UsageHeard{Origin: a.Origin, Incarnation: a.Incarnation, Entries: a.Entries, Full: a.Full})
	case Owned:
		r.owned = a.Upstreams
	}
}

func (f *fleet) finish(j *job) {
	j.finalAnswers++
	f.onEnd(j)
}
