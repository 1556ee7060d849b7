package upstream

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout closes connections that never send a request.
const readHeaderTimeout = 10 * time.Second

// Serve serves a handler on a TCP address until stop is called. Stop cuts off
// what is in progress.
func Serve(addr string, handler http.Handler) (baseURL string, stop func(), err error) {
	d, err := openDoor(addr, handler)
	if err != nil {
		return "", nil, err
	}
	return d.baseURL(), d.shut, nil
}

// door is a listening server that can be shut and opened again on the same
// address, as that of a process that crashes and comes back.
type door struct {
	addr    string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
}

func openDoor(addr string, handler http.Handler) (*door, error) {
	d := &door{addr: addr, handler: handler}
	return d, d.open()
}

func (d *door) baseURL() string { return "http://" + d.addr }

// open listens again; an open door stays as it is.
func (d *door) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.addr = listener.Addr().String()
	d.server = &http.Server{Handler: d.handler, ReadHeaderTimeout: readHeaderTimeout}
	go func(server *http.Server) { _ = server.Serve(listener) }(d.server)
	return nil
}

// shut closes the listener and every connection.
func (d *door) shut() {
	d.mu.Lock()
	server := d.server
	d.server = nil
	d.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}
