package workload

import "time"

const (
	// readDelaySamples is the number of connections from which the read delay is
	// computed. A caller may be slow to send its request, but if all of these
	// connections had to wait, the router itself is slow.
	readDelaySamples = 8
	// readDelaySampleExpiry is the age at which a sample is no longer used.
	readDelaySampleExpiry = time.Second
)

// ReadDelayEstimator estimates the read delay: how long requests wait unread in
// this process. The estimate is the minimum time between the acceptance of a
// connection and the reading of its first request, over the last
// readDelaySamples connections. The zero value is ready to use. A
// ReadDelayEstimator is not safe for concurrent use.
type ReadDelayEstimator struct {
	samples [readDelaySamples]readDelaySample
	next    int
}

// readDelaySample is the read delay of one connection.
type readDelaySample struct {
	readAt time.Time
	wait   time.Duration
}

// Record records that the first request of a connection was read at the given
// time, after the given wait.
func (e *ReadDelayEstimator) Record(now time.Time, wait time.Duration) {
	e.samples[e.next] = readDelaySample{readAt: now, wait: wait}
	e.next = (e.next + 1) % readDelaySamples
}

// ReadDelay returns the estimate. It is zero while fewer than readDelaySamples
// connections were read within readDelaySampleExpiry.
func (e *ReadDelayEstimator) ReadDelay(now time.Time) time.Duration {
	minWait := time.Duration(0)
	for i, s := range e.samples {
		if s.readAt.IsZero() || now.Sub(s.readAt) > readDelaySampleExpiry {
			return 0
		}
		if i == 0 || s.wait < minWait {
			minWait = s.wait
		}
	}
	return minWait
}
