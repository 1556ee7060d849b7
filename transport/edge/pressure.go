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
	// closeCallersFileShare is how many callers' connections there may be before
	// answers ask to close them. Connections that callers leave idle would take
	// the descriptors, and new callers wait for their opening packet to be sent
	// again.
	closeCallersFileShare = 0.25
	// notReadyFileShare is how many connections of all kinds there may be before the
	// router says that it is not ready, so that new callers go to others, and
	// calmShare how few there must be before it is ready again.
	notReadyFileShare = 0.5
	readyFileShare    = 0.4
	// refuseFileShare is how many there may be before requests are refused. At the
	// limit itself neither callers nor upstreams get connections, and callers
	// wait in vain for seconds.
	refuseFileShare = 0.85
	// reservedFiles are descriptors that are not for sockets.
	reservedFiles = 200
	// notReadyCPUShare is the part of the VM's processor share that relaying may
	// be expected to take before the router counts as busy, and calmProcessor
	// what it must fall to. Streams that run on hold the load for seconds after
	// new callers have gone elsewhere.
	notReadyCPUShare = 0.55
	readyCPUShare    = 0.4
	// refuseCPUShare is the part from which requests are refused, to come back
	// at once: their callers then reach another router, and the requests that
	// run here are not late.
	refuseCPUShare = 0.85
	// nearCapacityCPUShare is the same for workspaces that have had their fair
	// shares, so that others whose callers meet the same router are served.
	nearCapacityCPUShare = 0.75
	// nearCapacityBudget is the part of the burst of processor time from which what is
	// left is kept for them as well.
	nearCapacityBudget = 0.25
	// reopenBudget is the part of it that has to be left before a router that turned
	// callers away takes them on again.
	reopenBudget = 0.25
	// notReadyClosedShare is the part of the time, on average over some rounds, in which
	// callers are turned away from which the router counts as busy, and calmPaused
	// what it must fall to.
	notReadyClosedShare = 0.1
	readyClosedShare    = 0.05
	// refuseReadDelay is how late requests may be read before callers are turned away.
	refuseReadDelay = 150 * time.Millisecond
	// notReadyTickLag is the lateness of a periodic task, on average over some
	// rounds, from which the processor counts as overloaded.
	notReadyTickLag = 120 * time.Millisecond
	// smoothingWeight is the weight of one round.
	smoothingWeight = 0.2
)

// pressure tells how near the process is to its limits.
type pressure struct {
	fileLimit     float64
	callerConns   atomic.Int64
	upstreamConns atomic.Int64
	overloaded    atomic.Bool
	notReady      readinessBackoff
	// tickLag is the average lateness; only the periodic task writes it.
	tickLag atomic.Int64
	now     func() time.Time
	// cpuEstimate estimates the processor's use, budget bounds what is taken on.
	cpuEstimate *workload.Estimator
	cpuBudget   *workload.CPUBudget
	// portClosed is how long new connections were turned away, pausedBefore the same by
	// the last round; only the periodic task uses the latter.
	portClosed       closedTimer
	portClosedBefore time.Duration
	// portClosedShare is the average part of the time; only the periodic task uses it.
	portClosedShare float64
	// readDelay measures how late requests are read.
	readDelay *readDelayTracker
}

func newPressure(maxFiles int, cpuCores float64, now func() time.Time) *pressure {
	p := &pressure{
		fileLimit:   float64(max(maxFiles-reservedFiles, 0)),
		now:         now,
		cpuEstimate: workload.New(cpuCores),
		cpuBudget:   workload.NewCPUBudget(cpuCores),
	}
	p.readDelay = newReadDelayTracker(now, func() { p.cpuBudget.ReleaseConnection(now()) })
	return p
}

// countRequest counts a request that is sent to an upstream.
func (p *pressure) countRequest(engine bool) {
	p.cpuEstimate.AddRequest()
	if !engine {
		p.cpuBudget.ChargeRequest(p.now())
		return
	}
	p.cpuEstimate.StreamSent()
	p.cpuBudget.ChargeStream(p.now())
}

// countRefusal counts a request that is refused.
func (p *pressure) countRefusal() {
	p.cpuEstimate.AddRefusal()
	p.cpuBudget.ChargeRefusal(p.now())
}

// countStreamEnd counts a stream that ended; events is 0 if it was not answered whole.
func (p *pressure) countStreamEnd(emitting bool, events int) {
	p.cpuEstimate.StreamEnded(emitting)
	if events > 0 {
		p.cpuBudget.LearnStreamEvents(events)
	}
}

