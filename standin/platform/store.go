package platform

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figstile/figstile/transport/objectstore"
)

// Defaults of StoreOptions.
const (
	// DefaultHistory is the number of writes kept for watches. A reader has to
	// list again only if it was disconnected for many seconds while the
	// platform took writes at the maximum rate.
	DefaultHistory = 10_000
	// DefaultMaxWait limits how long a watch waits, so that the store drops a
	// reader that disappeared without closing its connection.
	DefaultMaxWait = 30 * time.Second
)

// StoreOptions configures a Store. The zero value is usable.
type StoreOptions struct {
	// History is the minimum number of latest writes that a watch can catch up
	// on.
	History int
	// MaxWait is the maximum time that a watch waits for a change.
	MaxWait time.Duration
	// Now is the clock that the lag of the list of VMs is based on; time.Now if
	// nil.
	Now func() time.Time
}

// Store is an in-memory implementation of objectstore.Store.
type Store struct {
	opts StoreOptions

	mu      sync.Mutex
	version objectstore.Version
	objects map[string]objectstore.Object
	// history holds the latest writes in ascending order of version.
	history []change
	// trimmedVersion is the version of the newest write removed from history.
	trimmedVersion objectstore.Version
	vms            vmHistory
	waiters        map[*waiter]struct{}
}

// change is one write in the history.
type change struct {
	version objectstore.Version
	key     string
}

// waiter is a watch that waits because nothing has changed yet.
type waiter struct {
	prefix string
	ready  chan struct{}
}

var _ objectstore.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(opts StoreOptions) *Store {
	if opts.History <= 0 {
		opts.History = DefaultHistory
	}
	if opts.MaxWait <= 0 {
		opts.MaxWait = DefaultMaxWait
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Store{
		opts:    opts,
		objects: make(map[string]objectstore.Object),
		waiters: make(map[*waiter]struct{}),
	}
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := ctx.Err(); err != nil {
		return objectstore.Object{}, err
	}
	if err := objectstore.CheckKey(key); err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return cloneObject(object), nil
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectstore.Object, objectstore.Version, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []objectstore.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, cloneObject(object))
		}
	}
	slices.SortFunc(found, func(a, b objectstore.Object) int { return strings.Compare(a.Key, b.Key) })
	return found, s.version, nil
}

// Put implements objectstore.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if err := objectstore.CheckPut(key, value); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.objects[key].Version; current != expected {
		return 0, &objectstore.ConflictError{Key: key, Current: current}
	}
	s.version++
	s.objects[key] = objectstore.Object{Key: key, Version: s.version, Value: bytes.Clone(value)}
	s.appendHistory(change{version: s.version, key: key})
	s.wakeWaiters(key)
	return s.version, nil
}

// appendHistory appends a write to the history and removes the oldest entries.
// It trims only when the history reaches twice its limit, so that a write takes
// constant time on average.
func (s *Store) appendHistory(c change) {
	s.history = append(s.history, c)
	if len(s.history) < 2*s.opts.History {
		return
	}
	drop := len(s.history) - s.opts.History
	s.trimmedVersion = s.history[drop-1].version
	s.history = slices.Clone(s.history[drop:])
}

// wakeWaiters wakes the watches whose prefix matches the written key, and no
// others.
func (s *Store) wakeWaiters(key string) {
	for w := range s.waiters {
		if strings.HasPrefix(key, w.prefix) {
			close(w.ready)
			delete(s.waiters, w)
		}
	}
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after objectstore.Version) ([]objectstore.Object, objectstore.Version, error) {
	return s.watch(ctx, prefix, after, s.opts.MaxWait)
}

func (s *Store) watch(ctx context.Context, prefix string, after objectstore.Version, wait time.Duration) ([]objectstore.Object, objectstore.Version, error) {
	timeout := time.NewTimer(min(wait, s.opts.MaxWait))
	defer timeout.Stop()
	for {
		if err := ctx.Err(); err != nil {
			return nil, 0, err
		}
		found, version, w, err := s.changesOrWaiter(prefix, after)
		if err != nil || w == nil {
			return found, version, err
		}
		select {
		case <-w.ready:
		case <-timeout.C:
			s.removeWaiter(w)
			return nil, version, nil
		case <-ctx.Done():
			s.removeWaiter(w)
		}
	}
}

// changesOrWaiter returns the changes after a version or, if there are none,
// registers a waiter. It does both under one lock, so that no write is missed
// in between.
func (s *Store) changesOrWaiter(prefix string, after objectstore.Version) ([]objectstore.Object, objectstore.Version, *waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.trimmedVersion {
		return nil, 0, nil, objectstore.ErrTooOld
	}
	if found := s.changesAfter(prefix, after); len(found) > 0 {
		return found, s.version, nil, nil
	}
	w := &waiter{prefix: prefix, ready: make(chan struct{})}
	s.waiters[w] = struct{}{}
	return nil, s.version, w, nil
}

// changesAfter lists the objects written after a version. Each object is listed
// once, at its latest version.
func (s *Store) changesAfter(prefix string, after objectstore.Version) []objectstore.Object {
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, v objectstore.Version) int {
		return int(c.version) - int(v)
	})
	var found []objectstore.Object
	for _, c := range s.history[first:] {
		object := s.objects[c.key]
		if object.Version == c.version && strings.HasPrefix(c.key, prefix) {
			found = append(found, cloneObject(object))
		}
	}
	return found
}

func (s *Store) removeWaiter(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w)
}

// WaitingWatches returns the number of watches that are waiting now.
func (s *Store) WaitingWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}

// Version returns the version of the latest write.
func (s *Store) Version() objectstore.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// snapshot returns a store that holds a copy of the current objects. The copy
// doesn't follow later writes.
func (s *Store) snapshot() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := NewStore(s.opts)
	copied.version = s.version
	copied.objects = maps.Clone(s.objects)
	copied.history = slices.Clone(s.history)
	copied.trimmedVersion = s.trimmedVersion
	return copied
}

func cloneObject(o objectstore.Object) objectstore.Object {
	o.Value = bytes.Clone(o.Value)
	return o
}
