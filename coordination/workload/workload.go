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
	requestTime = 400 * time.Microsecond
	refusalTime = 130 * time.Microsecond
	eventTime   = 25 * time.Microsecond
	// shedTime is what a connection takes that is closed unread: no goroutine,
	// no head and no log line.
	shedTime = 13 * time.Microsecond
	// learning is the weight of one round of a tenth of a second: rates follow
	// within half a second, in which a start of traffic fills a small VM.
	learning = 0.2
	// initialPace is how many events a second a stream is taken to have until
	// some were seen; between those of full and of idle engines.
	initialPace = 20.0
	// minEmitting is the number of streams from which a pace is learned.
	minEmitting = 5
)

// Estimate counts a router's work. The counting methods and Expected are safe
// for concurrent use; Observe is for one periodic task.
type Estimate struct {
	// processors is the VM's share in cores; 0 if not known.
	processors float64

	requests atomic.Int64
	refusals atomic.Int64
	shed     atomic.Int64
	events   atomic.Int64
	// active are the streams under way, emitting those of them whose answer
	// has begun.
	active   atomic.Int64
	emitting atomic.Int64

	rates  atomic.Pointer[rates]
	before Totals
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
	// requests is the part of the share that requests take which are sent on,
	// turnedAway that of refusals and connections closed unread, events that of
	// the events.
	requests, turnedAway, events float64
	// pace is the number of events a second of a stream that has begun.
	pace float64
}

// New returns an estimate for a VM's processor share in cores; 0 if not known.
func New(processors float64) *Estimate {
	e := &Estimate{processors: processors}
	e.rates.Store(&rates{pace: initialPace})
	return e
}

// Request counts a request that is sent to an upstream.
func (e *Estimate) Request() { e.requests.Add(1) }

// Refusal counts a request that is refused.
func (e *Estimate) Refusal() { e.refusals.Add(1) }

// Shed counts a connection that is closed unread.
func (e *Estimate) Shed() { e.shed.Add(1) }

// Totals returns the counts.
func (e *Estimate) Totals() Totals {
	return Totals{e.requests.Load(), e.refusals.Load(), e.shed.Load(), e.events.Load()}
}

// Streams returns how many streams are under way.
func (e *Estimate) Streams() int64 { return e.active.Load() }

// Event counts an event of a stream.
func (e *Estimate) Event() { e.events.Add(1) }

// Began counts a stream that was sent to an engine.
func (e *Estimate) Began() { e.active.Add(1) }

// Emitting counts a stream whose answer has begun.
func (e *Estimate) Emitting() { e.emitting.Add(1) }

// Ended takes a stream out of the counts; emitting says whether its answer had
// begun.
func (e *Estimate) Ended(emitting bool) {
	e.active.Add(-1)
	if emitting {
		e.emitting.Add(-1)
	}
}

// Observe takes the length of the round since the last call.
func (e *Estimate) Observe(round time.Duration) {
	now := e.Totals()
	done := now.Since(e.before)
	e.before = now
	if e.processors <= 0 || round <= 0 {
		return
	}
	next := *e.rates.Load()
	share := e.processors * float64(round)
	turnedAway := float64(done.Refusals)*float64(refusalTime) + float64(done.Shed)*float64(shedTime)
	next.requests += learning * (float64(done.Requests)*float64(requestTime)/share - next.requests)
	next.turnedAway += learning * (turnedAway/share - next.turnedAway)
	next.events += learning * (float64(done.Events)*float64(eventTime)/share - next.events)
	if emitting := e.emitting.Load(); emitting >= minEmitting {
		next.pace += learning * (float64(done.Events)/round.Seconds()/float64(emitting) - next.pace)
	}
	e.rates.Store(&next)
}

// Expected returns the part of the share that callers will take once all streams
// under way have begun, at least what they took lately; 0 if the share is not
// known.
func (e *Estimate) Expected() float64 { return e.Relaying() + e.rates.Load().turnedAway }

// Relaying is Expected without what turning callers away took. A router that
// counted that as work would have no room for as long as it has none.
func (e *Estimate) Relaying() float64 {
	if e.processors <= 0 {
		return 0
	}
	r := e.rates.Load()
	streams := float64(e.active.Load()) * r.pace * eventTime.Seconds() / e.processors
	return r.requests + max(r.events, streams)
}
