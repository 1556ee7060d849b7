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

func (p *closedTimer) begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since = now
}

func (p *closedTimer) end(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.since.IsZero() {
		p.total += now.Sub(p.since)
	}
	p.since = time.Time{}
}

// sum returns the total closed time, including a period that has not ended.
func (p *closedTimer) sum(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() {
		return p.total
	}
	return p.total + now.Sub(p.since)
}
