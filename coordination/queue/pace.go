package queue

import "time"

const (
	// paceSmoothing weighs the newest interval between two departures. One
	// in five follows a change of load within about ten departures.
	paceSmoothing = 0.2
	// paceMemory is how long the pace of a workspace without waiting
	// requests is kept.
	paceMemory = time.Minute
)

// pace is how fast a workspace's queue moves at this router. It learns only
// while requests wait, since an idle queue says nothing of the service.
type pace struct {
	interval time.Duration
	last     time.Time
}

func (p *pace) served(now time.Time) {
	interval := now.Sub(p.last)
	p.last = now
	if p.interval == 0 {
		p.interval = interval
		return
	}
	p.interval += time.Duration(paceSmoothing * float64(interval-p.interval))
}

// wait is the queue's length at its pace, plus how far the next departure is
// overdue: a queue that stopped moving is seen at once.
func (t *tenant) wait(now time.Time) time.Duration {
	if t.requests == 0 || t.pace.interval == 0 {
		return 0
	}
	overdue := max(0, now.Sub(t.pace.last)-t.pace.interval)
	return time.Duration(t.requests)*t.pace.interval + overdue
}
