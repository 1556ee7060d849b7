package platform

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/figstile/figstile/transport/objectstore"
)

// Outage selects how the platform fails every call.
type Outage string

// The outages. During an outage, writes take effect only under OutageSlow.
const (
	// OutageNone serves calls as usual.
	OutageNone Outage = ""
	// OutageRefuse answers each call with status 503 at once.
	OutageRefuse Outage = "refuse"
	// OutageDrop closes each connection without an answer.
	OutageDrop Outage = "drop"
	// OutageHang holds each call until its caller leaves or the outage ends,
	// and then closes the connection.
	OutageHang Outage = "hang"
	// OutageSlow serves each call after a delay of Faults.DelayMs.
	OutageSlow Outage = "slow"
)

// The usual rate limits of the platform, in calls per second.
const (
	UsualWritesPerSecond = 300
	UsualReadsPerSecond  = 2000
)

// Faults holds the failures that the platform simulates and its rate limits.
// The zero value simulates no failures and limits nothing.
type Faults struct {
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; calls above
	// it are answered with status 429. Zero means no limit. A waiting watch
	// counts as one read.
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	Outage          Outage  `json:"outage,omitempty"`
	// DelayMs is the delay of each call under OutageSlow, in milliseconds.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of next writes that take effect although their
	// connections are closed before the answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseWrites is the number of next writes whose connections are closed
	// before the write takes effect. A caller cannot distinguish it from
	// LoseAnswers.
	LoseWrites int `json:"lose_writes,omitempty"`
	// StaleReads answers reads from the objects as they were when the
	// fault was switched on.
	StaleReads bool `json:"stale_reads,omitempty"`
	// VMLagMs is the age of the list of VMs that callers read, in milliseconds.
	VMLagMs int64 `json:"vm_lag_ms,omitempty"`
}

// CallKind is a kind of call; calls are counted by kind.
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

// Calls counts the calls that the platform received from all callers.
type Calls struct {
	Get   int64 `json:"get"`
	List  int64 `json:"list"`
	Put   int64 `json:"put"`
	Watch int64 `json:"watch"`
	VMs   int64 `json:"vms"`
	// Limited counts the calls answered with status 429. They are included in
	// the counts by kind above.
	Limited int64 `json:"limited"`
	// Bytes is the number of bytes in the bodies of answers.
	Bytes int64 `json:"bytes"`
}

// Total returns the number of calls of all kinds.
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

// Faults returns the current faults, with the counts of lost answers and writes
// that remain.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults. A change of the outage closes the connections
// of all calls in progress, including waiting watches.
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

// newLimiter returns a limiter with a burst of one second's worth of calls,
// like a service that counts its calls per second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// admission is the result of admit for one call: whether the call exceeds the
// rate limit, and the outage that applies to it.
type admission struct {
	limited bool
	outage  Outage
	delay   time.Duration
	// epoch is cancelled when the outage changes.
	epoch context.Context
}

// admit counts a call and determines the rate limit and the outage that apply
// to it, all under one lock. Later changes of the faults don't affect a counted
// call, except that a change of the outage ends its epoch.
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

// withFaults wraps a handler of the object API with the rate limits and
// outages.
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

// applyOutage applies the outage and reports whether the call is still to be
// served.
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

// consumeFault decrements the count of a fault and reports whether it was above
// zero.
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

// readStore returns the store that answers reads: the stale copy if
// Faults.StaleReads is set.
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
