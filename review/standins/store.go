package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store with the calls that
// routers make: lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	events   []storeEvent
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type storedObject struct {
	Metadata struct {
		Name     string
		Revision uint64
	}
	Spec json.RawMessage
}

type storeEvent struct {
	kind     string
	removed  bool
	resource storedObject
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
}

// put writes an object and returns the time at which the store accepted it.
func (s *store) put(kind, name string, spec any) time.Time {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := storedObject{Spec: encoded}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	s.objects[kind][name] = o
	s.record(storeEvent{kind: kind, resource: o})
	return time.Now()
}

// remove removes objects and returns the time at which the store did so.
func (s *store) remove(kind string, names ...string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removed []storeEvent
	for _, name := range names {
		o, ok := s.objects[kind][name]
		if !ok {
			continue
		}
		delete(s.objects[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		removed = append(removed, storeEvent{kind: kind, removed: true, resource: o})
	}
	s.record(removed...)
	return time.Now()
}

func (s *store) record(events ...storeEvent) {
	s.events = append(s.events, events...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(kind string) ([]storedObject, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]storedObject, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		entries = append(entries, o)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Metadata.Name < entries[j].Metadata.Name })
	return entries, s.revision
}

func (s *store) since(kind string, after uint64) (events []storeEvent, at uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		if e.kind == kind && e.resource.Metadata.Revision > after {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

// storeAnswerTime is the time that the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// link is one machine's path to the store.
type link struct {
	store  *store
	server *http.Server
	// cut is set while the machine is partitioned from the store: nothing is
	// answered then, neither new calls nor waiting ones.
	cut atomic.Bool
}

func newLink(s *store, listener net.Listener) *link {
	l := &link{store: s}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	return l
}

// ServeHTTP implements http.Handler.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := &heldAnswer{header: make(http.Header), status: http.StatusOK}
	l.store.ServeHTTP(held, r)
	if l.cut.Load() {
		<-r.Context().Done()
		return
	}
	for name, values := range held.header {
		w.Header()[name] = values
	}
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body.Bytes())
}

// heldAnswer is an answer of the store that has not left it.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (h *heldAnswer) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *heldAnswer) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, found := strings.CutPrefix(r.URL.Path, "/objects/")
	if !found || r.Method != http.MethodGet {
		http.Error(w, "not part of this stand-in", http.StatusNotFound)
		return
	}
	time.Sleep(storeAnswerTime)
	query := r.URL.Query()
	if subscribe := query.Get("Subscribe"); subscribe != "" {
		after, _ := strconv.ParseUint(subscribe, 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitTimeoutMs"))
		s.watch(w, r, kind, after, time.Duration(wait)*time.Millisecond)
		return
	}
	entries, at := s.list(kind)
	answer(w, map[string]any{"Entries": entries, "HasMore": false, "At": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for waiting := true; ; {
		events, at, changed := s.since(kind, after)
		if len(events) > 0 || !waiting {
			list := make([]map[string]any, 0, len(events))
			for _, e := range events {
				list = append(list, map[string]any{"Removed": e.removed, "Resource": e.resource})
			}
			answer(w, map[string]any{"events": list, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}
