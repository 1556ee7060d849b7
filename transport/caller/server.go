package caller

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ServerOptions bound what callers' connections may hold. Zero values take the
// defaults.
type ServerOptions struct {
	// HeaderTimeout bounds reading a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout bounds a connection's time between two requests.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds a request's head.
	MaxHeaderBytes int
	// MaxConnections bounds open connections of one listener.
	MaxConnections int
}

const (
	// defaultHeaderTimeout lets a caller on a poor mobile link through and
	// ends those who hold connections open with half a head.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is above the idle time of common balancers, so that
	// the balancer and not the router closes first and no request meets a
	// closing connection.
	defaultIdleTimeout = 2 * time.Minute
	// defaultMaxHeaderBytes holds a token, a key and a browser's cookies.
	defaultMaxHeaderBytes = 32 << 10
	// defaultMaxConnections stays below the usual limit of open files.
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

// NewServer returns an HTTP server with the limits. It sets no time-out on a
// whole request, since a long draft streams for minutes; Handler bounds each
// read and write instead.
func NewServer(handler http.Handler, opts ServerOptions) *http.Server {
	opts = opts.withDefaults()
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    opts.MaxHeaderBytes,
	}
}

// LimitListener returns a listener that holds at most the options' number of open
// connections. Further ones wait in the kernel's queue, where they cost no
// memory here.
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

// Accept waits for a free slot, then for a connection.
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

// Close closes the listener and ends a wait for a slot.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	releasePermit func()
	releaseOnce   sync.Once
}

// NetConn returns the connection below.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and frees its slot once.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.releasePermit)
	return err
}
