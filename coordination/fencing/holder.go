package fencing

import (
	"time"

	"github.com/figstile/figstile/state"
)

// Config holds the settings of a Holder.
type Config struct {
	Self        state.Router
	Incarnation state.Incarnation
	// ChecksFencing is set if the engine rejects orders with an old fencing
	// number.
	ChecksFencing bool
	Timing        Timing
}

// Holder decides on the orders that one router sends to one engine. It holds
// the lease only while there is an order to send; renewing the leases of all
// engines all the time would use up the platform's write capacity.
type Holder struct {
	config  Config
	desired *DesiredState

	// lastEvent is the time of the latest event.
	lastEvent Instant
	// pendingCall is the call to the store that has not been answered yet.
	pendingCall storeCall
	// knownLease is the lease object as last read or written; nil if it must be
	// read again.
	knownLease *knownLease
	// heldLease is the lease while this router holds it; nil otherwise.
	heldLease *heldLease
	// nextStoreCall is the earliest time for the next read of the lease, or for
	// the write that releases it.
	nextStoreCall time.Duration

	// pendingOrder is the order that has not been answered yet; nil if there is
	// none.
	pendingOrder *sentOrder
	attempts     orderAttempts

	// report is the latest load report to act on. It is nil after an order
	// until a later report can show the order's effect.
	report *state.LoadReport
	// reportsValidFrom is the time from which received reports can show the
	// effect of the latest order.
	reportsValidFrom time.Duration
	confirmedRole    confirmedRole
}

// storeCall is a call to the store that is under way.
type storeCall struct {
	inFlight bool
	// written is the lease that the call writes; nil for a read.
	written *Lease
	sentAt  Instant
	// beforePause is set if the process was paused after the call was made.
	beforePause bool
}

// knownLease is the lease object as this router last saw it.
type knownLease struct {
	lease   Lease
	version uint64
	// firstSeen is when this router first saw this version.
	firstSeen Instant
}

// heldLease is a lease that this router holds, because its conditional write
// succeeded.
type heldLease struct {
	number uint64
	// sentAt is when the write was sent. Other routers count the duration from
	// when they see the write, which is later, so they never consider the lease
	// expired before its holder does.
	sentAt Instant
}

// sentOrder is an order that was sent and not answered yet, with the boot id of
// the engine that it was for.
type sentOrder struct {
	order Order
	boot  string
}

// NewHolder returns a holder without a desired state.
func NewHolder(config Config, now Instant) *Holder {
	return &Holder{
		config:    config,
		lastEvent: now,
		attempts:  orderAttempts{timing: config.Timing, byOrder: make(map[Order]orderAttempt)},
	}
}

// Number returns the fencing number of the held lease, or zero if there is
// none.
func (h *Holder) Number() uint64 {
	if h.heldLease == nil {
		return 0
	}
	return h.heldLease.number
}

// Step processes one event and returns the actions for the host.
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
		// Nothing was sent, so the report is still valid.
		h.pendingOrder = nil
		h.forgetLease()
	}
	return h.nextActions(now)
}

// detectPause drops the lease if this process did not run for a while, because
// other routers may have taken the lease meanwhile. The clocks may not show the
// whole pause. The visible signs are a gap between two events, or a difference
// between the two clocks, of more than Timing.MaxStepGap. Only another
// successful conditional write makes this router the holder again.
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

// forgetLease discards what is known about the lease, so that it is read again.
func (h *Holder) forgetLease() {
	h.knownLease = nil
	h.heldLease = nil
}

func (h *Holder) setDesired(desired *DesiredState) {
	h.desired = desired
	clear(h.attempts.byOrder)
}

// reportReceived stores a report unless an order is pending or the report may
// date from before the latest order ended.
func (h *Holder) reportReceived(now Instant, report state.LoadReport) {
	if h.pendingOrder == nil && now.Monotonic >= h.reportsValidFrom {
		h.report = &report
	}
}

// leaseFailed makes the lease be read again, because a failed write may have
// taken effect. A lease that an earlier write acquired stays valid for its
// duration, unless the failed write was releasing it.
func (h *Holder) leaseFailed(now Instant) {
	failedCall := h.pendingCall
	h.pendingCall = storeCall{}
	h.knownLease = nil
	if failedCall.written != nil && failedCall.written.Holder == "" {
		h.heldLease = nil
	}
	h.nextStoreCall = now.Monotonic + h.config.Timing.RetryDelay
}

