package workload

import (
	"sync"
	"time"
)

const (
	// callerCPUFraction is the part of a VM's processor share that callers' requests may
	// take. The rest is for news of peers, upstreams and the process itself.
	callerCPUFraction = 0.85
	// budgetBurst is the time whose budget may be spent at once, so that callers
	// who arrive together are taken on, and the longest time by which it may be
	// overspent.
	budgetBurst = 250 * time.Millisecond
	// maxStreamFraction is the most of the burst that one stream is charged. A VM that had to
	// save up for longer would never take one on, and never learn that they became
	// shorter.
	maxStreamFraction = 0.25
	// initialStreamEvents is the number of events of a stream until some have ended,
	// eventLearning the weight of one that has.
	initialStreamEvents = 25.0
	streamEventsWeight  = 0.02
)

// CPUBudget is the processor time that a router may spend on callers' requests. It
// fills at the rate of the VM's share. A request is charged all that its answer
// will take when it is taken on, since a stream costs little until its engine
// begins to answer. Connections hold what a request may take from their
// acceptance until it is read, so that those in between are bounded as well.
//
// Without a known share it never runs out. It is safe for concurrent use.
type CPUBudget struct {
	// rate is in seconds of a whole core a second.
	rate float64

	mu sync.Mutex
	// remaining is in seconds of a whole core, as of at.
	remaining        float64
	refilledAt       time.Time
	meanStreamEvents float64
}

// NewCPUBudget returns a full budget for a VM's processor share in cores; 0 if not
// known.
func NewCPUBudget(cores float64) *CPUBudget {
	b := &CPUBudget{rate: callerCPUFraction * cores, meanStreamEvents: initialStreamEvents}
	b.remaining = b.capacity()
	return b
}

func (b *CPUBudget) capacity() float64 { return b.rate * budgetBurst.Seconds() }

// refill adds what has accrued since the last call. The caller holds the lock.
func (b *CPUBudget) refill(now time.Time) {
	since := now.Sub(b.refilledAt)
	if !b.refilledAt.IsZero() && since <= 0 {
		return
	}
	if !b.refilledAt.IsZero() {
		b.remaining = min(b.remaining+b.rate*since.Seconds(), b.capacity())
	}
	b.refilledAt = now
}

func (b *CPUBudget) spend(now time.Time, seconds float64) {
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.remaining = min(max(b.remaining-seconds, -b.capacity()), b.capacity())
}

// streamCost is what a stream takes, relayed to its end. The caller holds the lock.
func (b *CPUBudget) streamCost() float64 {
	return min(requestCPUTime.Seconds()+b.meanStreamEvents*eventCPUTime.Seconds(), maxStreamFraction*b.capacity())
}

// Bounded says whether the budget is bounded.
func (b *CPUBudget) Bounded() bool { return b.rate > 0 }

// TryAccept takes on a connection if there is room for its request, and says whether.
func (b *CPUBudget) TryAccept(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return true
	}
	b.refill(now)
	if b.remaining < b.streamCost() {
		return false
	}
	b.remaining -= b.streamCost()
	return true
}

// ChargeShed charges a connection that is closed unread.
func (b *CPUBudget) ChargeShed(now time.Time) { b.charge(now, shedCPUTime) }

// ChargeRequest charges a request that is sent to an upstream and is no stream.
func (b *CPUBudget) ChargeRequest(now time.Time) { b.charge(now, requestCPUTime) }

// ChargeRefusal charges a request that is refused.
func (b *CPUBudget) ChargeRefusal(now time.Time) { b.charge(now, refusalCPUTime) }

func (b *CPUBudget) charge(now time.Time, cost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, cost.Seconds())
}

// ChargeStream charges a stream that is sent to an engine.
func (b *CPUBudget) ChargeStream(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, b.streamCost())
}

// ReleaseConnection gives back what a connection held for its first request.
func (b *CPUBudget) ReleaseConnection(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, -b.streamCost())
}

// RefundStream gives back what a stream was charged for its events, none of which came.
func (b *CPUBudget) RefundStream(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, -max(b.streamCost()-requestCPUTime.Seconds(), 0))
}

// LearnStreamEvents takes how many events a stream had that was answered whole.
func (b *CPUBudget) LearnStreamEvents(events int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.meanStreamEvents += streamEventsWeight * (float64(events) - b.meanStreamEvents)
}

// RemainingFraction returns the part of the burst that may still be spent, negative if more
// was; 1 if the share is not known.
func (b *CPUBudget) RemainingFraction(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return 1
	}
	b.refill(now)
	return b.remaining / b.capacity()
}
