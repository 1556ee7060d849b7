package settings_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/settings"
)

// fakeStore is the platform's object API in memory, with faults that tests can
// switch on.
type fakeStore struct {
	objectstore.Store

	mu          sync.Mutex
	version     objectstore.Version
	objects     map[string]objectstore.Object
	unavailable bool
	// putFaults are the faults of the next calls of Put, one for each.
	putFaults []putFault
	// staleObject, if set, is the answer to every Get.
	staleObject *objectstore.Object
	// beforePut runs once, before the next Put takes effect.
	beforePut func()
	puts      int
}

type putFault int

const (
	// answerLost makes the write and loses the answer; writeLost loses the write
	// itself.
	answerLost putFault = iota + 1
	writeLost
	// writeUnavailable refuses the write. duplicateConflict makes the write and
	// then reports a conflict, as if a second copy of it had been sent.
	writeUnavailable
	duplicateConflict
)

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]objectstore.Object)}
}

func (f *fakeStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.objects[key]
	switch {
	case f.unavailable || ctx.Err() != nil:
		return o, objectstore.ErrUnavailable
	case f.staleObject != nil:
		return *f.staleObject, nil
	case !ok:
		return o, objectstore.ErrNotFound
	}
	return o, nil
}

func (f *fakeStore) List(context.Context, string) ([]objectstore.Object, objectstore.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, 0, objectstore.ErrUnavailable
	}
	var all []objectstore.Object
	for _, o := range f.objects {
		all = append(all, o)
	}
	return all, f.version, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	if before := f.beforePut; before != nil {
		f.beforePut = nil
		before()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	var fault putFault
	if len(f.putFaults) > 0 {
		fault, f.putFaults = f.putFaults[0], f.putFaults[1:]
	}
	switch {
	case f.unavailable || fault == writeUnavailable:
		return 0, objectstore.ErrUnavailable
	case fault == writeLost:
		return 0, objectstore.ErrUnknownOutcome
	case f.objects[key].Version != expected:
		return 0, &objectstore.ConflictError{Key: key, Current: f.objects[key].Version}
	}
	f.version++
	f.objects[key] = objectstore.Object{Key: key, Version: f.version, Value: value}
	switch fault {
	case answerLost:
		return 0, objectstore.ErrUnknownOutcome
	case duplicateConflict:
		return 0, &objectstore.ConflictError{Key: key, Current: f.version}
	}
	return f.version, nil
}

// root and subtree return encoded objects whose newest change has the given ID.
func root(t *testing.T, id string, base uint64) []byte {
	t.Helper()
	r := config.Root{
		Teams:    []config.TeamShare{{Name: "turismo", Share: 1}, {Name: "reservas", Share: 1}},
		Services: []config.Service{{Name: "drafts", Kind: config.KindEngine}},
	}
	return encode(t, r.WithChange(config.Change{ID: id, By: "operator/" + id, Base: base}))
}

func subtree(t *testing.T, id string, base uint64, weight float64) []byte {
	t.Helper()
	s := config.Subtree{Team: "turismo", Workspaces: []config.Workspace{{Name: "guides", Weight: weight}}}
	return encode(t, s.WithChange(config.Change{ID: id, By: "team/" + id, Base: base}))
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return data
}

var teamKey = config.TeamKey("turismo")

// fleet is a platform with a root at version 1, and the source and writer of a
// router.
type fleet struct {
	store  *fakeStore
	source *settings.Source
	writer *settings.Writer
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	store := newFakeStore()
	source := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop()})
	noSleep := func(context.Context, time.Duration) {}
	writer := settings.NewWriter(settings.WriterOptions{Store: store, Source: source, Log: zerolog.Nop(), Sleep: noSleep})
	_, err := writer.Write(context.Background(), config.RootKey, root(t, "first", 0), 0)
	require.NoError(t, err)
	return &fleet{store: store, source: source, writer: writer}
}

func (f *fleet) write(t *testing.T, id string, expected uint64, weight float64) (uint64, error) {
	t.Helper()
	return f.writer.Write(context.Background(), teamKey, subtree(t, id, expected, weight), expected)
}

// workspaces returns the names of the workspaces in force.
func workspaces(s *settings.Source) []state.Workspace {
	var names []state.Workspace
	for _, w := range s.View().Settings().Workspaces {
		names = append(names, w.Name)
	}
	return names
}
