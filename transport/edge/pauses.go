package edge

import (
	"sync"
	"time"
)

// closedTimer measures how long a router turned away all new connections.
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

// sum returns the time of all pauses, that under way included.
func (p *closedTimer) sum(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() {
		return p.total
	}
	return p.total + now.Sub(p.since)
}
