package host

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// Stepper is the part of the scheduler that the host calls.
type Stepper interface {
	Step(now time.Time, ev scheduler.Event) []scheduler.Action
}

// PeerLink sends envelopes to other routers without blocking.
type PeerLink interface {
	Send(to state.Router, env *peerpb.Envelope) bool
	Broadcast(env *peerpb.Envelope)
}

// Options configure a Host. Scheduler, Peers and SetPolledUpstreams are
// required.
type Options struct {
	Scheduler Stepper
	Peers     PeerLink
	// SetPolledUpstreams replaces the set of upstreams whose load reports are
	// fetched.
	SetPolledUpstreams func(upstreams []state.Upstream)
	// Now is the clock; nil means SteadyClock.
	Now func() time.Time
	// OnDrained is called once, when a draining router has finished all its
	// requests.
	OnDrained func()
	// OnPanic is called when the scheduler panics. The scheduler's state may
	// then be inconsistent, so the process must end and not continue to serve.
	OnPanic func(err error)
}

// Host feeds events to one scheduler and performs its actions. Its methods are
// safe for concurrent use. Except for Inspect, they do not wait for the
// scheduler.
type Host struct {
	options Options
	system  *actor.ActorSystem
	pid     *actor.PID
	lastID  atomic.Uint64
}

type (
	// submission is a request with the channel for its actions.
	submission struct {
		request scheduler.Request
		actions chan scheduler.Action
	}
	// inspection is a function to run between two steps; done is closed
	// afterwards.
	inspection struct {
		read func()
		done chan struct{}
	}
)

// SteadyClock returns a clock that never runs backwards and whose times have no
// monotonic part. The scheduler needs the first property: if a wall clock is
// set back, every timeout takes longer by that amount. A trace needs the second
// property: the monotonic part is not recorded, so a replay would compare times
// that differ from those of the run.
func SteadyClock() func() time.Time {
	start := time.Now()
	wall := start.Round(0)
	return func() time.Time { return wall.Add(time.Since(start)) }
}

// New starts the actor; Stop ends it.
func New(options Options) *Host {
	if options.Now == nil {
		options.Now = SteadyClock()
	}
	h := &Host{options: options, system: actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))}
	props := actor.PropsFromProducer(func() actor.Actor { return newSchedulerActor(h) })
	h.pid = h.system.Root.Spawn(props)
	return h
}

// discardLogger drops the lines of the actor library, which are not in the
// project's log format. The only important event, a panic, is reported through
// OnPanic.
func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

// Stop ends the actor after it has handled the messages in its mailbox.
func (h *Host) Stop() {
	_ = h.system.Root.PoisonFuture(h.pid).Wait()
	h.system.Shutdown()
}

// Post sends an event to the scheduler.
func (h *Host) Post(ev scheduler.Event) {
	h.system.Root.Send(h.pid, ev)
}

// System returns the actor system, for further actors of the same router.
func (h *Host) System() *actor.ActorSystem { return h.system }

// Now returns the time of the host's clock, for use inside Inspect.
func (h *Host) Now() time.Time { return h.options.Now() }

// NextID returns the ID of a new request.
func (h *Host) NextID() state.RequestID {
	return state.RequestID(h.lastID.Add(1))
}

// Submit sends a request to the scheduler. The channel delivers one Dispatch or
// Refuse at a time, and is closed after the request's last action.
func (h *Host) Submit(req scheduler.Request) <-chan scheduler.Action {
	actions := make(chan scheduler.Action, actionBuffer)
	h.system.Root.Send(h.pid, submission{request: req, actions: actions})
	return actions
}

// Withdraw reports that the caller left. The channel of Submit then delivers at
// most one Dispatch that was already decided, for which ReportEnd must be
// called, and is closed.
func (h *Host) Withdraw(id state.RequestID) {
	h.Post(scheduler.Left{ID: id})
}

// ReportProgress reports the cost since the last report.
func (h *Host) ReportProgress(id state.RequestID, cost state.Cost) {
	h.Post(scheduler.Progressed{ID: id, Cost: cost})
}

// ReportEnd reports how a Dispatch ended.
func (h *Host) ReportEnd(id state.RequestID, cost state.Cost, outcome scheduler.Outcome) {
	h.Post(scheduler.Ended{ID: id, Cost: cost, Outcome: outcome})
}

