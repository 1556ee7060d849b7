package edge

import (
	"sync"
	"time"
)

// closedTimer measures the total time for which a router's port was closed, so
// that it turned away all new connections.
type closedTimer struct {
	mu    sync.Mutex
	since time.Time
	total time.Duration
}

func (t *closedTimer) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since = now
}

func (t *closedTimer) end(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.since.IsZero() {
		t.total += now.Sub(t.since)
	}
	t.since = time.Time{}
}

// sum returns the total closed time, including a period that has not ended.
func (t *closedTimer) sum(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() {
		return t.total
	}
	return t.total + now.Sub(t.since)
}
