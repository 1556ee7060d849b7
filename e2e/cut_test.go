package e2e

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// forwarder is a TCP proxy whose connections can be cut. While it is cut, it
// closes the open connections and all new ones, like a network partition with
// resets.
type forwarder struct {
	net.Listener
	target string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

// newForwarder returns a forwarder to the address of an http URL.
func newForwarder(t *testing.T, baseURL string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &forwarder{
		Listener: listener,
		target:   strings.TrimPrefix(baseURL, "http://"),
		conns:    make(map[net.Conn]struct{}),
	}
	go f.acceptLoop()
	t.Cleanup(func() {
		f.cut()
		f.Close()
	})
	return f
}

func (f *forwarder) url() string { return "http://" + f.Addr().String() }

func (f *forwarder) acceptLoop() {
	for {
		conn, err := f.Accept()
		if err != nil {
			return
		}
		go f.forward(conn)
	}
}

func (f *forwarder) forward(conn net.Conn) {
	defer conn.Close()
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !f.track(conn, out) {
		return
	}
	defer f.untrack(conn, out)
	go func() {
		_, _ = io.Copy(out, conn)
		out.Close()
	}()
	_, _ = io.Copy(conn, out)
}

func (f *forwarder) track(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		if !f.isCut {
			f.conns[c] = struct{}{}
		}
	}
	return !f.isCut
}

func (f *forwarder) untrack(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		delete(f.conns, c)
	}
}

func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = true
	for c := range f.conns {
		c.Close()
	}
}

func (f *forwarder) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = false
}
