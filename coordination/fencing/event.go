package fencing

import "github.com/figstile/figstile/state"

// Event is something that happened. Events contain only data.
type Event interface{ event() }

// DesiredChanged replaces the desired state of the engine. Desired is nil if
// this router no longer controls the engine.
type DesiredChanged struct {
	Desired *DesiredState
}

// ReportReceived is a load report that was read just now.
type ReportReceived struct {
	Report state.LoadReport
}

// Tick must occur at a regular interval that is well below Timing.MaxStepGap.
type Tick struct{}

// LeaseRead answers ReadLease. Version is zero if there is no lease object.
type LeaseRead struct {
	Lease   Lease
	Version uint64
}

// LeaseWritten answers WriteLease: the write took effect.
type LeaseWritten struct {
	Version uint64
}

// LeaseConflict answers WriteLease: the object no longer had the expected
// version, so nothing was written.
type LeaseConflict struct{}

// LeaseFailed answers ReadLease and WriteLease: the store did not answer. A
// write may still have taken effect.
type LeaseFailed struct{}

// OrderDone answers SendOrder: the engine confirmed the order.
type OrderDone struct{}

// OrderStale answers SendOrder: the engine rejected the fencing number.
type OrderStale struct{}

// OrderFailed answers SendOrder: the engine rejected the order for another
// reason or did not answer. It may have carried out the order.
type OrderFailed struct{}

// OrderLate answers SendOrder: according to the host's clock it was too late,
// so the host did not send the order.
type OrderLate struct{}

func (DesiredChanged) event() {}
func (ReportReceived) event() {}
func (Tick) event()           {}
func (LeaseRead) event()      {}
func (LeaseWritten) event()   {}
func (LeaseConflict) event()  {}
func (LeaseFailed) event()    {}
func (OrderDone) event()      {}
func (OrderStale) event()     {}
func (OrderFailed) event()    {}
func (OrderLate) event()      {}
