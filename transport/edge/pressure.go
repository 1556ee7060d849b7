package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figstile/figstile/coordination/workload"
)

// Balancers choose a router by a hash of the caller, so that one router may
// get ten times as much as the next. It holds two descriptors for each running
// request and has a small part of a core. The parts below are of the
// descriptors that the process may open.
const (
	// crowdedShare is how many callers' connections there may be before
	// answers ask to close them. Connections that callers leave idle would take
	// the descriptors, and new callers wait for their opening packet to be sent
	// again.
	crowdedShare = 0.25
	// busyShare is how many connections of all kinds there may be before the
	// router says that it is not ready, so that new callers go to others, and
	// calmShare how few there must be before it is ready again.
	busyShare = 0.5
	calmShare = 0.4
	// fullShare is how many there may be before requests are refused. At the
	// limit itself neither callers nor upstreams get connections, and callers
	// wait in vain for seconds.
	fullShare = 0.85
	// reservedFiles are descriptors that are not for sockets.
	reservedFiles = 200
	// busyProcessor is the part of the VM's processor share that relaying may
	// be expected to take before the router counts as busy, and calmProcessor
	// what it must fall to. Streams that run on hold the load for seconds after
	// new callers have gone elsewhere.
	busyProcessor = 0.55
	calmProcessor = 0.4
	// fullProcessor is the part from which requests are refused, to come back
	// at once: their callers then reach another router, and the requests that
	// run here are not late.
	fullProcessor = 0.85
	// tightProcessor is the same for workspaces that have had their fair
	// shares, so that others whose callers meet the same router are served.
	tightProcessor = 0.75
	// tightBudget is the part of the burst of processor time from which what is
	// left is kept for them as well.
	tightBudget = 0.25
	// reopenBudget is the part of it that has to be left before a router that turned
	// callers away takes them on again.
	reopenBudget = 0.25
	// busyPaused is the part of the time, on average over some rounds, in which
	// callers are turned away from which the router counts as busy, and calmPaused
	// what it must fall to.
	busyPaused = 0.1
	calmPaused = 0.05
	// fullLag is how late requests may be read before callers are turned away.
	fullLag = 150 * time.Millisecond
	// busyLag is the lateness of a periodic task, on average over some
	// rounds, from which the processor counts as overloaded.
	busyLag = 120 * time.Millisecond
	// lagLearning is the weight of one round.
	lagLearning = 0.2
)

// pressure tells how near the process is to its limits.
type pressure struct {
	limit     float64
	callers   atomic.Int64
	upstreams atomic.Int64
	busy      atomic.Bool
	away      absence
	// lag is the average lateness; only the periodic task writes it.
	lag atomic.Int64
	now func() time.Time
	// work estimates the processor's use, budget bounds what is taken on.
	work   *workload.Estimator
	budget *workload.CPUBudget
	// paused is how long new connections were turned away, pausedBefore the same by
	// the last round; only the periodic task uses the latter.
	paused       pauses
	pausedBefore time.Duration
	// pausedPart is the average part of the time; only the periodic task uses it.
	pausedPart float64
	// arrivals measures how late requests are read.
	arrivals *arrivals
}

func newPressure(maxFiles int, processors float64, now func() time.Time) *pressure {
	p := &pressure{
		limit:  float64(max(maxFiles-reservedFiles, 0)),
		now:    now,
		work:   workload.New(processors),
		budget: workload.NewCPUBudget(processors),
	}
	p.arrivals = newArrivals(now, func() { p.budget.ReleaseConnection(now()) })
	return p
}

// requested counts a request that is sent to an upstream.
func (p *pressure) requested(engine bool) {
	p.work.AddRequest()
	if !engine {
		p.budget.ChargeRequest(p.now())
		return
	}
	p.work.StreamSent()
	p.budget.ChargeStream(p.now())
}

// refused counts a request that is refused.
func (p *pressure) refused() {
	p.work.AddRefusal()
	p.budget.ChargeRefusal(p.now())
}

