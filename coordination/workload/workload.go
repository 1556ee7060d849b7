package workload

import (
	"sync/atomic"
	"time"
)

const (
	// requestCPUTime, refusalCPUTime and eventCPUTime are the CPU times of a
	// request that is sent to an upstream, of a request that is refused, and of
	// one event of a stream. They are constants because the process's own clock
	// does not show its CPU time if the VM has less than one core.
	requestCPUTime = 400 * time.Microsecond
	refusalCPUTime = 130 * time.Microsecond
	eventCPUTime   = 25 * time.Microsecond
	// shedCPUTime is the CPU time of a connection that is closed without being
	// read: it needs no goroutine, reads no request head and writes no log
	// line.
	shedCPUTime = 13 * time.Microsecond
	// rateWeight is the weight of one interval of a tenth of a second. With it
	// the rates follow a change within half a second, the time in which new
	// traffic can saturate a small VM.
	rateWeight = 0.2
	// initialEventRate is the assumed number of events per second of a stream
	// until some have been observed. It lies between the rates of full and of
	// idle engines.
	initialEventRate = 20.0
	// minEmittingStreams is the minimum number of emitting streams from which
	// the event rate is learned.
	minEmittingStreams = 5
)

// Estimator counts a router's work and estimates the load that it will cause.
// Observe must be called from a single periodic task. All other methods are
// safe for concurrent use.
type Estimator struct {
	// cores is the VM's CPU share in cores; 0 if it is not known.
	cores float64

	requests atomic.Int64
	refusals atomic.Int64
	shed     atomic.Int64
	events   atomic.Int64
	// activeStreams is the number of streams that have not ended,
	// emittingStreams the number of those whose answer has begun.
	activeStreams   atomic.Int64
	emittingStreams atomic.Int64

	rates      atomic.Pointer[rates]
	lastTotals Totals
}

// Totals holds the counts of a router's work since its start.
type Totals struct {
	// Requests counts the requests sent to upstreams, Refusals those that the
	// router refused, Shed the connections closed without being read, and
	// Events the events of streams.
	Requests, Refusals, Shed, Events int64
}

// Since returns the counts since earlier totals.
func (t Totals) Since(earlier Totals) Totals {
	return Totals{t.Requests - earlier.Requests, t.Refusals - earlier.Refusals, t.Shed - earlier.Shed, t.Events - earlier.Events}
}

// rates holds exponentially weighted means over the last intervals.
type rates struct {
	// requestLoad is the fraction of the CPU share used by requests sent to
	// upstreams, turnedAwayLoad the fraction used by refusals and by
	// connections closed without being read, and eventLoad the fraction used by
	// events.
	requestLoad, turnedAwayLoad, eventLoad float64
	// eventRate is the number of events per second of a stream whose answer has
	// begun.
	eventRate float64
}

// New returns an estimator for a VM with the given CPU share in cores; 0 means
// that the share is not known.
func New(cores float64) *Estimator {
	e := &Estimator{cores: cores}
	e.rates.Store(&rates{eventRate: initialEventRate})
	return e
}

// AddRequest counts a request that is sent to an upstream.
func (e *Estimator) AddRequest() { e.requests.Add(1) }

// AddRefusal counts a request that is refused.
func (e *Estimator) AddRefusal() { e.refusals.Add(1) }

// AddShed counts a connection that is closed without being read.
func (e *Estimator) AddShed() { e.shed.Add(1) }

// Totals returns the current counts.
func (e *Estimator) Totals() Totals {
	return Totals{e.requests.Load(), e.refusals.Load(), e.shed.Load(), e.events.Load()}
}

// ActiveStreams returns the number of streams that have not ended.
func (e *Estimator) ActiveStreams() int64 { return e.activeStreams.Load() }

// AddEvent counts an event of a stream.
func (e *Estimator) AddEvent() { e.events.Add(1) }

// StreamSent counts a stream that was sent to an engine.
func (e *Estimator) StreamSent() { e.activeStreams.Add(1) }

// StreamStarted counts a stream whose answer has begun.
func (e *Estimator) StreamStarted() { e.emittingStreams.Add(1) }

// StreamEnded removes a stream from the counts. The argument started says
// whether its answer had begun.
func (e *Estimator) StreamEnded(started bool) {
	e.activeStreams.Add(-1)
	if started {
		e.emittingStreams.Add(-1)
	}
}

// Observe updates the rates at the end of an interval. The argument is the time
// since the last call.
func (e *Estimator) Observe(interval time.Duration) {
	now := e.Totals()
	done := now.Since(e.lastTotals)
	e.lastTotals = now
	if e.cores <= 0 || interval <= 0 {
		return
	}
	next := *e.rates.Load()
	share := e.cores * float64(interval)
	turnedAway := float64(done.Refusals)*float64(refusalCPUTime) + float64(done.Shed)*float64(shedCPUTime)
	next.requestLoad += rateWeight * (float64(done.Requests)*float64(requestCPUTime)/share - next.requestLoad)
	next.turnedAwayLoad += rateWeight * (turnedAway/share - next.turnedAwayLoad)
	next.eventLoad += rateWeight * (float64(done.Events)*float64(eventCPUTime)/share - next.eventLoad)
	if emitting := e.emittingStreams.Load(); emitting >= minEmittingStreams {
		next.eventRate += rateWeight * (float64(done.Events)/interval.Seconds()/float64(emitting) - next.eventRate)
	}
	e.rates.Store(&next)
}

// ExpectedLoad returns the fraction of the CPU share that callers will use once
// all active streams have started to answer, and at least the fraction that
// they used recently. It is 0 if the share is not known.
func (e *Estimator) ExpectedLoad() float64 {
	return e.ExpectedRelayLoad() + e.rates.Load().turnedAwayLoad
}

// ExpectedRelayLoad is ExpectedLoad without the cost of turning callers away.
// If a router counted that cost, turning callers away would keep it full, and
// it would never accept a caller again.
func (e *Estimator) ExpectedRelayLoad() float64 {
	if e.cores <= 0 {
		return 0
	}
	r := e.rates.Load()
	streams := float64(e.activeStreams.Load()) * r.eventRate * eventCPUTime.Seconds() / e.cores
	return r.requestLoad + max(r.eventLoad, streams)
}
