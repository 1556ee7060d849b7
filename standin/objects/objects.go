// Package objects is an in-memory stand-in for the object store of the users'
// platform. It serves lists and watches, and can be made unavailable.
package objects

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figstile/figstile/platform"
	"github.com/figstile/figstile/transport/edge"
)

// Store is an in-memory object store that serves its lists and watches as an
// http.Handler.
type Store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	objects  map[edge.Kind]map[string]edge.Object
	// history holds every change by kind and is never trimmed, as the store
	// lives only as long as one test or trial.
	history     map[edge.Kind][]edge.Object
	unavailable bool
	// cuts counts the calls of CutWatches, waiting the watches that wait.
	cuts, waiting int
}

// New returns an empty store.
func New() *Store {
	s := &Store{revision: 1, objects: make(map[edge.Kind]map[string]edge.Object), history: make(map[edge.Kind][]edge.Object)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Put creates or replaces an object and increments the store's revision.
func (s *Store) Put(kind edge.Kind, name string, spec []byte) {
	s.write(kind, edge.Object{Name: name, Spec: spec})
}

// Remove deletes an object and records the removal for watches.
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

// SetUnavailable makes the store answer every call with status 503, or serve
// calls again.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.changed.Broadcast()
}

// CutWatches breaks the connections of all watches that wait.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts++
	s.changed.Broadcast()
}

// WaitingWatches returns the number of watches that wait for a change.
func (s *Store) WaitingWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// errCut ends a watch that is cut off.
var errCut = errors.New("objects: the watch was cut off")

// ServeHTTP answers a list or a watch; the kind of object comes from the path.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, ok := platform.KindFromPath(r.URL.Path)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	after, wait, isWatch := platform.ParseWatchQuery(r.URL.Query())
	answer, err := s.answer(kind, after, wait, isWatch)
	switch {
	case errors.Is(err, errCut):
		panic(http.ErrAbortHandler)
	case errors.Is(err, edge.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		_, _ = w.Write(answer)
	}
}

// answer returns the encoded answer to a list or a watch, or edge.ErrUnavailable.
func (s *Store) answer(kind edge.Kind, after uint64, wait time.Duration, isWatch bool) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cuts := s.cuts
	if isWatch {
		s.awaitChange(after, wait)
	}
	if s.cuts != cuts {
		return nil, errCut
	}
	if s.unavailable {
		return nil, edge.ErrUnavailable
	}
	return s.encodeAnswer(kind, after, isWatch)
}

// awaitChange waits until the store's revision exceeds after, the store becomes
// unavailable, the watch is cut off or the wait has passed. The caller holds the lock.
func (s *Store) awaitChange(after uint64, wait time.Duration) {
	timedOut := false
	cuts := s.cuts
	timer := time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		timedOut = true
		s.changed.Broadcast()
	})
	defer timer.Stop()
	s.waiting++
	defer func() { s.waiting-- }()
	for !timedOut && !s.unavailable && s.cuts == cuts && s.revision <= after {
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
