package fencing

import (
	"time"

	"github.com/figstile/figstile/state"
)

// Config sets up a Holder.
type Config struct {
	Self        state.Router
	Incarnation state.Incarnation
	// ChecksFencing says that the engine refuses orders with an old number.
	ChecksFencing bool
	Timing        Timing
}

// Holder decides on the orders of one router to one engine. It takes the lease
// only while there is an order to give: renewing the leases of all engines all
// the time would use up the platform's writes.
type Holder struct {
	config  Config
	desired *DesiredState

	// lastEvent is the instant of the latest event.
	lastEvent Instant
	// pendingCall is the call to the store that has not been answered.
	pendingCall storeCall
	// knownLease is the lease as last read or written; nil if it must be read.
	knownLease *knownLease
	// heldLease is the lease as far as it is this router's own; nil if it is not.
	heldLease *heldLease
	// nextStoreCall is when the store may be called again.
	nextStoreCall time.Duration

	// pendingOrder is the order that has not been answered; nil if there is none.
	pendingOrder *sentOrder
	attempts     orderAttempts

	// report is the latest report that counts; nil after an order until a
	// report shows what came of it.
	report *state.LoadReport
	// reportsValidFrom is the time from which reports count.
	reportsValidFrom time.Duration
	confirmedRole    confirmedRole
}

// storeCall is a call to the store under way.
type storeCall struct {
	inFlight bool
	// written is what is being written; nil for a read.
	written *Lease
	sentAt  Instant
	// beforePause is set if the process was paused after the call was made.
	beforePause bool
}

// knownLease is the lease object as this router saw it.
type knownLease struct {
	lease   Lease
	version uint64
	// firstSeen is when this version was first seen.
	firstSeen Instant
}

// heldLease is a lease whose conditional write was answered.
type heldLease struct {
	number uint64
	// sentAt is when the write was sent. Others count from when they see the
	// write, which is later, so that they never find the lease over first.
	sentAt Instant
}

// sentOrder is an order under way.
type sentOrder struct {
	order Order
	boot  string
}

// NewHolder returns a holder that wants nothing yet.
func NewHolder(config Config, now Instant) *Holder {
	return &Holder{
		config:    config,
		lastEvent: now,
		attempts:  orderAttempts{timing: config.Timing, byOrder: make(map[Order]orderAttempt)},
	}
}

// Number returns the fencing number held, or zero.
func (h *Holder) Number() uint64 {
	if h.heldLease == nil {
		return 0
	}
	return h.heldLease.number
}

// Step takes one event and returns what to do.
func (h *Holder) Step(now Instant, event Event) []Action {
	h.detectPause(now)
	switch e := event.(type) {
	case DesiredChanged:
		h.setDesired(e.Desired)
	case ReportReceived:
		h.reportReceived(now, e.Report)
	case LeaseRead:
		h.leaseRead(now, e)
	case LeaseWritten:
		h.leaseWritten(now, e)
	case LeaseConflict:
		h.pendingCall = storeCall{}
		h.forgetLease()
	case LeaseFailed:
		h.leaseFailed(now)
	case OrderDone:
		h.orderDone(now)
	case OrderStale:
		h.orderEnded(now)
		h.forgetLease()
	case OrderFailed:
		h.orderEnded(now)
	case OrderLate:
		// Nothing was sent, so that the report still holds.
		h.pendingOrder = nil
		h.forgetLease()
	}
	return h.nextActions(now)
}

// detectPause drops the lease of a process that did not run for a while. Its
// clocks may not show the whole of the pause, in which others may have taken
// the lease; what shows is a gap between events or clocks that disagree. Only
// a conditional write that succeeds afterwards makes it the holder again.
func (h *Holder) detectPause(now Instant) {
	gap := now.MaxElapsedSince(h.lastEvent)
	skew := gap - now.MinElapsedSince(h.lastEvent)
	if gap > h.config.Timing.MaxStepGap || skew > h.config.Timing.MaxStepGap {
		h.forgetLease()
		h.report = nil
		h.pendingCall.beforePause = true
	}
	h.lastEvent = now
}

