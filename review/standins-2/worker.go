package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is HeartbeatMs: how often a worker writes its entry.
const heartbeat = 1200 * time.Millisecond

// worker is a stand-in for an application worker or an engine. It speaks HTTP by
// itself, so that a case decides on every byte of its answers.
type worker struct {
	id, service, zone string
	slots             int
	store             *store
	listener          net.Listener
	// handle runs a request and writes its answer. It returns false if the
	// connection is not to be used any further.
	handle func(c *workerConn, r *request) bool

	running  atomic.Int64
	sequence atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
	// ended is set once the worker has exited.
	ended bool
}

// request is a request that a worker received as a whole.
type request struct {
	*http.Request
	body    []byte
	attempt string
}

// workerConn is a router's connection to a worker.
type workerConn struct {
	net.Conn
	reader *bufio.Reader
	// late is written when the next request on this connection has arrived.
	late string
}

// newWorker opens a worker's port. Until serve is called, nobody knows of it.
func newWorker(s *store, id, service, zone string, slots int) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &worker{id: id, service: service, zone: zone, slots: slots, store: s, listener: listener, conns: make(map[net.Conn]bool)}, nil
}

// serve registers the worker and serves until it ends.
func (w *worker) serve() error {
	if err := w.beat(); err != nil {
		return err
	}
	go func() {
		for range time.Tick(heartbeat) {
			if w.beat() != nil {
				return
			}
		}
	}()
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serveConn(conn)
		}
	}()
	return nil
}

// beat writes the worker's entry, unless the worker has ended.
func (w *worker) beat() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil
	}
	return w.store.put("servers", w.id, map[string]any{
		"Service": w.service, "Address": w.listener.Addr().String(), "Zone": w.zone, "Version": "v1", "BatchSlots": w.slots,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": w.sequence.Add(1),
	})
}

// end makes the worker exit: its port and its connections are closed.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	_ = w.listener.Close()
	for conn := range w.conns {
		reset(conn)
	}
}

// crash ends the worker without a word; the store removes its entry after three
// heartbeats of silence.
func (w *worker) crash() {
	w.end()
	time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", w.id) })
}

// reset closes a connection as the kernel does for a process that was killed
// with bytes left to read.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (w *worker) serveConn(conn net.Conn) {
	c := &workerConn{Conn: conn, reader: bufio.NewReader(conn)}
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, conn)
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		got := &request{Request: r, body: body, attempt: r.Header.Get("Attempt-Id")}
		if r.Header.Get("Target-Instance") != w.id {
			if _, err := c.Write([]byte(notRun(http.StatusMisdirectedRequest, got.attempt))); err != nil {
				return
			}
			continue
		}
		if !w.handle(c, got) {
			return
		}
	}
}

// notRun is the answer of a worker that did not run a request.
func notRun(status int, attempt string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), attempt)
}

// answer is a worker's own answer.
func (w *worker) answer(status int, attempt string, body []byte) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Signature: %s.%s\r\nKeep-Alive: timeout=10\r\nServer-Load: %d,0,%d\r\nContent-Length: %s\r\n\r\n%s",
		status, http.StatusText(status), attempt, w.id, attempt, w.running.Load(), w.slots, strconv.Itoa(len(body)), body)
}
