package workload

import "time"

const (
	// lagSamples is how many connections a read lag is taken from. Callers may
	// take their time to send a request; that all of so many do is the router's
	// own doing.
	lagSamples = 8
	// lagSampleExpiry is how long a connection counts.
	lagSampleExpiry = time.Second
)

// ReadLag estimates how long requests wait unread in this process: the least
// time between the acceptance of a connection and the reading of its first
// request, over the last connections. The zero value is usable. It is not safe
// for concurrent use.
type ReadLag struct {
	samples [lagSamples]lagSample
	next    int
}

// lagSample is one connection.
type lagSample struct {
	readAt time.Time
	wait   time.Duration
}

// Record takes that the first request of a connection was read.
func (l *ReadLag) Record(now time.Time, wait time.Duration) {
	l.samples[l.next] = lagSample{readAt: now, wait: wait}
	l.next = (l.next + 1) % lagSamples
}

// Lag returns the estimate; zero while connections are few.
func (l *ReadLag) Lag(now time.Time) time.Duration {
	minWait := time.Duration(0)
	for i, s := range l.samples {
		if s.readAt.IsZero() || now.Sub(s.readAt) > lagSampleExpiry {
			return 0
		}
		if i == 0 || s.wait < minWait {
			minWait = s.wait
		}
	}
	return minWait
}
