package fencing

import (
	"time"

	"github.com/figstile/figstile/state"
)

// Config sets up a Holder.
type Config struct {
	Self        state.Router
	Incarnation state.Incarnation
	// ChecksNumber says that the engine refuses orders with an old number.
	ChecksNumber bool
	Timing       Timing
}

// Holder decides on the orders of one router to one engine. It takes the lease
// only while there is an order to give: renewing the leases of all engines all
// the time would use up the platform's writes.
type Holder struct {
	config Config
	wish   *Wish

	// last is the instant of the latest event.
	last Instant
	// store is the call to the store that has not been answered.
	store storeCall
	// known is the lease as last read or written; nil if it must be read.
	known *knownLease
	// held is the lease as far as it is this router's own; nil if it is not.
	held *heldLease
	// idleUntil is when the store may be called again.
	idleUntil time.Duration

	// order is the order that has not been answered; nil if there is none.
	order    *sentOrder
	attempts attempts

	// report is the latest report that counts; nil after an order until a
	// report shows what came of it.
	report *state.LoadReport
	// reportsFrom is the time from which reports count.
	reportsFrom time.Duration
	confirmed   roleSet
}

// storeCall is a call to the store under way.
type storeCall struct {
	busy bool
	// lease is what is being written; nil for a read.
	lease  *Lease
	sentAt Instant
	// beforeJump is set if the process was paused after the call was made.
	beforeJump bool
}

// knownLease is the lease object as this router saw it.
type knownLease struct {
	lease   Lease
	version uint64
	// since is when this version was first seen.
	since Instant
}

// heldLease is a lease whose conditional write was answered.
type heldLease struct {
	number uint64
	// since is when the write was sent. Others count from when they see the
	// write, which is later, so that they never find the lease over first.
	since Instant
}

// sentOrder is an order under way.
type sentOrder struct {
	order Order
	boot  string
}

// NewHolder returns a holder that wants nothing yet.
func NewHolder(config Config, now Instant) *Holder {
	return &Holder{
		config:   config,
		last:     now,
		attempts: attempts{timing: config.Timing, given: make(map[Order]attempt)},
	}
}

// Number returns the fencing number held, or zero.
func (h *Holder) Number() uint64 {
	if h.held == nil {
		return 0
	}
	return h.held.number
}

// Step takes one event and returns what to do.
func (h *Holder) Step(now Instant, event Event) []Action {
	h.noticeJump(now)
	switch e := event.(type) {
	case Wanted:
		h.want(e.Wish)
	case Reported:
		h.reported(now, e.Report)
	case LeaseRead:
		h.leaseRead(now, e)
	case LeaseWritten:
		h.leaseWritten(now, e)
	case LeaseConflict:
		h.store = storeCall{}
		h.distrust()
	case LeaseFailed:
		h.leaseFailed(now)
	case OrderDone:
		h.orderDone(now)
	case OrderStale:
		h.orderEnded(now)
		h.distrust()
	case OrderFailed:
		h.orderEnded(now)
	case OrderLate:
		// Nothing was sent, so that the report still holds.
		h.order = nil
		h.distrust()
	}
	return h.advance(now)
}

// noticeJump drops the lease of a process that did not run for a while. Its
// clocks may not show the whole of the pause, in which others may have taken
// the lease; what shows is a gap between events or clocks that disagree. Only
// a conditional write that succeeds afterwards makes it the holder again.
func (h *Holder) noticeJump(now Instant) {
	gap := now.AtMostSince(h.last)
	skew := gap - now.AtLeastSince(h.last)
	if gap > h.config.Timing.Jump || skew > h.config.Timing.Jump {
		h.distrust()
		h.report = nil
		h.store.beforeJump = true
	}
	h.last = now
}

// distrust forgets what was known of the lease, so that it is read again.
func (h *Holder) distrust() {
	h.known = nil
	h.held = nil
}

func (h *Holder) want(wish *Wish) {
	h.wish = wish
	clear(h.attempts.given)
}

// reported keeps a report unless it may be from before the latest order ended.
func (h *Holder) reported(now Instant, report state.LoadReport) {
	if h.order == nil && now.Monotonic >= h.reportsFrom {
		h.report = &report
	}
}

// leaseFailed has the lease read again, for a write may have taken effect. What
// an earlier write won still holds for its time, unless it was being released.
func (h *Holder) leaseFailed(now Instant) {
	failed := h.store
	h.store = storeCall{}
	h.known = nil
	if failed.lease != nil && failed.lease.Holder == "" {
		h.held = nil
	}
	h.idleUntil = now.Monotonic + h.config.Timing.Retry
}