// Inspect runs read between two steps of the scheduler and waits until it has
// returned.
func (h *Host) Inspect(read func()) {
	done := make(chan struct{})
	h.system.Root.Send(h.pid, inspection{read: read, done: done})
	<-done
}

// actionBuffer is the capacity of a request's channel of actions. It is enough
// for all actions that can be undelivered at once, because the scheduler
// returns the next action only after ReportEnd.
const actionBuffer = 2

// schedulerActor is the actor. Only the actor's goroutine uses its fields.
type schedulerActor struct {
	host    *Host
	waiting map[state.RequestID]*waitingRequest
}

// waitingRequest is a request whose channel of actions is still open.
// dispatched is set from a Dispatch until its end.
type waitingRequest struct {
	actions    chan scheduler.Action
	dispatched bool
}

func newSchedulerActor(h *Host) *schedulerActor {
	return &schedulerActor{host: h, waiting: make(map[state.RequestID]*waitingRequest)}
}

// Receive handles one message.
func (s *schedulerActor) Receive(ctx actor.Context) {
	defer s.failStop()
	switch msg := ctx.Message().(type) {
	case submission:
		s.waiting[msg.request.ID] = &waitingRequest{actions: msg.actions}
		s.step(scheduler.Arrived{Request: msg.request})
	case inspection:
		msg.read()
		close(msg.done)
	case scheduler.Event:
		s.step(msg)
	}
}

// failStop reports a panic to OnPanic, which ends the process. The actor
// library would otherwise restart the actor without its state, and callers
// would wait forever.
func (s *schedulerActor) failStop() {
	cause := recover()
	if cause == nil {
		return
	}
	if s.host.options.OnPanic == nil {
		panic(cause)
	}
	s.host.options.OnPanic(fmt.Errorf("scheduler: %v", cause))
}

func (s *schedulerActor) step(ev scheduler.Event) {
	now := s.host.options.Now()
	actions := s.host.options.Scheduler.Step(now, ev)
	s.updateWaiting(ev)
	for _, a := range actions {
		s.perform(a)
	}
}

// updateWaiting closes the channel of a request that needs no further action
// after an event.
func (s *schedulerActor) updateWaiting(ev scheduler.Event) {
	switch e := ev.(type) {
	case scheduler.Left:
		waiting, ok := s.waiting[e.ID]
		if ok && !waiting.dispatched {
			s.finishRequest(e.ID, waiting)
		}
	case scheduler.Ended:
		s.updateEnded(e)
	}
}

func (s *schedulerActor) updateEnded(e scheduler.Ended) {
	waiting, ok := s.waiting[e.ID]
	if !ok {
		return
	}
	waiting.dispatched = false
	switch e.Outcome {
	case scheduler.OutcomeNotSent, scheduler.OutcomeLost, scheduler.OutcomeUnusable:
		return
	}
	s.finishRequest(e.ID, waiting)
}

func (s *schedulerActor) finishRequest(id state.RequestID, waiting *waitingRequest) {
	close(waiting.actions)
	delete(s.waiting, id)
}

func (s *schedulerActor) perform(a scheduler.Action) {
	switch act := a.(type) {
	case scheduler.Dispatch:
		s.dispatch(act)
	case scheduler.Refuse:
		s.refuse(act)
	case scheduler.Owned:
		s.host.options.SetPolledUpstreams(act.Upstreams)
	case scheduler.Drained:
		if s.host.options.OnDrained != nil {
			s.host.options.OnDrained()
		}
	default:
		s.send(a)
	}
}

// dispatch sends the action to the caller's goroutine. If the caller no longer
// waits, the dispatch is ended at once, so that its slot is freed.
func (s *schedulerActor) dispatch(act scheduler.Dispatch) {
	waiting, ok := s.waiting[act.ID]
	if !ok {
		s.host.ReportEnd(act.ID, 0, scheduler.OutcomeAbandoned)
		return
	}
	waiting.dispatched = true
	waiting.actions <- act
}

func (s *schedulerActor) refuse(act scheduler.Refuse) {
	waiting, ok := s.waiting[act.ID]
	if !ok {
		return
	}
	waiting.actions <- act
	s.finishRequest(act.ID, waiting)
}

func (s *schedulerActor) send(a scheduler.Action) {
	env, to, ok := wire.ToEnvelope(a)
	if !ok {
		return
	}
	if to == "" {
		s.host.options.Peers.Broadcast(env)
		return
	}
	s.host.options.Peers.Send(to, env)
}
