package workload

import (
	"sync/atomic"
	"time"
)

const (
	// requestTime, refusalTime and eventTime are what a request that is sent,
	// one that is refused, and an event of a stream take of a processor. They are
	// fixed, since the process's own clock is no measure where a VM's share is
	// less than a core.
	requestCPUTime = 400 * time.Microsecond
	refusalCPUTime = 130 * time.Microsecond
	eventCPUTime   = 25 * time.Microsecond
	// shedCPUTime is what a connection takes that is closed unread: no goroutine,
	// no head and no log line.
	shedCPUTime = 13 * time.Microsecond
	// rateWeight is the weight of one round of a tenth of a second: rates follow
	// within half a second, in which a start of traffic fills a small VM.
	rateWeight = 0.2
	// initialEventRate is how many events a second a stream is taken to have until
	// some were seen; between those of full and of idle engines.
	initialEventRate = 20.0
	// minEmittingStreams is the number of streams from which a pace is learned.
	minEmittingStreams = 5
)

// Estimator counts a router's work. The counting methods and Expected are safe
// for concurrent use; Observe is for one periodic task.
type Estimator struct {
	// cores is the VM's share in cores; 0 if not known.
	cores float64

	requests atomic.Int64
	refusals atomic.Int64
	shed     atomic.Int64
	events   atomic.Int64
	// activeStreams are the streams under way, emitting those of them whose answer
	// has begun.
	activeStreams   atomic.Int64
	emittingStreams atomic.Int64

	rates      atomic.Pointer[rates]
	lastTotals Totals
}

// Totals count a router's work since its start.
type Totals struct {
	// Requests were sent to upstreams, Refusals answered by the router, and Shed
	// are connections that were closed unread. Events are those of streams.
	Requests, Refusals, Shed, Events int64
}

// Since returns what was counted since earlier totals.
func (t Totals) Since(earlier Totals) Totals {
	return Totals{t.Requests - earlier.Requests, t.Refusals - earlier.Refusals, t.Shed - earlier.Shed, t.Events - earlier.Events}
}

// rates are averages over some rounds.
type rates struct {
	// requestLoad is the part of the share that requests take which are sent on,
	// turnedAway that of refusals and connections closed unread, events that of
	// the events.
	requestLoad, turnedAwayLoad, eventLoad float64
	// eventRate is the number of events a second of a stream that has begun.
	eventRate float64
}

// New returns an estimate for a VM's processor share in cores; 0 if not known.
func New(cores float64) *Estimator {
	e := &Estimator{cores: cores}
	e.rates.Store(&rates{eventRate: initialEventRate})
	return e
}

// AddRequest counts a request that is sent to an upstream.
func (e *Estimator) AddRequest() { e.requests.Add(1) }

// AddRefusal counts a request that is refused.
func (e *Estimator) AddRefusal() { e.refusals.Add(1) }

// AddShed counts a connection that is closed unread.
func (e *Estimator) AddShed() { e.shed.Add(1) }

// Totals returns the counts.
func (e *Estimator) Totals() Totals {
	return Totals{e.requests.Load(), e.refusals.Load(), e.shed.Load(), e.events.Load()}
}

// ActiveStreams returns how many streams are under way.
func (e *Estimator) ActiveStreams() int64 { return e.activeStreams.Load() }

// AddEvent counts an event of a stream.
func (e *Estimator) AddEvent() { e.events.Add(1) }

// StreamSent counts a stream that was sent to an engine.
func (e *Estimator) StreamSent() { e.activeStreams.Add(1) }

// StreamStarted counts a stream whose answer has begun.
func (e *Estimator) StreamStarted() { e.emittingStreams.Add(1) }

// StreamEnded takes a stream out of the counts; emitting says whether its answer had
// begun.
func (e *Estimator) StreamEnded(started bool) {
	e.activeStreams.Add(-1)
	if started {
		e.emittingStreams.Add(-1)
	}
}

// Observe takes the length of the round since the last call.
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

// ExpectedLoad returns the part of the share that callers will take once all streams
// under way have begun, at least what they took lately; 0 if the share is not
// known.
func (e *Estimator) ExpectedLoad() float64 {
	return e.ExpectedRelayLoad() + e.rates.Load().turnedAwayLoad
}

// ExpectedRelayLoad is Expected without what turning callers away took. A router that
// counted that as work would have no room for as long as it has none.
func (e *Estimator) ExpectedRelayLoad() float64 {
	if e.cores <= 0 {
		return 0
	}
	r := e.rates.Load()
	streams := float64(e.activeStreams.Load()) * r.eventRate * eventCPUTime.Seconds() / e.cores
	return r.requestLoad + max(r.eventLoad, streams)
}
