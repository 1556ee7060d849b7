package platform

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/figstile/figstile/transport/objectstore"
)

// Outage is a way in which the platform fails every call.
type Outage string

// The outages. None of them lets a write take effect but Slow.
const (
	// NoOutage: calls are served.
	NoOutage Outage = ""
	// Refuse answers 503 at once.
	Refuse Outage = "refuse"
	// Drop cuts each connection without an answer.
	Drop Outage = "drop"
	// Hang holds each call until the caller leaves or the outage ends, and
	// then cuts the connection.
	Hang Outage = "hang"
	// Slow serves each call after Faults.DelayMs.
	Slow Outage = "slow"
)

// The platform's usual rates of calls a second.
const (
	UsualWritesPerSecond = 300
	UsualReadsPerSecond  = 2000
)

// Faults is what the platform does wrong, and its limits. The zero value is a
// platform without either.
type Faults struct {
	// WritesPerSecond and ReadsPerSecond limit calls; beyond them the answer
	// is 429. Zero is no limit. A waiting watch counts as one read.
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	Outage          Outage  `json:"outage,omitempty"`
	// DelayMs is how slow a Slow platform is.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// LoseAnswers lets this many of the next writes take effect and cuts the
	// connection before the answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseWrites cuts the connections of this many of the next writes before
	// they take effect. A caller cannot tell it from LoseAnswers.
	LoseWrites int `json:"lose_writes,omitempty"`
	// StaleReads answers reads from the objects as they were when it was
	// switched on.
	StaleReads bool `json:"stale_reads,omitempty"`
	// VMLagMs is how old the list of machines is.
	VMLagMs int64 `json:"vm_lag_ms,omitempty"`
}

// Kind is a kind of call, for counting.
type Kind int

// The kinds of calls.
const (
	GetCall Kind = iota
	ListCall
	PutCall
	WatchCall
	VMsCall
	kinds
)

// Calls counts what the platform was asked, over all callers.
type Calls struct {
	Get   int64 `json:"get"`
	List  int64 `json:"list"`
	Put   int64 `json:"put"`
	Watch int64 `json:"watch"`
	VMs   int64 `json:"vms"`
	// Limited counts the calls answered with 429, which are in the counts
	// above as well.
	Limited int64 `json:"limited"`
	// Bytes counts the bytes of answers' bodies.
	Bytes int64 `json:"bytes"`
}

// Total is the number of calls of every kind.
func (c Calls) Total() int64 { return c.Get + c.List + c.Put + c.Watch + c.VMs }

// Calls returns the counts so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Calls{
		Get:     p.counts[GetCall],
		List:    p.counts[ListCall],
		Put:     p.counts[PutCall],
		Watch:   p.counts[WatchCall],
		VMs:     p.counts[VMsCall],
		Limited: p.limited,
		Bytes:   p.bytes.Load(),
	}
}

// Faults returns the faults that are left.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults. A change of the outage cuts off every call in
// progress, waiting watches too.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.faults
	p.faults = f
	if f.Outage != previous.Outage {
		p.endEpoch()
		p.epoch, p.endEpoch = context.WithCancel(context.Background())
	}
	if f.WritesPerSecond != previous.WritesPerSecond {
		p.writes = newLimiter(f.WritesPerSecond)
	}
	if f.ReadsPerSecond != previous.ReadsPerSecond {
		p.reads = newLimiter(f.ReadsPerSecond)
	}
	switch {
	case !f.StaleReads:
		p.stale = nil
	case p.stale == nil:
		p.stale = p.store.snapshot()
	}
}

// newLimiter allows a second's worth of calls at once, as a service does that
// counts them by the second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// admission is what a call met when it came in.
type admission struct {
	limited bool
	outage  Outage
	delay   time.Duration
	// epoch ends when the outage changes.
	epoch context.Context
}

// admit counts a call and decides what it meets, in one step: a call that has
// been counted is not touched by a later change of the faults, but that its
// epoch ends.
func (p *Platform) admit(kind Kind) admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[kind]++
	limiter := p.reads
	if kind == PutCall {
		limiter = p.writes
	}
	limited := !limiter.AllowN(p.opts.Now(), 1)
	if limited {
		p.limited++
	}
	return admission{
		limited: limited,
		outage:  p.faults.Outage,
		delay:   time.Duration(p.faults.DelayMs) * time.Millisecond,
		epoch:   p.epoch,
	}
}

// guarded wraps a call of the object API in limits and outages.
func (p *Platform) guarded(kind Kind, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w, bytes: &p.bytes}
		met := p.admit(kind)
		if met.limited {
			writeJSON(counted, http.StatusTooManyRequests, objectstore.ErrorAnswer{Code: objectstore.CodeRateLimited})
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(met.epoch, cancel)()
		if p.suffer(ctx, met, counted) {
			serve(counted, r.WithContext(ctx))
		}
	}
}

// suffer applies the outage and reports whether the call is still served.
func (p *Platform) suffer(ctx context.Context, met admission, w http.ResponseWriter) bool {
	switch met.outage {
	case Refuse:
		writeJSON(w, http.StatusServiceUnavailable, objectstore.ErrorAnswer{Code: objectstore.CodeUnavailable})
		return false
	case Drop:
		panic(http.ErrAbortHandler)
	case Hang:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case Slow:
		if p.opts.Sleep(ctx, met.delay) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	return true
}

// use takes one off a fault's count and reports whether there was one.
func (p *Platform) use(count func(*Faults) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := count(&p.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// readStore is the store that reads are answered from.
func (p *Platform) readStore() *Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale != nil {
		return p.stale
	}
	return p.store
}

// controlFaults serves POST /v1/faults.
func (p *Platform) controlFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := decodeBody(w, r, &faults); err != nil {
		reply(w, nil, err)
		return
	}
	p.SetFaults(faults)
	reply(w, faults, nil)
}
