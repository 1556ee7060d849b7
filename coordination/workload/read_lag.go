package workload

import "time"

const (
	// lagSamples is the number of connections from which the read lag is
	// computed. A caller may be slow to send its request, but if all of these
	// connections had to wait, the router itself is slow.
	lagSamples = 8
	// lagSampleExpiry is the age at which a sample is no longer used.
	lagSampleExpiry = time.Second
)

// ReadLag estimates how long requests wait unread in this process. The estimate
// is the minimum time between the acceptance of a connection and the reading of
// its first request, over the last connections. The zero value is ready to use.
// A ReadLag is not safe for concurrent use.
type ReadLag struct {
	samples [lagSamples]lagSample
	next    int
}

// lagSample is the wait of one connection.
type lagSample struct {
	readAt time.Time
	wait   time.Duration
}

// Record records that the first request of a connection was read after the
// given wait.
func (l *ReadLag) Record(now time.Time, wait time.Duration) {
	l.samples[l.next] = lagSample{readAt: now, wait: wait}
	l.next = (l.next + 1) % lagSamples
}

// Lag returns the estimate. It is zero if there are too few recent connections.
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
