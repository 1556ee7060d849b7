package fencing

import "time"

// Action is something that the host must do.
type Action interface{ action() }

// ReadLease asks the host to read the lease object. The host answers with
// LeaseRead or LeaseFailed.
type ReadLease struct{}

// WriteLease asks the host to write the lease object on condition that its
// current version equals Expected. Zero means that the object must not exist.
// The host answers with LeaseWritten, LeaseConflict or LeaseFailed.
type WriteLease struct {
	Lease    Lease
	Expected uint64
}

// SendOrder asks the host to send an order to the engine. The host answers with
// OrderDone, OrderStale, OrderFailed or OrderLate.
type SendOrder struct {
	Order Order
	// Since and Within limit when the order may be sent: less than Within after
	// Since. Within is zero if the engine checks fencing numbers, which lifts
	// the limit.
	Since  Instant
	Within time.Duration
}

// Late reports whether it is too late to send the order. The host calls it
// immediately before it hands the order to the network, because the process can
// be paused between the decision and the send. A late order would reach an
// engine to which another router has already been sending orders.
func (s SendOrder) Late(now Instant) bool {
	return s.Within > 0 && now.MaxElapsedSince(s.Since) >= s.Within
}

func (ReadLease) action()  {}
func (WriteLease) action() {}
func (SendOrder) action()  {}
