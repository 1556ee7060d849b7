package workload

import "time"

const (
	// lagSamples is how many connections a read lag is taken from. Callers may
	// take their time to send a request; that all of so many do is the router's
	// own doing.
	lagSamples = 8
	// lagMemory is how long a connection counts.
	lagMemory = time.Second
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
	at     time.Time
	waited time.Duration
}

// Read takes that the first request of a connection was read.
func (l *ReadLag) Read(now time.Time, waited time.Duration) {
	l.samples[l.next] = lagSample{at: now, waited: waited}
	l.next = (l.next + 1) % lagSamples
}

// Lag returns the estimate; zero while connections are few.
func (l *ReadLag) Lag(now time.Time) time.Duration {
	least := time.Duration(0)
	for i, s := range l.samples {
		if s.at.IsZero() || now.Sub(s.at) > lagMemory {
			return 0
		}
		if i == 0 || s.waited < least {
			least = s.waited
		}
	}
	return least
}
