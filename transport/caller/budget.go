package caller

import "sync"

// budget bounds what a router's requests hold in memory together.
type budget struct {
	mu       sync.Mutex
	requests int
	bytes    int64
}

func newBudget(requests int, bytes int64) *budget {
	return &budget{requests: requests, bytes: bytes}
}

// enter admits one request; the hold is released by its release.
func (b *budget) enter() (*hold, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests == 0 {
		return nil, false
	}
	b.requests--
	return &hold{budget: b}, true
}

// hold is one request's part of a budget.
type hold struct {
	budget *budget
	bytes  int64
}

func (h *hold) grow(n int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.budget.bytes < n {
		return false
	}
	h.budget.bytes -= n
	h.bytes += n
	return true
}

func (h *hold) shrink(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.bytes += n
	h.bytes -= n
}

func (h *hold) release() {
	h.shrink(h.bytes)
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.requests++
}
