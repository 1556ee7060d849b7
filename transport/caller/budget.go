package caller

import "sync"

// budget limits the number of requests in progress in a router and the memory
// that their bodies use together. freeRequests and freeBytes count what is
// still available.
type budget struct {
	mu           sync.Mutex
	freeRequests int
	freeBytes    int64
}

func newBudget(requests int, bytes int64) *budget {
	return &budget{freeRequests: requests, freeBytes: bytes}
}

// acquire admits one request, or returns false if the router has reached its
// limit of requests. The allocation must be freed with release.
func (b *budget) acquire() (*allocation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freeRequests == 0 {
		return nil, false
	}
	b.freeRequests--
	return &allocation{budget: b}, true
}

// allocation is the part of a budget that one request uses.
type allocation struct {
	budget *budget
	bytes  int64
}

// grow reserves n more bytes. It returns false, and reserves nothing, if fewer
// bytes are left in the budget.
func (a *allocation) grow(n int64) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.budget.freeBytes < n {
		return false
	}
	a.budget.freeBytes -= n
	a.bytes += n
	return true
}

// shrink returns n of the reserved bytes to the budget.
func (a *allocation) shrink(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.freeBytes += n
	a.bytes -= n
}

// release returns the request and its remaining bytes to the budget.
func (a *allocation) release() {
	a.shrink(a.bytes)
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.freeRequests++
}
