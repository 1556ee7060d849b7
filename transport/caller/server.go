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
	// HeaderBytes bounds a request's head.
	HeaderBytes int
	// Connections bounds open connections of one listener.
	Connections int
}

const (
	// defaultHeaderTimeout lets a caller on a poor mobile link through and
	// ends those who hold connections open with half a head.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is above the idle time of common balancers, so that
	// the balancer and not the router closes first and no request meets a
	// closing connection.
	defaultIdleTimeout = 2 * time.Minute
	// defaultHeaderBytes holds a token, a key and a browser's cookies.
	defaultHeaderBytes = 32 << 10
	// defaultConnections stays below the usual limit of open files.
	defaultConnections = 16384
)

func (o ServerOptions) withDefaults() ServerOptions {
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.HeaderBytes == 0 {
		o.HeaderBytes = defaultHeaderBytes
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
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
		MaxHeaderBytes:    opts.HeaderBytes,
	}
}

// Limit returns a listener that holds at most the options' number of open
// connections. Further ones wait in the kernel's queue, where they cost no
// memory here.
func Limit(listener net.Listener, opts ServerOptions) net.Listener {
	opts = opts.withDefaults()
	return &limitedListener{
		Listener: listener,
		slots:    make(chan struct{}, opts.Connections),
		closed:   make(chan struct{}),
	}
}

type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits for a free slot, then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, free: func() { <-l.slots }}, nil
}

// Close closes the listener and ends a wait for a slot.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	free func()
	once sync.Once
}

// NetConn returns the connection below.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and frees its slot once.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.free)
	return err
}
