package main

import (
	"encoding/json"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store, as it is sent.
type object struct {
	Metadata struct {
		Name            string
		Revision        uint64
		Created         uint64
		Finalizers      []string
		DeletionPending bool
	}
	Spec   json.RawMessage
	Status json.RawMessage
}

// change is one event of a watch.
type change struct {
	Removed  bool
	Resource object
}

// store is a stand-in for the platform's store. It keeps every change, so that a
// watch never gets a 410.
type store struct {
	mu       sync.Mutex
	revision uint64
	history  map[string][]change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, history: make(map[string][]change), changed: make(chan struct{})}
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec any) error {
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Metadata.Created, o.Metadata.Finalizers = name, s.revision, s.revision, []string{}
	o.Spec, o.Status = text, json.RawMessage("null")
	s.history[kind] = append(s.history[kind], change{Resource: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// ServeHTTP answers lists and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := strings.CutPrefix(path.Clean(r.URL.Path), "/objects/")
	if !ok || r.Method != http.MethodGet || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	if query.Get("Subscribe") == "" {
		_ = json.NewEncoder(w).Encode(s.list(kind))
		return
	}
	after, err := strconv.ParseUint(query.Get("Subscribe"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("WaitTimeoutMs"))
	if err != nil {
		wait = 0
	}
	_ = json.NewEncoder(w).Encode(s.watch(r, kind, after, time.Duration(wait)*time.Millisecond))
}

type listing struct {
	Entries []object
	HasMore bool
	At      uint64
}

func (s *store) list(kind string) listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]object)
	for _, c := range s.history[kind] {
		newest[c.Resource.Metadata.Name] = c.Resource
		if c.Removed {
			delete(newest, c.Resource.Metadata.Name)
		}
	}
	answer := listing{Entries: []object{}, At: s.revision}
	for _, o := range newest {
		answer.Entries = append(answer.Entries, o)
	}
	slices.SortFunc(answer.Entries, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return answer
}

type events struct {
	Events []change `json:"events"`
	At     uint64
}

// watch returns the changes after a revision, as soon as there is one.
func (s *store) watch(r *http.Request, kind string, after uint64, wait time.Duration) events {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		answer := events{Events: []change{}, At: max(after, s.revision)}
		for _, c := range s.history[kind] {
			if c.Resource.Metadata.Revision > after {
				answer.Events = append(answer.Events, c)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timeout:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Spec, o.Status = name, s.revision, json.RawMessage("null"), json.RawMessage("null")
	s.history[kind] = append(s.history[kind], change{Removed: true, Resource: o})
	close(s.changed)
	s.changed = make(chan struct{})
}