// leaseRead notes a version that was not seen before. A lower one comes from
// an old replica; counting from it would put off a take-over for ever.
func (h *Holder) leaseRead(now Instant, e LeaseRead) {
	h.store = storeCall{}
	h.idleUntil = now.Monotonic + h.config.Timing.Poll
	if h.known != nil && e.Version <= h.known.version {
		return
	}
	h.known = &knownLease{lease: e.Lease, version: e.Version, since: now}
	if !h.isOwn(e.Lease) || e.Lease.Number != h.Number() {
		h.held = nil
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
	written := h.store
	h.store = storeCall{}
	h.distrust()
	if written.lease == nil || written.beforeJump {
		return
	}
	h.known = &knownLease{lease: *written.lease, version: e.Version, since: now}
	if written.lease.Holder != "" {
		h.held = &heldLease{number: written.lease.Number, since: written.sentAt}
	}
}

// orderDone notes a confirmed role; all else is learned from reports.
func (h *Holder) orderDone(now Instant) {
	if h.order.order.Kind == SetRole {
		h.confirmed = roleSet{boot: h.order.boot, role: h.order.order.Role}
	}
	h.orderEnded(now)
}

// orderEnded waits for reports that show the order's effect, whatever the
// answer was: one without an answer may have been obeyed, and one with an
// answer may be undone by a restart of the engine.
func (h *Holder) orderEnded(now Instant) {
	h.attempts.ended(h.order.order, now.Monotonic)
	h.order = nil
	h.report = nil
	h.reportsFrom = now.Monotonic + h.config.Timing.ReportLag
}

// advance does the next thing that is due. One call to the store and one order
// run at a time.
func (h *Holder) advance(now Instant) []Action {
	if h.order != nil {
		return h.keepLease(now)
	}
	order, missing := h.missing(now)
	if !missing {
		return h.release(now)
	}
	if h.mayOrder(now) {
		return h.send(order)
	}
	return h.acquire(now)
}

// missing returns the next order, if a report shows one to be missing. An
// engine that is leaving needs none.
func (h *Holder) missing(now Instant) (Order, bool) {
	if h.wish == nil || h.report == nil || h.report.Draining {
		return Order{}, false
	}
	return h.attempts.due(missingOrders(*h.wish, *h.report, h.confirmed), now.Monotonic)
}

// mayOrder reports whether an order can be sent under the lease as it is.
func (h *Holder) mayOrder(now Instant) bool {
	if h.held == nil || h.store.busy {
		return false
	}
	return h.config.ChecksNumber || now.AtMostSince(h.held.since) < h.sendWithin()
}

// sendWithin is how far into the lease orders may be sent to an engine that
// ignores fencing numbers.
func (h *Holder) sendWithin() time.Duration { return h.config.Timing.Lease - h.config.Timing.Margin }

func (h *Holder) send(order Order) []Action {
	order.Number = h.held.number
	h.order = &sentOrder{order: order, boot: h.report.Boot}
	action := SendOrder{Order: order, Since: h.held.since}
	if !h.config.ChecksNumber {
		action.Within = h.sendWithin()
	}
	return []Action{action}
}

// keepLease renews the lease while an order runs, so that no other router
// gives the engine orders beside it.
func (h *Holder) keepLease(now Instant) []Action {
	if h.held == nil {
		return nil
	}
	if now.AtMostSince(h.held.since) < h.config.Timing.Renew {
		return nil
	}
	return h.acquire(now)
}

// release gives up a lease that is not needed, so that the next holder need
// not wait for its end.
func (h *Holder) release(now Instant) []Action {
	if h.held == nil || !h.storeIdle(now) {
		return nil
	}
	if h.report == nil && h.wish != nil {
		return nil
	}
	if h.known == nil {
		return h.read(now)
	}
	return h.write(now, Lease{Number: h.held.number})
}

// acquire takes or renews the lease as soon as it is free or its own.
func (h *Holder) acquire(now Instant) []Action {
	if h.known == nil {
		return h.read(now)
	}
	lease := h.known.lease
	switch {
	case h.isOwn(lease):
		return h.write(now, h.ownLease(lease.Number))
	case lease.Holder == "" || h.lapsed(now):
		return h.write(now, h.ownLease(lease.Number+1))
	default:
		return h.read(now)
	}
}

// lapsed reports whether another router's lease is over: its object has not
// changed for as long as a lease lasts. The clocks of routers are never
// compared, only how long each of them has seen pass.
func (h *Holder) lapsed(now Instant) bool {
	lasts := max(h.known.lease.Duration(), h.config.Timing.Lease)
	return now.AtLeastSince(h.known.since) >= lasts
}

func (h *Holder) ownLease(number uint64) Lease {
	return Lease{
		Holder:      h.config.Self,
		Incarnation: h.config.Incarnation,
		Number:      number,
		DurationMs:  h.config.Timing.Lease.Milliseconds(),
	}
}

func (h *Holder) storeIdle(now Instant) bool {
	return !h.store.busy && now.Monotonic >= h.idleUntil
}

func (h *Holder) read(now Instant) []Action {
	if !h.storeIdle(now) {
		return nil
	}
	h.store = storeCall{busy: true, sentAt: now}
	return []Action{ReadLease{}}
}

// write is always conditional on the version last seen: of two routers that
// take a free lease, one loses and sees that it lost.
func (h *Holder) write(now Instant, lease Lease) []Action {
	if h.store.busy {
		return nil
	}
	h.store = storeCall{busy: true, lease: &lease, sentAt: now}
	return []Action{WriteLease{Lease: lease, Expected: h.known.version}}
}
