package fencing

import "github.com/figstile/figstile/state"

// Event is something that happened. Events are plain data.
type Event interface{ event() }

// DesiredChanged replaces what the engine is to hold; nil if this router has no say
// over it any more.
type DesiredChanged struct {
	Desired *DesiredState
}

// ReportReceived is a load report as it was read just now.
type ReportReceived struct {
	Report state.LoadReport
}

// Tick comes at a steady pace, well below Timing.Jump.
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

// LeaseConflict answers WriteLease: another write came first.
type LeaseConflict struct{}

// LeaseFailed answers ReadLease and WriteLease: the store gave no answer, and
// a write may have taken effect.
type LeaseFailed struct{}

// OrderDone answers SendOrder: the engine says that it obeyed.
type OrderDone struct{}

// OrderStale answers SendOrder: the engine refused the fencing number.
type OrderStale struct{}

// OrderFailed answers SendOrder: the engine refused the order for another
// reason or gave no answer. It may have obeyed.
type OrderFailed struct{}

// OrderLate answers SendOrder: the host found the order late by its clock and
// did not send it.
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
