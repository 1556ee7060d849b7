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
// for them. Otherwise its port is closed, and the kernel refuses connections at
// once without involving the process, which under overload would use up its CPU
// time just by accepting them. A caller that was never connected may retry at
// another router, whatever its request is.
type callerListener struct {
	config   net.ListenConfig
	address  string
	pressure *pressure
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
func listenCallers(address string, p *pressure, log zerolog.Logger) (*callerListener, error) {
	l := &callerListener{config: net.ListenConfig{KeepAlive: -1}, address: address, pressure: p, log: log}
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
		_ = conn.Close()
		l.closePort()
	}
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
	if l.inner == nil && l.pressure.canReopen() {
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
