package queue

import "time"

const (
	// paceSmoothing is the weight of the newest interval between two
	// departures. With 0.2, the pace adapts to a change of load within about
	// ten departures.
	paceSmoothing = 0.2
	// paceMemory is the time for which the pace of a workspace without waiting
	// requests is kept.
	paceMemory = time.Minute
)

// departurePace is the mean interval between departures from a workspace's
// queue at this router. It is updated only while requests wait, since an idle
// queue says nothing about the speed of service.
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

// estimatedWait returns the length of the queue times the mean interval between
// departures, plus the time by which the next departure is overdue, so that a
// queue that has stalled is detected at once.
func (q *workspaceQueue) estimatedWait(now time.Time) time.Duration {
	if q.requests == 0 || q.pace.interval == 0 {
		return 0
	}
	overdue := max(0, now.Sub(q.pace.lastDeparture)-q.pace.interval)
	return time.Duration(q.requests)*q.pace.interval + overdue
}