// forgetLease forgets what was known of the lease, so that it is read again.
func (h *Holder) forgetLease() {
	h.knownLease = nil
	h.heldLease = nil
}

func (h *Holder) setDesired(desired *DesiredState) {
	h.desired = desired
	clear(h.attempts.byOrder)
}

// reportReceived keeps a report unless it may be from before the latest order ended.
func (h *Holder) reportReceived(now Instant, report state.LoadReport) {
	if h.pendingOrder == nil && now.Monotonic >= h.reportsValidFrom {
		h.report = &report
	}
}

// leaseFailed has the lease read again, for a write may have taken effect. What
// an earlier write won still holds for its time, unless it was being released.
func (h *Holder) leaseFailed(now Instant) {
	failed := h.pendingCall
	h.pendingCall = storeCall{}
	h.knownLease = nil
	if failed.written != nil && failed.written.Holder == "" {
		h.heldLease = nil
	}
	h.nextStoreCall = now.Monotonic + h.config.Timing.RetryDelay
}

// leaseRead notes a version that was not seen before. A lower one comes from
// an old replica; counting from it would put off a take-over for ever.
func (h *Holder) leaseRead(now Instant, e LeaseRead) {
	h.pendingCall = storeCall{}
	h.nextStoreCall = now.Monotonic + h.config.Timing.PollInterval
	if h.knownLease != nil && e.Version <= h.knownLease.version {
		return
	}
	h.knownLease = &knownLease{lease: e.Lease, version: e.Version, firstSeen: now}
	if !h.isOwn(e.Lease) || e.Lease.Number != h.Number() {
		h.heldLease = nil
	}
}

// isOwn reports whether a lease names this run of this router.
func (h *Holder) isOwn(lease Lease) bool {
	return lease.Holder == h.config.Self && lease.Incarnation == h.config.Incarnation
}

// leaseWritten makes this router the holder from when the write was sent. An
// answer that came after a pause proves nothing any more, for others may have
// taken the lease since.
func (h *Holder) leaseWritten(now Instant, e LeaseWritten) {
	written := h.pendingCall
	h.pendingCall = storeCall{}
	h.forgetLease()
	if written.written == nil || written.beforePause {
		return
	}
	h.knownLease = &knownLease{lease: *written.written, version: e.Version, firstSeen: now}
	if written.written.Holder != "" {
		h.heldLease = &heldLease{number: written.written.Number, sentAt: written.sentAt}
	}
}

// orderDone notes a confirmed role; all else is learned from reports.
func (h *Holder) orderDone(now Instant) {
	if h.pendingOrder.order.Kind == SetRole {
		h.confirmedRole = confirmedRole{boot: h.pendingOrder.boot, role: h.pendingOrder.order.Role}
	}
	h.orderEnded(now)
}

// orderEnded waits for reports that show the order's effect, whatever the
// answer was: one without an answer may have been obeyed, and one with an
// answer may be undone by a restart of the engine.
func (h *Holder) orderEnded(now Instant) {
	h.attempts.orderEnded(h.pendingOrder.order, now.Monotonic)
	h.pendingOrder = nil
	h.report = nil
	h.reportsValidFrom = now.Monotonic + h.config.Timing.MaxReportAge
}

// nextActions does the next thing that is due. One call to the store and one order
// run at a time.
func (h *Holder) nextActions(now Instant) []Action {
	if h.pendingOrder != nil {
		return h.renewLease(now)
	}
	order, missing := h.nextOrder(now)
	if !missing {
		return h.releaseLease(now)
	}
	if h.canSendOrder(now) {
		return h.sendOrder(order)
	}
	return h.acquireLease(now)
}

