package workload

import (
	"sync"
	"time"
)

const (
	// budgetPart is the part of a VM's processor share that callers' requests may
	// take. The rest is for news of peers, upstreams and the process itself.
	budgetPart = 0.85
	// budgetBurst is the time whose budget may be spent at once, so that callers
	// who arrive together are taken on, and the longest time by which it may be
	// overspent.
	budgetBurst = 250 * time.Millisecond
	// maxStream is the most of the burst that one stream is charged. A VM that had to
	// save up for longer would never take one on, and never learn that they became
	// shorter.
	maxStream = 0.25
	// initialEvents is the number of events of a stream until some have ended,
	// eventLearning the weight of one that has.
	initialEvents = 25.0
	eventLearning = 0.02
)

// Budget is the processor time that a router may spend on callers' requests. It
// fills at the rate of the VM's share. A request is charged all that its answer
// will take when it is taken on, since a stream costs little until its engine
// begins to answer. Connections hold what a request may take from their
// acceptance until it is read, so that those in between are bounded as well.
//
// Without a known share it never runs out. It is safe for concurrent use.
type Budget struct {
	// rate is in seconds of a whole core a second.
	rate float64

	mu sync.Mutex
	// left is in seconds of a whole core, as of at.
	left   float64
	at     time.Time
	events float64
}

// NewBudget returns a full budget for a VM's processor share in cores; 0 if not
// known.
func NewBudget(processors float64) *Budget {
	b := &Budget{rate: budgetPart * processors, events: initialEvents}
	b.left = b.most()
	return b
}

func (b *Budget) most() float64 { return b.rate * budgetBurst.Seconds() }

// refill adds what has accrued since the last call. The caller holds the lock.
func (b *Budget) refill(now time.Time) {
	since := now.Sub(b.at)
	if !b.at.IsZero() && since <= 0 {
		return
	}
	if !b.at.IsZero() {
		b.left = min(b.left+b.rate*since.Seconds(), b.most())
	}
	b.at = now
}

func (b *Budget) spend(now time.Time, seconds float64) {
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.left = min(max(b.left-seconds, -b.most()), b.most())
}

// stream is what a stream takes, relayed to its end. The caller holds the lock.
func (b *Budget) stream() float64 {
	return min(requestTime.Seconds()+b.events*eventTime.Seconds(), maxStream*b.most())
}

// Known says whether the budget is bounded.
func (b *Budget) Known() bool { return b.rate > 0 }

// Accept takes on a connection if there is room for its request, and says whether.
func (b *Budget) Accept(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return true
	}
	b.refill(now)
	if b.left < b.stream() {
		return false
	}
	b.left -= b.stream()
	return true
}

// Shed charges a connection that is closed unread.
func (b *Budget) Shed(now time.Time) { b.charge(now, shedTime) }

// Request charges a request that is sent to an upstream and is no stream.
func (b *Budget) Request(now time.Time) { b.charge(now, requestTime) }

// Refusal charges a request that is refused.
func (b *Budget) Refusal(now time.Time) { b.charge(now, refusalTime) }

func (b *Budget) charge(now time.Time, cost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, cost.Seconds())
}

// Stream charges a stream that is sent to an engine.
func (b *Budget) Stream(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, b.stream())
}

// Release gives back what a connection held for its first request.
func (b *Budget) Release(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, -b.stream())
}

// Unbegun gives back what a stream was charged for its events, none of which came.
func (b *Budget) Unbegun(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spend(now, -max(b.stream()-requestTime.Seconds(), 0))
}

// Ended takes how many events a stream had that was answered whole.
func (b *Budget) Ended(events int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events += eventLearning * (float64(events) - b.events)
}

// Left returns the part of the burst that may still be spent, negative if more
// was; 1 if the share is not known.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return 1
	}
	b.refill(now)
	return b.left / b.most()
}
