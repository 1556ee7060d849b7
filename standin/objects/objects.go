// Package objects is a small stand-in of the users' platform's store: it lists
// and watches, and can be away.
package objects

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figstile/figstile/platform"
	"github.com/figstile/figstile/transport/edge"
)

// Store is an http.Handler.
type Store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	objects  map[edge.Kind]map[string]edge.Object
	// history holds every change; the store lives for a run only.
	history     map[edge.Kind][]edge.Object
	unavailable bool
}

// New returns an empty store.
func New() *Store {
	s := &Store{revision: 1, objects: make(map[edge.Kind]map[string]edge.Object), history: make(map[edge.Kind][]edge.Object)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Put writes an object.
func (s *Store) Put(kind edge.Kind, name string, spec []byte) {
	s.write(kind, edge.Object{Name: name, Spec: spec})
}

// Remove removes an object.
func (s *Store) Remove(kind edge.Kind, name string) {
	s.write(kind, edge.Object{Name: name, Removed: true, Spec: []byte("null")})
}

func (s *Store) write(kind edge.Kind, o edge.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]edge.Object)
	}
	if o.Removed {
		delete(s.objects[kind], o.Name)
	} else {
		s.objects[kind][o.Name] = o
	}
	s.history[kind] = append(s.history[kind], o)
	s.changed.Broadcast()
}

// SetUnavailable makes the store refuse all calls, or serve again.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.changed.Broadcast()
}

// ServeHTTP answers lists and watches.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := platform.KindFromPath(r.URL.Path)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	after, wait, isWatch := platform.ParseWatchQuery(r.URL.Query())
	if isWatch {
		s.awaitChange(after, wait)
	}
	if s.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer, err := s.encodeAnswer(kind, after, isWatch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(answer)
}

// awaitChange waits for a change after a revision, at most for a time.
func (s *Store) awaitChange(after uint64, wait time.Duration) {
	timedOut := false
	timer := time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		timedOut = true
		s.changed.Broadcast()
	})
	defer timer.Stop()
	for !timedOut && !s.unavailable && s.revision <= after {
		s.changed.Wait()
	}
}

func (s *Store) encodeAnswer(kind edge.Kind, after uint64, isWatch bool) ([]byte, error) {
	if isWatch {
		changes := slices.DeleteFunc(slices.Clone(s.history[kind]), func(o edge.Object) bool { return o.Revision <= after })
		return platform.EncodeChanges(changes, s.revision)
	}
	var all []edge.Object
	for _, o := range s.objects[kind] {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b edge.Object) int { return strings.Compare(a.Name, b.Name) })
	return platform.EncodeList(all, s.revision)
}
