package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of one incarnation of a worker. It streams events on
// paths below /guide/ and answers everything else at once.
type worker struct {
	id, service, zone, address string
	slots                      int
	// events and gap describe the streams.
	events int
	gap    time.Duration
	record *record

	server  *http.Server
	running atomic.Int64
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	crashed bool
}

func (w *worker) start(listener net.Listener) {
	w.address = listener.Addr().String()
	w.conns = make(map[net.Conn]struct{})
	w.server = &http.Server{Handler: w, ConnState: w.track}
	go func() { _ = w.server.Serve(listener) }()
}

func (w *worker) track(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[conn] = struct{}{}
		if w.crashed {
			reset(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// crash closes the port and resets all connections, as the end of the worker's
// process does.
func (w *worker) crash() {
	w.mu.Lock()
	w.crashed = true
	conns := make([]net.Conn, 0, len(w.conns))
	for conn := range w.conns {
		conns = append(conns, conn)
	}
	w.mu.Unlock()
	for _, conn := range conns {
		reset(conn)
	}
	_ = w.server.Close()
}

// entry returns the worker's entry in the store.
func (w *worker) entry(state string) map[string]any {
	return map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "BatchSlots": w.slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": 1,
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	header := out.Header()
	header.Set("Keep-Alive", "timeout=5")
	header.Set("Instance-Id", w.id)
	if r.URL.Path == "/healthz" {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	header.Set("Attempt-Id", attempt)
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		header.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	running := w.running.Add(1)
	defer w.running.Add(-1)
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", running, w.slots))
	header.Set("Server-Signature", "s."+w.id+"."+attempt)
	w.record.ran(attempt, w, r.URL.Path)
	if !strings.HasPrefix(r.URL.Path, "/guide/") {
		_, _ = io.WriteString(out, "whole answer of "+w.id+"\n")
		return
	}
	header.Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(out)
	for i := 1; i <= w.events; i++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", i, i, attempt); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-time.After(w.gap):
		case <-r.Context().Done():
			return
		}
	}
}