// streamEnded counts a stream that ended; events is 0 if it was not answered whole.
func (p *pressure) streamEnded(emitting bool, events int) {
	p.work.StreamEnded(emitting)
	if events > 0 {
		p.budget.LearnStreamEvents(events)
	}
}

// unsent notes that a stream's upstream did not take it.
func (p *pressure) unsent() { p.budget.RefundStream(p.now()) }

// changed is the callers' server's hook on the state of connections.
func (p *pressure) changed(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		p.callers.Add(1)
	case http.StateClosed, http.StateHijacked:
		p.callers.Add(-1)
		if p.arrivals.closed(conn) {
			p.budget.ReleaseConnection(p.now())
			p.budget.ChargeShed(p.now())
		}
	}
}

// dial counts the connections that a dialer opens.
func (p *pressure) dial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		p.upstreams.Add(1)
		return &countedConn{Conn: conn, closed: func() { p.upstreams.Add(-1) }}, nil
	}
}

// countedConn tells once that it was closed.
type countedConn struct {
	net.Conn
	closed func()
	once   sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

func (p *pressure) exceeds(connections int64, share float64) bool {
	return p.limit > 0 && float64(connections) > share*p.limit
}

func (p *pressure) open() int64 { return p.callers.Load() + p.upstreams.Load() }

// Crowded says whether callers should close their connections.
func (p *pressure) crowded() bool {
	return p.busy.Load() || p.exceeds(p.callers.Load(), crowdedShare)
}

// full says whether there is no room for another request.
func (p *pressure) full() bool {
	return p.budget.RemainingFraction(p.now()) < 0 || p.work.ExpectedRelayLoad() > fullProcessor || p.exceeds(p.open(), fullShare) || p.arrivals.late() > fullLag
}

// tight says whether there is little room left.
func (p *pressure) tight() bool {
	return p.work.ExpectedRelayLoad() > tightProcessor || p.budget.RemainingFraction(p.now()) < tightBudget
}

// take says whether a new connection is taken on; else it is to be closed unread.
// To read a request only to refuse it takes a good part of what relaying one does,
// and the streams that were admitted would wait behind it.
func (p *pressure) take() bool {
	if !p.budget.Bounded() {
		return true
	}
	if !p.full() && p.budget.TryAccept(p.now()) {
		return true
	}
	p.work.AddShed()
	p.budget.ChargeShed(p.now())
	return false
}

// hasRoom says whether a router that turned callers away takes them on again:
// for more than one at a time, since each change takes system calls.
func (p *pressure) hasRoom() bool {
	if !p.budget.Bounded() {
		return true
	}
	return !p.full() && p.budget.RemainingFraction(p.now()) >= reopenBudget
}

// observe takes how late a periodic task ran and how long after the last time,
// and says whether the router became busy or calm.
func (p *pressure) observe(late, round time.Duration) (busy, changed bool) {
	lag := p.lag.Load()
	lag += int64(lagLearning * float64(int64(late)-lag))
	p.lag.Store(lag)
	p.work.Observe(round)
	expected := p.work.ExpectedLoad()
	was := p.busy.Load()
	files, lateness, processor, pausedPart := busyShare, busyLag, busyProcessor, busyPaused
	if was {
		files, lateness, processor, pausedPart = calmShare, busyLag/2, calmProcessor, calmPaused
	}
	p.observePauses(round)
	busy = p.pausedPart > pausedPart || p.exceeds(p.open(), files) || time.Duration(lag) > lateness || expected > processor
	p.busy.Store(busy)
	p.away.observe(busy, busy && !was, round)
	return busy, busy != was
}

// observePauses takes for how much of a round callers were turned away.
func (p *pressure) observePauses(round time.Duration) {
	paused := p.paused.sum(p.now())
	if round > 0 {
		part := min((paused-p.pausedBefore).Seconds()/round.Seconds(), 1)
		p.pausedPart += lagLearning * (part - p.pausedPart)
	}
	p.pausedBefore = paused
}

// welcomes says whether new callers may come.
func (p *pressure) welcomes() bool { return !p.busy.Load() && !p.away.holds.Load() }
