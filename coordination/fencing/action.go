package fencing

import "time"

// Action is something the host must do.
type Action interface{ action() }

// ReadLease reads the lease object. The host answers with LeaseRead or
// LeaseFailed.
type ReadLease struct{}

// WriteLease writes the lease object if its version is Expected; zero if it
// must not exist. The host answers with LeaseWritten, LeaseConflict or
// LeaseFailed.
type WriteLease struct {
	Lease    Lease
	Expected uint64
}

// SendOrder sends an order to the engine. The host answers with OrderDone,
// OrderStale, OrderFailed or OrderLate.
type SendOrder struct {
	Order Order
	// Since and Within bound when the order may be sent. Within is zero if
	// the engine checks fencing numbers.
	Since  Instant
	Within time.Duration
}

// Late reports whether the order must not be sent any more. The host asks as
// the last thing before it hands the order to the network, because a process
// can be paused between the decision and the send: the order would then reach
// an engine that another router has been giving orders to.
func (s SendOrder) Late(now Instant) bool {
	return s.Within > 0 && now.MaxElapsedSince(s.Since) >= s.Within
}

func (ReadLease) action()  {}
func (WriteLease) action() {}
func (SendOrder) action()  {}
