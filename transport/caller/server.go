package caller

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ServerOptions limit the resources that callers' connections may use. Zero
// values take the defaults.
type ServerOptions struct {
	// HeaderTimeout limits the time to read the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time that a connection is kept open between two
	// requests.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the size of the head of a request.
	MaxHeaderBytes int
	// MaxConnections limits the open connections of one listener.
	MaxConnections int
}

const (
	// defaultHeaderTimeout is long enough for a caller on a poor mobile link,
	// and closes the connections of clients that never complete a request's
	// head.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is longer than the idle time of common load balancers.
	// The load balancer then closes idle connections first, and no request is
	// sent on a connection that the router is closing.
	defaultIdleTimeout = 2 * time.Minute
	// defaultMaxHeaderBytes is enough for a token, a key and a browser's
	// cookies.
	defaultMaxHeaderBytes = 32 << 10
	// defaultMaxConnections is below the usual limit on open files.
	defaultMaxConnections = 16384
)

func (o ServerOptions) withDefaults() ServerOptions {
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultMaxConnections
	}
	return o
}

// NewServer returns an HTTP server with the given limits. It sets no timeout
// for a whole request, since a long answer streams for minutes; Handler limits
// each read and write instead.
func NewServer(handler http.Handler, opts ServerOptions) *http.Server {
	opts = opts.withDefaults()
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    opts.MaxHeaderBytes,
	}
}

// LimitListener returns a listener that keeps at most MaxConnections
// connections open. Further connections wait in the kernel's queue, where they
// use no memory of this process.
func LimitListener(listener net.Listener, opts ServerOptions) net.Listener {
	opts = opts.withDefaults()
	return &limitedListener{
		Listener: listener,
		permits:  make(chan struct{}, opts.MaxConnections),
		closed:   make(chan struct{}),
	}
}

type limitedListener struct {
	net.Listener
	permits   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits until the number of open connections is below the limit, then
// for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.permits <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.permits
		return nil, err
	}
	return &limitedConn{Conn: conn, releasePermit: func() { <-l.permits }}, nil
}

// Close closes the listener and ends a waiting Accept.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	releasePermit func()
	releaseOnce   sync.Once
}

// NetConn returns the wrapped connection.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and releases its permit once.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.releasePermit)
	return err
}
