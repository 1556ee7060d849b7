package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// capacityPollInterval is how often a router that does not listen looks whether it has room.
const capacityPollInterval = 5 * time.Millisecond

// callerListener listens for callers while the router has room for them. While it
// has none the port is closed: the kernel refuses connections at once and without
// the process, which a flood would take up by their acceptance alone. A caller
// that was never connected may try again elsewhere, whatever it asks for.
type callerListener struct {
	config   net.ListenConfig
	address  string
	pressure *pressure
	log      zerolog.Logger

	mu sync.Mutex
	// inner is nil while the port is closed.
	inner  *net.TCPListener
	closed bool
	// listenFailing is set while the port could not be opened again.
	listenFailing bool
}

// listenCallers listens without probes of idle connections: unused ones are
// closed after the configuration's limit, and to set the probes up took four
// system calls for each connection.
func listenCallers(address string, p *pressure, log zerolog.Logger) (*callerListener, error) {
	l := &callerListener{config: net.ListenConfig{KeepAlive: -1}, address: address, pressure: p, log: log}
	if err := l.listen(); err != nil {
		return nil, err
	}
	l.address = l.inner.Addr().String()
	return l, nil
}

// listen opens the port. The caller holds the lock, or nobody else knows of l.
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

// waitForPort waits for room and returns the open port.
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

// closePort closes the port until there is room.
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
