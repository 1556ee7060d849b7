package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// capacityPollInterval is the interval at which a router with a closed port
// checks whether it has capacity again.
const capacityPollInterval = 5 * time.Millisecond

// callerListener accepts connections of callers while the router has capacity
// for them. Beyond that it refuses their requests without a decision, because a
// refused caller retries at another router, while many callers give up if they
// cannot connect. In a flood that would use up the CPU time, so the port is
// closed while the budget for it is used up, and the kernel refuses connections
// without involving the process.
type callerListener struct {
	config   net.ListenConfig
	address  string
	pressure *pressure
	// turnAway refuses the requests of connections for which the router has no
	// capacity. If it is nil, the connections are closed.
	turnAway *turnAway
	log      zerolog.Logger

	mu sync.Mutex
	// inner is nil while the port is closed.
	inner  *net.TCPListener
	closed bool
	// listenFailing is set while attempts to reopen the port fail.
	listenFailing bool
}

// listenCallers opens the port without TCP keep-alive probes. Idle connections
// are closed after the configured limit anyway, and enabling the probes took
// four system calls for each connection.
func listenCallers(address string, p *pressure, refuser *turnAway, log zerolog.Logger) (*callerListener, error) {
	l := &callerListener{config: net.ListenConfig{KeepAlive: -1}, address: address, pressure: p, turnAway: refuser, log: log}
	if err := l.listen(); err != nil {
		return nil, err
	}
	l.address = l.inner.Addr().String()
	return l, nil
}

// listen opens the port. The caller holds the lock, or is the only user of l.
func (l *callerListener) listen() error {
	inner, err := l.config.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return err
	}
	l.inner = inner.(*net.TCPListener)
	return nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.waitForPort()
		if err != nil {
			return nil, err
		}
		conn, err := inner.Accept()
		if err != nil || l.pressure.admitConn() {
			return conn, err
		}
		if l.turnAway != nil && l.pressure.tryTurnAway() {
			l.turnAway.start(conn)
			continue
		}
		_ = conn.Close()
		l.pressure.countShed()
		l.closePort()
	}
}

// canReopen reports whether a closed port may be opened.
func (l *callerListener) canReopen() bool {
	return l.pressure.canReopen() || l.turnAway != nil && l.pressure.canTurnAway()
}

// waitForPort waits until the router has capacity and returns the open port.
func (l *callerListener) waitForPort() (*net.TCPListener, error) {
	for {
		if inner, err := l.tryOpenPort(); inner != nil || err != nil {
			return inner, err
		}
		time.Sleep(capacityPollInterval)
	}
}

func (l *callerListener) tryOpenPort() (*net.TCPListener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, net.ErrClosed
	}
	if l.inner == nil && l.canReopen() {
		if err := l.listen(); err != nil {
			if !l.listenFailing {
				l.log.Warn().Err(err).Msg("port of callers not opened")
			}
			l.listenFailing = true
			return nil, nil
		}
		l.listenFailing = false
		l.pressure.portClosed.end(l.pressure.now())
	}
	return l.inner, nil
}

// closePort closes the port until the router has capacity again.
func (l *callerListener) closePort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.inner == nil {
		return
	}
	_ = l.inner.Close()
	l.inner = nil
	l.pressure.portClosed.begin(l.pressure.now())
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *callerListener) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp", l.address)
	return address
}
