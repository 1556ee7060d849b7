package caller

import "sync"

// budget bounds what a router's requests hold in memory together.
type budget struct {
	mu           sync.Mutex
	freeRequests int
	freeBytes    int64
}

func newBudget(requests int, bytes int64) *budget {
	return &budget{freeRequests: requests, freeBytes: bytes}
}

// acquire admits one request; the hold is released by its release.
func (b *budget) acquire() (*allocation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freeRequests == 0 {
		return nil, false
	}
	b.freeRequests--
	return &allocation{budget: b}, true
}

// allocation is one request's part of a budget.
type allocation struct {
	budget *budget
	bytes  int64
}

func (h *allocation) grow(n int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.budget.freeBytes < n {
		return false
	}
	h.budget.freeBytes -= n
	h.bytes += n
	return true
}

func (h *allocation) shrink(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.freeBytes += n
	h.bytes -= n
}

func (h *allocation) release() {
	h.shrink(h.bytes)
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.freeRequests++
}
