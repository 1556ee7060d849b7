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

// Load balancers choose a router by a hash of the caller, so one router may get
// ten times the load of another. A router uses two descriptors for each running
// request and has a fraction of a core. The file shares below compare the
// number of open connections with the number of descriptors that the process
// may open, less reservedFiles.
const (
	// closeCallersFileShare is the share of the descriptors used by callers'
	// connections above which answers ask callers to close them. Otherwise idle
	// connections use up the descriptors, and new callers wait until their SYN
	// packet is sent again.
	closeCallersFileShare = 0.25
	// notReadyFileShare is the share of the descriptors used by all connections
	// above which the router reports not ready, so that new callers use other
	// routers. It becomes ready again at readyFileShare.
	notReadyFileShare = 0.5
	readyFileShare    = 0.4
	// refuseFileShare is the share of the descriptors used by all connections
	// above which requests are refused. Without free descriptors neither
	// callers nor upstreams can be connected, and callers wait in vain for
	// seconds.
	refuseFileShare = 0.85
	// reservedFiles is the number of descriptors that are not used for
	// connections.
	reservedFiles = 200
	// notReadyCPUShare is the fraction of the VM's CPU share above which the
	// expected CPU use for all callers, also those that are turned away, makes
	// the router report not ready. It recovers at readyCPUShare. Running
	// streams keep up the load for seconds after new callers have gone to other
	// routers.
	notReadyCPUShare = 0.55
	readyCPUShare    = 0.4
	// refuseCPUShare is the fraction of the CPU share above which the expected
	// CPU use for relaying makes the router refuse requests with an immediate
	// retry. The callers then reach another router, and the requests running
	// here are not delayed.
	refuseCPUShare = 0.85
	// nearCapacityCPUShare is the same for workspaces that have used their fair
	// shares, so that other workspaces with callers at this router are still
	// served.
	nearCapacityCPUShare = 0.75
	// nearCapacityBudget is the fraction of the CPU budget's burst that is
	// reserved for those other workspaces as well.
	nearCapacityBudget = 0.25
	// reopenBudget is the fraction of the CPU budget's burst that must be
	// available before a router with a closed port accepts callers again.
	reopenBudget = 0.25
	// notReadyClosedShare is the fraction of time with a closed port, averaged
	// over some ticks, above which the router reports not ready. It recovers at
	// readyClosedShare.
	notReadyClosedShare = 0.1
	readyClosedShare    = 0.05
	// refuseReadDelay is the read delay, from the acceptance of a connection
	// until its request is read, above which callers are turned away.
	refuseReadDelay = 150 * time.Millisecond
	// notReadyTickLag is the delay of the periodic task, averaged over some
	// ticks, above which the CPU counts as overloaded. The router recovers at
	// half of it.
	notReadyTickLag = 120 * time.Millisecond
	// smoothingWeight is the weight of one tick in these averages.
	smoothingWeight = 0.2
)

// pressure tracks how close the process is to its limits on descriptors and
// CPU.
type pressure struct {
	fileLimit     float64
	callerConns   atomic.Int64
	upstreamConns atomic.Int64
	overloaded    atomic.Bool
	notReady      readinessBackoff
	// tickLag is the average delay of the periodic task in nanoseconds. Only
	// that task writes it.
	tickLag atomic.Int64
	now     func() time.Time
	// cpuEstimate estimates the CPU use. cpuBudget limits the work that is
	// accepted.
	cpuEstimate *workload.Estimator
	cpuBudget   *workload.CPUBudget
	// portClosed measures how long the port was closed. portClosedBefore is its
	// sum at the last tick; only the periodic task uses it.
	portClosed       closedTimer
	portClosedBefore time.Duration
	// portClosedShare is the average fraction of time for which the port was
	// closed. Only the periodic task uses it.
	portClosedShare float64
	// readDelay measures how long requests wait in this process before they
	// are read.
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

// countRefusal counts a refused request.
func (p *pressure) countRefusal() {
	p.cpuEstimate.AddRefusal()
	p.cpuBudget.ChargeRefusal(p.now())
}

// countStreamEnd counts the end of a stream. events is 0 if the stream was not
// answered completely.
func (p *pressure) countStreamEnd(emitting bool, events int) {
	p.cpuEstimate.StreamEnded(emitting)
	if events > 0 {
		p.cpuBudget.LearnStreamEvents(events)
	}
}

// countUnsentStream refunds the cost of a stream that its upstream did not
// accept.
func (p *pressure) countUnsentStream() { p.cpuBudget.RefundStream(p.now()) }

// connStateChanged is the ConnState hook of the callers' server.
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

// dial returns a dial function that counts the open connections.
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

// countedConn is a connection that calls onClose once when it is closed.
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

// shouldCloseCallers reports whether answers should ask callers to close their
// connections.
func (p *pressure) shouldCloseCallers() bool {
	return p.overloaded.Load() || p.exceedsFileShare(p.callerConns.Load(), closeCallersFileShare)
}

// atCapacity reports whether the router has no capacity for another request.
func (p *pressure) atCapacity() bool {
	return p.cpuBudget.RemainingFraction(p.now()) < 0 || p.cpuEstimate.ExpectedRelayLoad() > refuseCPUShare || p.exceedsFileShare(p.openConns(), refuseFileShare) || p.readDelay.backlogDelay() > refuseReadDelay
}

// nearCapacity reports whether the remaining capacity is reserved for
// workspaces below their fair shares.
func (p *pressure) nearCapacity() bool {
	return p.cpuEstimate.ExpectedRelayLoad() > nearCapacityCPUShare || p.cpuBudget.RemainingFraction(p.now()) < nearCapacityBudget
}

// admitConn reports whether a new connection is accepted. If not, it must be
// closed without reading from it. Reading a request only to refuse it takes a
// large part of the CPU time that relaying it would take, and delays the
// streams that were admitted.
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

// canReopen reports whether a router with a closed port has capacity again. It
// requires capacity for several connections, since each change of the port
// takes system calls.
func (p *pressure) canReopen() bool {
	if !p.cpuBudget.Bounded() {
		return true
	}
	return !p.atCapacity() && p.cpuBudget.RemainingFraction(p.now()) >= reopenBudget
}

// observe runs on each tick. lateness is the tick's delay and interval the time
// since the last tick. It reports whether the router is overloaded, and whether
// that changed.
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

// observeClosedTime updates the average fraction of time for which the port was
// closed.
func (p *pressure) observeClosedTime(interval time.Duration) {
	closedTotal := p.portClosed.sum(p.now())
	if interval > 0 {
		share := min((closedTotal-p.portClosedBefore).Seconds()/interval.Seconds(), 1)
		p.portClosedShare += smoothingWeight * (share - p.portClosedShare)
	}
	p.portClosedBefore = closedTotal
}

// acceptsNewCallers reports whether load balancers may send new callers.
func (p *pressure) acceptsNewCallers() bool { return !p.overloaded.Load() && !p.notReady.active.Load() }
