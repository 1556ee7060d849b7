// Package memory decides how many bytes of messages a process may hold at once.
//
// It answers the load pattern in which many connections carry long messages at
// the same time: each of them is within its own limit, and together they exceed
// the memory of the VM.
package memory

import "sync/atomic"

// Budget limits the bytes that are held at once. A Budget with the limit 0 is
// unlimited. It is safe for concurrent use and does not block.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of limit bytes; 0 means no limit.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// TryReserve reserves n bytes and reports whether they were available. Reserved
// bytes must be returned with Release.
func (b *Budget) TryReserve(n int64) bool {
	for {
		held := b.held.Load()
		if b.limit > 0 && held+n > b.limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// Held returns the number of reserved bytes.
func (b *Budget) Held() int64 { return b.held.Load() }

// Reservation is the part of a budget that one message uses. The zero value
// with a budget is empty. It is not safe for concurrent use.
type Reservation struct {
	Budget *Budget
	bytes  int64
}

// TryGrow extends the reservation to at least size bytes and reports whether
// they were available.
func (r *Reservation) TryGrow(size int64) bool {
	more := size - r.bytes
	if more <= 0 || r.Budget == nil {
		return true
	}
	if !r.Budget.TryReserve(more) {
		return false
	}
	r.bytes = size
	return true
}

// Release returns the whole reservation.
func (r *Reservation) Release() {
	if r.Budget != nil {
		r.Budget.Release(r.bytes)
	}
	r.bytes = 0
}