// nextOrder returns the next order, if a report shows one to be missing. An
// engine that is leaving needs none.
func (h *Holder) nextOrder(now Instant) (Order, bool) {
	if h.desired == nil || h.report == nil || h.report.Draining {
		return Order{}, false
	}
	return h.attempts.nextDue(missingOrders(*h.desired, *h.report, h.confirmedRole), now.Monotonic)
}

// canSendOrder reports whether an order can be sent under the lease as it is.
func (h *Holder) canSendOrder(now Instant) bool {
	if h.heldLease == nil || h.pendingCall.inFlight {
		return false
	}
	return h.config.ChecksFencing || now.MaxElapsedSince(h.heldLease.sentAt) < h.sendLimit()
}

// sendLimit is how far into the lease orders may be sent to an engine that
// ignores fencing numbers.
func (h *Holder) sendLimit() time.Duration {
	return h.config.Timing.LeaseDuration - h.config.Timing.SafetyMargin
}

func (h *Holder) sendOrder(order Order) []Action {
	order.Number = h.heldLease.number
	h.pendingOrder = &sentOrder{order: order, boot: h.report.Boot}
	action := SendOrder{Order: order, Since: h.heldLease.sentAt}
	if !h.config.ChecksFencing {
		action.Within = h.sendLimit()
	}
	return []Action{action}
}

// renewLease renews the lease while an order runs, so that no other router
// gives the engine orders beside it.
func (h *Holder) renewLease(now Instant) []Action {
	if h.heldLease == nil {
		return nil
	}
	if now.MaxElapsedSince(h.heldLease.sentAt) < h.config.Timing.RenewAfter {
		return nil
	}
	return h.acquireLease(now)
}

// releaseLease gives up a lease that is not needed, so that the next holder need
// not wait for its end.
func (h *Holder) releaseLease(now Instant) []Action {
	if h.heldLease == nil || !h.canCallStore(now) {
		return nil
	}
	if h.report == nil && h.desired != nil {
		return nil
	}
	if h.knownLease == nil {
		return h.readLease(now)
	}
	return h.writeLease(now, Lease{Number: h.heldLease.number})
}

// acquireLease takes or renews the lease as soon as it is free or its own.
func (h *Holder) acquireLease(now Instant) []Action {
	if h.knownLease == nil {
		return h.readLease(now)
	}
	lease := h.knownLease.lease
	switch {
	case h.isOwn(lease):
		return h.writeLease(now, h.ownLease(lease.Number))
	case lease.Holder == "" || h.leaseExpired(now):
		return h.writeLease(now, h.ownLease(lease.Number+1))
	default:
		return h.readLease(now)
	}
}

// leaseExpired reports whether another router's lease is over: its object has not
// changed for as long as a lease lasts. The clocks of routers are never
// compared, only how long each of them has seen pass.
func (h *Holder) leaseExpired(now Instant) bool {
	duration := max(h.knownLease.lease.Duration(), h.config.Timing.LeaseDuration)
	return now.MinElapsedSince(h.knownLease.firstSeen) >= duration
}

func (h *Holder) ownLease(number uint64) Lease {
	return Lease{
		Holder:      h.config.Self,
		Incarnation: h.config.Incarnation,
		Number:      number,
		DurationMs:  h.config.Timing.LeaseDuration.Milliseconds(),
	}
}

func (h *Holder) canCallStore(now Instant) bool {
	return !h.pendingCall.inFlight && now.Monotonic >= h.nextStoreCall
}

func (h *Holder) readLease(now Instant) []Action {
	if !h.canCallStore(now) {
		return nil
	}
	h.pendingCall = storeCall{inFlight: true, sentAt: now}
	return []Action{ReadLease{}}
}

// writeLease is always conditional on the version last seen: of two routers that
// take a free lease, one loses and sees that it lost.
func (h *Holder) writeLease(now Instant, lease Lease) []Action {
	if h.pendingCall.inFlight {
		return nil
	}
	h.pendingCall = storeCall{inFlight: true, written: &lease, sentAt: now}
	return []Action{WriteLease{Lease: lease, Expected: h.knownLease.version}}
}