// leaseRead records a version that is newer than the known one. An older
// version comes from a replica that is behind; counting the lease duration from
// it would delay a take-over for ever.
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

// isOwn reports whether the lease names this router and this incarnation.
func (h *Holder) isOwn(lease Lease) bool {
	return lease.Holder == h.config.Self && lease.Incarnation == h.config.Incarnation
}

// leaseWritten makes this router the holder from the time at which the write
// was sent. An answer to a write from before a pause does not count, because
// other routers may have taken the lease since.
func (h *Holder) leaseWritten(now Instant, e LeaseWritten) {
	call := h.pendingCall
	h.pendingCall = storeCall{}
	h.forgetLease()
	if call.written == nil || call.beforePause {
		return
	}
	h.knownLease = &knownLease{lease: *call.written, version: e.Version, firstSeen: now}
	if call.written.Holder != "" {
		h.heldLease = &heldLease{number: call.written.Number, sentAt: call.sentAt}
	}
}

// orderDone records the role that the engine confirmed. Loaded models are known
// from reports instead.
func (h *Holder) orderDone(now Instant) {
	if h.pendingOrder.order.Kind == SetRole {
		h.confirmedRole = confirmedRole{boot: h.pendingOrder.boot, role: h.pendingOrder.order.Role}
	}
	h.orderEnded(now)
}

// orderEnded waits for a report that shows the effect of the order, whatever
// the answer was. An unanswered order may have been carried out, and the effect
// of a confirmed order may be lost when the engine restarts.
func (h *Holder) orderEnded(now Instant) {
	h.attempts.orderEnded(h.pendingOrder.order, now.Monotonic)
	h.pendingOrder = nil
	h.report = nil
	h.reportsValidFrom = now.Monotonic + h.config.Timing.MaxReportAge
}

// nextActions returns the next action that is due. At most one call to the
// store and one order are under way at a time.
func (h *Holder) nextActions(now Instant) []Action {
	if h.pendingOrder != nil {
		return h.renewLease(now)
	}
	order, found := h.nextOrder(now)
	if !found {
		return h.releaseLease(now)
	}
	if h.canSendOrder(now) {
		return h.sendOrder(order)
	}
	return h.acquireLease(now)
}

// nextOrder returns the next order if a report shows that one is missing. A
// draining engine needs no orders.
func (h *Holder) nextOrder(now Instant) (Order, bool) {
	if h.desired == nil || h.report == nil || h.report.Draining {
		return Order{}, false
	}
	return h.attempts.nextDue(missingOrders(*h.desired, *h.report, h.confirmedRole), now.Monotonic)
}

// canSendOrder reports whether the current lease allows sending an order.
func (h *Holder) canSendOrder(now Instant) bool {
	if h.heldLease == nil || h.pendingCall.inFlight {
		return false
	}
	return h.config.ChecksFencing || now.MaxElapsedSince(h.heldLease.sentAt) < h.sendLimit()
}

// sendLimit returns how long orders may be sent to an engine that ignores
// fencing numbers, counted from when the write of the lease was sent.
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

// renewLease renews the lease while an order is under way, so that no other
// router sends orders to the engine at the same time.
func (h *Holder) renewLease(now Instant) []Action {
	if h.heldLease == nil {
		return nil
	}
	if now.MaxElapsedSince(h.heldLease.sentAt) < h.config.Timing.RenewAfter {
		return nil
	}
	return h.acquireLease(now)
}

// releaseLease releases a lease that is no longer needed, so that the next
// holder need not wait until it expires.
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

// acquireLease acquires the lease once it is free, or renews it if this router
// holds it. Until then it polls the lease object.
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

// leaseExpired reports whether another router's lease has expired, that is,
// whether its object has not changed for as long as a lease lasts. Routers
// never compare their clocks with each other; each only measures elapsed time.
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

// writeLease writes on condition that the object still has the version last
// seen. If two routers try to take a free lease, one of the writes fails and
// its router learns that it does not hold the lease.
func (h *Holder) writeLease(now Instant, lease Lease) []Action {
	if h.pendingCall.inFlight {
		return nil
	}
	h.pendingCall = storeCall{inFlight: true, written: &lease, sentAt: now}
	return []Action{WriteLease{Lease: lease, Expected: h.knownLease.version}}
}
