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
	OutageNone Outage = ""
	// OutageRefuse answers 503 at once.
	OutageRefuse Outage = "refuse"
	// OutageDrop cuts each connection without an answer.
	OutageDrop Outage = "drop"
	// OutageHang holds each call until the caller leaves or the outage ends, and
	// then cuts the connection.
	OutageHang Outage = "hang"
	// OutageSlow serves each call after Faults.DelayMs.
	OutageSlow Outage = "slow"
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

// CallKind is a kind of call, for counting.
type CallKind int

// The kinds of calls.
const (
	GetCall CallKind = iota
	ListCall
	PutCall
	WatchCall
	VMsCall
	callKindCount
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
		Get:     p.callCounts[GetCall],
		List:    p.callCounts[ListCall],
		Put:     p.callCounts[PutCall],
		Watch:   p.callCounts[WatchCall],
		VMs:     p.callCounts[VMsCall],
		Limited: p.limitedCalls,
		Bytes:   p.answerBytes.Load(),
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
		p.writeLimiter = newLimiter(f.WritesPerSecond)
	}
	if f.ReadsPerSecond != previous.ReadsPerSecond {
		p.readLimiter = newLimiter(f.ReadsPerSecond)
	}
	switch {
	case !f.StaleReads:
		p.staleStore = nil
	case p.staleStore == nil:
		p.staleStore = p.store.snapshot()
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
func (p *Platform) admit(kind CallKind) admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callCounts[kind]++
	limiter := p.readLimiter
	if kind == PutCall {
		limiter = p.writeLimiter
	}
	limited := !limiter.AllowN(p.opts.Now(), 1)
	if limited {
		p.limitedCalls++
	}
	return admission{
		limited: limited,
		outage:  p.faults.Outage,
		delay:   time.Duration(p.faults.DelayMs) * time.Millisecond,
		epoch:   p.epoch,
	}
}

// withFaults wraps a call of the object API in limits and outages.
func (p *Platform) withFaults(kind CallKind, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w, bytes: &p.answerBytes}
		admitted := p.admit(kind)
		if admitted.limited {
			writeJSON(counted, http.StatusTooManyRequests, objectstore.ErrorAnswer{Code: objectstore.CodeRateLimited})
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(admitted.epoch, cancel)()
		if p.applyOutage(ctx, admitted, counted) {
			serve(counted, r.WithContext(ctx))
		}
	}
}

// applyOutage applies the outage and reports whether the call is still served.
func (p *Platform) applyOutage(ctx context.Context, admitted admission, w http.ResponseWriter) bool {
	switch admitted.outage {
	case OutageRefuse:
		writeJSON(w, http.StatusServiceUnavailable, objectstore.ErrorAnswer{Code: objectstore.CodeUnavailable})
		return false
	case OutageDrop:
		panic(http.ErrAbortHandler)
	case OutageHang:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case OutageSlow:
		if p.opts.Sleep(ctx, admitted.delay) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	return true
}

// consumeFault takes one off a fault's count and reports whether there was one.
func (p *Platform) consumeFault(count func(*Faults) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := count(&p.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// readStore is the store that reads are answered from.
func (p *Platform) readStore() *Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staleStore != nil {
		return p.staleStore
	}
	return p.store
}

// serveSetFaults serves POST /v1/faults.
func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := decodeBody(w, r, &faults); err != nil {
		reply(w, nil, err)
		return
	}
	p.SetFaults(faults)
	reply(w, faults, nil)
}