// countUnsentStream notes that a stream's upstream did not take it.
func (p *pressure) countUnsentStream() { p.cpuBudget.RefundStream(p.now()) }

// connStateChanged is the callers' server's hook on the state of connections.
func (p *pressure) connStateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		p.callerConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		p.callerConns.Add(-1)
		if p.readDelay.connClosed(conn) {
			p.cpuBudget.ReleaseConnection(p.now())
			p.cpuBudget.ChargeShed(p.now())
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
		p.upstreamConns.Add(1)
		return &countedConn{Conn: conn, onClose: func() { p.upstreamConns.Add(-1) }}, nil
	}
}

// countedConn tells once that it was closed.
type countedConn struct {
	net.Conn
	onClose func()
	once    sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

func (p *pressure) exceedsFileShare(connections int64, share float64) bool {
	return p.fileLimit > 0 && float64(connections) > share*p.fileLimit
}

func (p *pressure) openConns() int64 { return p.callerConns.Load() + p.upstreamConns.Load() }

// Crowded says whether callers should close their connections.
func (p *pressure) shouldCloseCallers() bool {
	return p.overloaded.Load() || p.exceedsFileShare(p.callerConns.Load(), closeCallersFileShare)
}

// atCapacity says whether there is no room for another request.
func (p *pressure) atCapacity() bool {
	return p.cpuBudget.RemainingFraction(p.now()) < 0 || p.cpuEstimate.ExpectedRelayLoad() > refuseCPUShare || p.exceedsFileShare(p.openConns(), refuseFileShare) || p.readDelay.backlogDelay() > refuseReadDelay
}

// nearCapacity says whether there is little room left.
func (p *pressure) nearCapacity() bool {
	return p.cpuEstimate.ExpectedRelayLoad() > nearCapacityCPUShare || p.cpuBudget.RemainingFraction(p.now()) < nearCapacityBudget
}

// admitConn says whether a new connection is taken on; else it is to be closed unread.
// To read a request only to refuse it takes a good part of what relaying one does,
// and the streams that were admitted would wait behind it.
func (p *pressure) admitConn() bool {
	if !p.cpuBudget.Bounded() {
		return true
	}
	if !p.atCapacity() && p.cpuBudget.TryAccept(p.now()) {
		return true
	}
	p.cpuEstimate.AddShed()
	p.cpuBudget.ChargeShed(p.now())
	return false
}

// canReopen says whether a router that turned callers away takes them on again:
// for more than one at a time, since each change takes system calls.
func (p *pressure) canReopen() bool {
	if !p.cpuBudget.Bounded() {
		return true
	}
	return !p.atCapacity() && p.cpuBudget.RemainingFraction(p.now()) >= reopenBudget
}

// observe takes how late a periodic task ran and how long after the last time,
// and says whether the router became busy or calm.
func (p *pressure) observe(lateness, interval time.Duration) (overloaded, changed bool) {
	lag := p.tickLag.Load()
	lag += int64(smoothingWeight * float64(int64(lateness)-lag))
	p.tickLag.Store(lag)
	p.cpuEstimate.Observe(interval)
	expectedCPU := p.cpuEstimate.ExpectedLoad()
	wasOverloaded := p.overloaded.Load()
	fileShareLimit, lagLimit, cpuShareLimit, closedShareLimit := notReadyFileShare, notReadyTickLag, notReadyCPUShare, notReadyClosedShare
	if wasOverloaded {
		fileShareLimit, lagLimit, cpuShareLimit, closedShareLimit = readyFileShare, notReadyTickLag/2, readyCPUShare, readyClosedShare
	}
	p.observeClosedTime(interval)
	overloaded = p.portClosedShare > closedShareLimit || p.exceedsFileShare(p.openConns(), fileShareLimit) || time.Duration(lag) > lagLimit || expectedCPU > cpuShareLimit
	p.overloaded.Store(overloaded)
	p.notReady.observe(overloaded, overloaded && !wasOverloaded, interval)
	return overloaded, overloaded != wasOverloaded
}

// observeClosedTime takes for how much of a round callers were turned away.
func (p *pressure) observeClosedTime(interval time.Duration) {
	closedTotal := p.portClosed.sum(p.now())
	if interval > 0 {
		share := min((closedTotal-p.portClosedBefore).Seconds()/interval.Seconds(), 1)
		p.portClosedShare += smoothingWeight * (share - p.portClosedShare)
	}
	p.portClosedBefore = closedTotal
}

// acceptsNewCallers says whether new callers may come.
func (p *pressure) acceptsNewCallers() bool { return !p.overloaded.Load() && !p.notReady.active.Load() }
