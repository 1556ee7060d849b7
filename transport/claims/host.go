package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/objectstore"
)

const (
	// callTimeout bounds one call to the platform, which answers in
	// milliseconds. A call that takes this long has most likely been lost.
	callTimeout = time.Second
	// claimTimeout bounds a caller's wait for its claim: two calls that time
	// out and a round between them. Then it hears "not run" and may send
	// again, which serves it better than an open connection.
	claimTimeout = 3 * time.Second
	// chainTimeout bounds the read of a whole chain, once for each shard after
	// a start: some megabytes where a shard remembers all that it may. While
	// a platform that does not answer is not known to be away, every caller
	// waits in vain, hence no longer than one of them would.
	chainTimeout = claimTimeout
)

// Options wire a Host.
type Options struct {
	Router      state.Router
	Incarnation state.Incarnation
	Store       objectstore.Store
	System      *actor.ActorSystem
	Log         zerolog.Logger
	// Now is the clock; nil takes the system's.
	Now func() time.Time
}

// Host runs the claims of one router.
type Host struct {
	opts   Options
	pid    *actor.PID
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	closed atomic.Bool

	// What follows belongs to the actor.
	machine   *claims.Machine
	waiting   map[state.AttemptID]chan<- result.Result
	tickTimer *time.Timer
	flushDone chan<- struct{}
	panicked  bool
}

// claimMessage is a claim with the channel its decision goes to.
type claimMessage struct {
	request  claims.Request
	decision chan<- result.Result
}

// flushMessage asks to be told once nothing is pending.
type flushMessage struct {
	done chan<- struct{}
}

// NewHost starts a host.
func NewHost(opts Options) *Host {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		opts:    opts,
		ctx:     ctx,
		cancel:  cancel,
		machine: claims.NewMachine(opts.Router, opts.Incarnation),
		waiting: make(map[state.AttemptID]chan<- result.Result),
	}
	// The function and not a producer: a restart by the supervisor keeps the
	// machine, which alone knows the claims to be taken back.
	h.pid = opts.System.Root.Spawn(actor.PropsFromFunc(h.receive))
	return h
}

// Claim asks for the right to run a request. Any result but OK is final and
// nothing may be sent.
func (h *Host) Claim(ctx context.Context, req claims.Request) result.Result {
	if h.closed.Load() {
		return result.New(result.Draining, "")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer := make(chan result.Result, 1)
	h.send(claimMessage{request: req, decision: answer})
	select {
	case res := <-answer:
		return res
	case <-ctx.Done():
		h.send(claims.ClaimWithdrawn{Request: req})
		return result.New(result.ClaimUnavailable, "")
	}
}

// Complete records what became of a claimed request. It does not block.
func (h *Host) Complete(req claims.Request, ran result.Ran) {
	h.send(claims.RequestFinished{Request: req, Ran: ran})
}

// SetRouterCount says how many routers share the platform.
func (h *Host) SetRouterCount(routers int) {
	h.send(claims.FleetResized{Routers: routers})
}

// Close takes no more claims, writes what is pending and stops. It returns the
// context's error if the platform does not take everything in time; the keys
// concerned then read as in progress and later as unknown.
func (h *Host) Close(ctx context.Context) error {
	h.closed.Store(true)
	done := make(chan struct{}, 1)
	h.send(flushMessage{done: done})
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	// The actor stops first, so that no call starts while they are awaited.
	_ = h.opts.System.Root.PoisonFuture(h.pid).Wait()
	h.cancel()
	h.calls.Wait()
	return err
}

func (h *Host) send(message any) { h.opts.System.Root.Send(h.pid, message) }

// receive is the actor: one message at a time reaches the machine.
func (h *Host) receive(c actor.Context) {
	if h.panicked {
		h.refuse(c.Message())
		return
	}
	defer h.failClosed()
	h.handle(c.Message())
}

// failClosed ends the use of a machine that panicked. A step that broke off
// leaves it half changed, and the supervisor would go on with it: it could grant
// a key twice. Every claim is refused instead until the router is replaced.
func (h *Host) failClosed() {
	cause := recover()
	if cause == nil {
		return
	}
	h.panicked = true
	h.stopTimer()
	h.opts.Log.Error().Str("event", "claims-broken").Interface("panic", cause).Send()
	for attempt, answer := range h.waiting {
		delete(h.waiting, attempt)
		answer <- result.New(result.ClaimUnavailable, "")
	}
	if h.flushDone != nil {
		close(h.flushDone)
	}
}

// refuse answers messages once the machine is broken.
func (h *Host) refuse(message any) {
	switch m := message.(type) {
	case claimMessage:
		m.decision <- result.New(result.ClaimUnavailable, "")
	case flushMessage:
		close(m.done)
	}
}

func (h *Host) handle(message any) {
	switch m := message.(type) {
	case claimMessage:
		h.waiting[m.request.Attempt] = m.decision
		h.step(claims.ClaimWanted{Request: m.request})
	case claims.ClaimWithdrawn:
		delete(h.waiting, m.Request.Attempt)
		h.step(m)
	case flushMessage:
		h.flushDone = m.done
		h.step(claims.FlushRequested{})
	case claims.Event:
		h.step(m)
	case *actor.Stopping:
		h.stopTimer()
	}
}

func (h *Host) step(event claims.Event) {
	for _, action := range h.machine.Step(h.opts.Now(), event) {
		h.perform(action)
	}
	if h.flushDone != nil && h.machine.Pending() == 0 {
		close(h.flushDone)
		h.flushDone = nil
	}
}

func (h *Host) perform(action claims.Action) {
	switch a := action.(type) {
	case claims.Read:
		h.startCall(readTimeout(a), func(ctx context.Context) claims.Event { return h.read(ctx, a) })
	case claims.Write:
		h.startCall(callTimeout, func(ctx context.Context) claims.Event { return h.write(ctx, a) })
	case claims.Decide:
		h.deliverDecision(a)
	case claims.Wake:
		h.stopTimer()
		h.tickTimer = time.AfterFunc(a.At.Sub(h.opts.Now()), func() { h.send(claims.Tick{}) })
	}
}

func readTimeout(a claims.Read) time.Duration {
	if a.WholeChain {
		return chainTimeout
	}
	return callTimeout
}

func (h *Host) stopTimer() {
	if h.tickTimer != nil {
		h.tickTimer.Stop()
	}
}

func (h *Host) deliverDecision(d claims.Decide) {
	answer, ok := h.waiting[d.Attempt]
	if !ok {
		return
	}
	delete(h.waiting, d.Attempt)
	answer <- d.Result
}

// startCall runs one call to the platform beside the actor.
func (h *Host) startCall(timeout time.Duration, perform func(context.Context) claims.Event) {
	h.calls.Add(1)
	go func() {
		defer h.calls.Done()
		ctx, cancel := context.WithTimeout(h.ctx, timeout)
		defer cancel()
		h.send(perform(ctx))
	}()
}
