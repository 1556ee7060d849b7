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

// departurePace is how fast a workspace's queue moves at this router. It learns only
// while requests wait, since an idle queue says nothing of the service.
type departurePace struct {
	interval      time.Duration
	lastDeparture time.Time
}

func (p *departurePace) recordDeparture(now time.Time) {
	interval := now.Sub(p.lastDeparture)
	p.lastDeparture = now
	if p.interval == 0 {
		p.interval = interval
		return
	}
	p.interval += time.Duration(paceSmoothing * float64(interval-p.interval))
}

// estimatedWait is the queue's length at its pace, plus how far the next departure is
// overdue: a queue that stopped moving is seen at once.
func (q *workspaceQueue) estimatedWait(now time.Time) time.Duration {
	if q.requests == 0 || q.pace.interval == 0 {
		return 0
	}
	overdue := max(0, now.Sub(q.pace.lastDeparture)-q.pace.interval)
	return time.Duration(q.requests)*q.pace.interval + overdue
}
