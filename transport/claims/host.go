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
	// callTimeout limits one call to the platform, which normally answers
	// within milliseconds. If the answer takes longer than this, the call or
	// its answer has most likely been lost.
	callTimeout = time.Second
	// claimTimeout limits the time that a caller waits for its claim. It allows
	// for two calls that time out and the wait for a round between them. After
	// that the caller receives "not run" and may send the request again, which
	// serves it better than an open connection.
	claimTimeout = 3 * time.Second
	// chainTimeout limits the read of a shard's whole chain of segments, which
	// happens once for each shard after a start and transfers a few megabytes
	// for a full shard. As long as the router has not found out that the
	// platform does not answer, all callers wait for this read. It is therefore
	// not longer than the time that one of them waits.
	chainTimeout = claimTimeout
)

// Options configure a Host.
type Options struct {
	Router      state.Router
	Incarnation state.Incarnation
	Store       objectstore.Store
	System      *actor.ActorSystem
	Log         zerolog.Logger
	// Now is the clock; nil means the system's clock.
	Now func() time.Time
}

// Host runs the claims state machine of one router.
type Host struct {
	opts   Options
	pid    *actor.PID
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	closed atomic.Bool

	// The following fields are used only by the actor.
	machine   *claims.Machine
	waiting   map[state.AttemptID]chan<- result.Result
	tickTimer *time.Timer
	flushDone chan<- struct{}
	panicked  bool
}

// claimMessage is a request for a claim with the channel for the decision.
type claimMessage struct {
	request  claims.Request
	decision chan<- result.Result
}

// flushMessage asks the actor to close done once no write is pending.
type flushMessage struct {
	done chan<- struct{}
}

// NewHost starts a Host; Close stops it.
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
	// The actor is created from a function and not from a producer, so that a
	// restart by the supervisor keeps the machine. Only the machine has the
	// record of the claims that must be released.
	h.pid = opts.System.Root.Spawn(actor.PropsFromFunc(h.receive))
	return h
}

// Claim requests the right to run a request. Any result but OK is final, and
// the request must not be sent.
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

// Complete records whether a claimed request ran. It does not block.
func (h *Host) Complete(req claims.Request, ran result.Ran) {
	h.send(claims.RequestFinished{Request: req, Ran: ran})
}

// SetRouterCount sets the number of routers that share the platform.
func (h *Host) SetRouterCount(routers int) {
	h.send(claims.FleetResized{Routers: routers})
}

// Close refuses further claims, waits until the pending writes are done and
// stops the actor. It returns the context's error if the platform does not
// accept all writes in time. The keys concerned are then reported as in
// progress, and later as unknown.
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
	// The actor stops before the wait for calls, so that no further call
	// starts.
	_ = h.opts.System.Root.PoisonFuture(h.pid).Wait()
	h.cancel()
	h.calls.Wait()
	return err
}

func (h *Host) send(message any) { h.opts.System.Root.Send(h.pid, message) }

// receive is the actor. It passes one message at a time to the machine.
func (h *Host) receive(c actor.Context) {
	if h.panicked {
		h.refuse(c.Message())
		return
	}
	defer h.failClosed()
	h.handle(c.Message())
}

// failClosed handles a panic of the machine. The interrupted step leaves the
// machine in an inconsistent state, and the supervisor would continue with it,
// so that two claims of the same key could be granted. From then on every claim
// is refused until the router is replaced.
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

// refuse answers messages after the machine has panicked.
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

// startCall runs one call to the platform in a goroutine of its own and sends
// the resulting event to the actor.
func (h *Host) startCall(timeout time.Duration, perform func(context.Context) claims.Event) {
	h.calls.Add(1)
	go func() {
		defer h.calls.Done()
		ctx, cancel := context.WithTimeout(h.ctx, timeout)
		defer cancel()
		h.send(perform(ctx))
	}()
}
