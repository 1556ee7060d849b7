package upstream

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout is how long a connection may take to send a request's
// header before it is closed.
const readHeaderTimeout = 10 * time.Second

// Serve serves a handler on a TCP address until stop is called. Stopping closes
// the connections of requests in progress.
func Serve(addr string, handler http.Handler) (baseURL string, stop func(), err error) {
	s, err := startRestartableServer(addr, handler)
	if err != nil {
		return "", nil, err
	}
	return s.baseURL(), s.close, nil
}

// restartableServer is an HTTP server that can be closed and can listen again
// on the same address, like a process that crashes and restarts.
type restartableServer struct {
	addr    string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
}

func startRestartableServer(addr string, handler http.Handler) (*restartableServer, error) {
	s := &restartableServer{addr: addr, handler: handler}
	return s, s.listen()
}

func (s *restartableServer) baseURL() string { return "http://" + s.addr }

// listen starts listening; it does nothing if the server is already listening.
func (s *restartableServer) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr = listener.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	return nil
}

// close closes the listener and every connection.
func (s *restartableServer) close() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}
