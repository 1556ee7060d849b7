package edge

import (
	"sync"
	"time"
)

// pauses measures how long a router turned away all new connections.
type pauses struct {
	mu    sync.Mutex
	since time.Time
	total time.Duration
}

func (p *pauses) begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since = now
}

func (p *pauses) end(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.since.IsZero() {
		p.total += now.Sub(p.since)
	}
	p.since = time.Time{}
}

// sum returns the time of all pauses, that under way included.
func (p *pauses) sum(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() {
		return p.total
	}
	return p.total + now.Sub(p.since)
}
