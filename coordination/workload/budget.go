package workload

import (
	"sync"
	"time"
)

const (
	// callerCPUFraction is the fraction of a VM's CPU share that callers'
	// requests may use. The rest is for messages from peers, for upstreams and
	// for the process itself.
	callerCPUFraction = 0.85
	// budgetBurst is the time whose budget may be spent at once, so that
	// callers who arrive together are accepted. The budget may be overspent by
	// at most the same amount.
	budgetBurst = 250 * time.Millisecond
	// maxStreamFraction is the maximum charge for one stream, as a fraction of
	// the burst. If the charge could exceed the burst, a VM would never accept
	// a stream again, and would never learn that streams have become shorter.
	maxStreamFraction = 0.25
	// initialStreamEvents is the assumed number of events of a stream until the
	// first streams have ended. streamEventsWeight is the weight of a stream
	// that has ended in the mean.
	initialStreamEvents = 25.0
	streamEventsWeight  = 0.02
)

// CPUBudget is the CPU time that a router may spend on callers' requests. It is
// refilled at the rate of the VM's CPU share. A request is charged for its
// complete answer when it is accepted, because a stream costs little until its
// engine starts to answer. From its acceptance until its first request is read,
// a connection reserves the cost of a stream, so that unread connections are
// bounded as well.
//
// If the CPU share is not known, the budget is unlimited. A CPUBudget is safe
// for concurrent use.
type CPUBudget struct {
	// rate is the refill rate in seconds of a whole core per second.
	rate float64

	mu sync.Mutex
	// remaining is the budget in seconds of a whole core at the time
	// refilledAt.
	remaining        float64
	refilledAt       time.Time
	meanStreamEvents float64
}

// NewCPUBudget returns a full budget for a VM with the given CPU share in
// cores; 0 means that the share is not known.
func NewCPUBudget(cores float64) *CPUBudget {
	b := &CPUBudget{rate: callerCPUFraction * cores, meanStreamEvents: initialStreamEvents}
	b.remaining = b.capacity()
	return b
}

func (b *CPUBudget) capacity() float64 { return b.rate * budgetBurst.Seconds() }

// refill adds the budget accrued since the last call. The caller holds the
// lock.
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

// streamCost returns the cost of relaying a whole stream, in seconds of a whole
// core. The caller holds the lock.
func (b *CPUBudget) streamCost() float64 {
	return min(requestCPUTime.Seconds()+b.meanStreamEvents*eventCPUTime.Seconds(), maxStreamFraction*b.capacity())
}

// Bounded reports whether the budget is limited, that is, whether the CPU share
// is known.
func (b *CPUBudget) Bounded() bool { return b.rate > 0 }

// TryAccept accepts a connection and reserves the cost of its first request, if
// the budget suffices. It reports whether the connection was accepted.
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

// ChargeShed charges a connection that is closed without being read.
func (b *CPUBudget) ChargeShed(now time.Time) { b.charge(now, shedCPUTime) }

// ChargeRequest charges a request that is sent to an upstream and is not a
// stream.
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

// ReleaseConnection returns the cost that a connection reserved for its first
// request.
func (b *CPUBudget) ReleaseConnection(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, -b.streamCost())
}

// RefundStream returns the charge for the events of a stream that had none.
func (b *CPUBudget) RefundStream(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, -max(b.streamCost()-requestCPUTime.Seconds(), 0))
}

// LearnStreamEvents records the number of events of a stream that was answered
// completely.
func (b *CPUBudget) LearnStreamEvents(events int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.meanStreamEvents += streamEventsWeight * (float64(events) - b.meanStreamEvents)
}

// RemainingFraction returns the fraction of the burst that may still be spent.
// It is negative if the budget is overspent, and 1 if the CPU share is not
// known.
func (b *CPUBudget) RemainingFraction(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return 1
	}
	b.refill(now)
	return b.remaining / b.capacity()
}
