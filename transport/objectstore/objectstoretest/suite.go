// Package objectstoretest contains the conformance suite that every
// implementation of objectstore.Store must pass.
package objectstoretest

import (
	"bytes"
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/transport/objectstore"
)

// Run checks the stores that newStore returns, which must be empty.
func Run(t *testing.T, newStore func(t *testing.T) objectstore.Store) {
	cases := []struct {
		name  string
		check func(*testing.T, objectstore.Store)
	}{
		{"create and read", checkCreateAndRead},
		{"keys survive the transport", checkKeys},
		{"invalid calls", checkInvalidCalls},
		{"largest value", checkLargestValue},
		{"conditions", checkConditions},
		{"one winner", checkConcurrentWrites},
		{"versions increase over all keys", checkVersions},
		{"list", checkList},
		{"watch returns existing objects", checkWatchExisting},
		{"watch waits", checkWatchWaits},
		{"watch is limited to its prefix", checkWatchPrefix},
		{"watch ends with its context", checkWatchContext},
		{"ended context", checkEndedContext},
		{"VM list", checkVMs},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.check(t, newStore(t)) })
	}
}

func put(t *testing.T, store objectstore.Store, key, value string, expected objectstore.Version) objectstore.Version {
	t.Helper()
	version, err := store.Put(t.Context(), key, []byte(value), expected)
	require.NoError(t, err)
	return version
}

func requireConflict(t *testing.T, err error, current objectstore.Version) {
	t.Helper()
	var conflict *objectstore.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, current, conflict.Current)
}

func checkCreateAndRead(t *testing.T, store objectstore.Store) {
	_, err := store.Get(t.Context(), "a/b")
	require.ErrorIs(t, err, objectstore.ErrNotFound)
	version := put(t, store, "a/b", "one", 0)
	object, err := store.Get(t.Context(), "a/b")
	require.NoError(t, err)
	require.Equal(t, objectstore.Object{Key: "a/b", Version: version, Value: []byte("one")}, object)
}

func checkKeys(t *testing.T, store objectstore.Store) {
	for _, key := range []string{"a", "a/b c", "a/50%", "a/?q=#x", "a/ñandú", "a/%2F"} {
		version := put(t, store, key, key, 0)
		object, err := store.Get(t.Context(), key)
		require.NoError(t, err)
		require.Equal(t, objectstore.Object{Key: key, Version: version, Value: []byte(key)}, object)
	}
}

func checkInvalidCalls(t *testing.T, store objectstore.Store) {
	for _, key := range []string{"", "/a", "a/", "a//b", "a/../b", "."} {
		_, err := store.Put(t.Context(), key, nil, 0)
		require.ErrorIs(t, err, objectstore.ErrInvalid, "key %q", key)
		_, err = store.Get(t.Context(), key)
		require.ErrorIs(t, err, objectstore.ErrInvalid, "key %q", key)
	}
	_, err := store.Put(t.Context(), "a", make([]byte, objectstore.MaxValueBytes+1), 0)
	require.ErrorIs(t, err, objectstore.ErrInvalid)
}

func checkLargestValue(t *testing.T, store objectstore.Store) {
	value := bytes.Repeat([]byte{0xff}, objectstore.MaxValueBytes)
	_, err := store.Put(t.Context(), "a", value, 0)
	require.NoError(t, err)
	object, err := store.Get(t.Context(), "a")
	require.NoError(t, err)
	require.True(t, bytes.Equal(value, object.Value))
}

func checkConditions(t *testing.T, store objectstore.Store) {
	_, err := store.Put(t.Context(), "a", nil, 7)
	requireConflict(t, err, 0)
	first := put(t, store, "a", "one", 0)
	_, err = store.Put(t.Context(), "a", nil, 0)
	requireConflict(t, err, first)
	second := put(t, store, "a", "two", first)
	require.Greater(t, second, first)
	_, err = store.Put(t.Context(), "a", nil, first)
	requireConflict(t, err, second)
	object, err := store.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, "two", string(object.Value))
}

func checkConcurrentWrites(t *testing.T, store objectstore.Store) {
	const writers = 8
	first := put(t, store, "a", "start", 0)
	errs := make([]error, writers)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() { _, errs[i] = store.Put(t.Context(), "a", []byte{byte(i)}, first) })
	}
	wg.Wait()
	object, err := store.Get(t.Context(), "a")
	require.NoError(t, err)
	for i, err := range errs {
		if i == int(object.Value[0]) {
			require.NoError(t, err)
			continue
		}
		requireConflict(t, err, object.Version)
	}
}

func checkVersions(t *testing.T, store objectstore.Store) {
	last := objectstore.Version(0)
	for _, key := range []string{"b", "a", "c/d"} {
		version := put(t, store, key, "", 0)
		require.Greater(t, version, last)
		last = version
	}
}

func checkList(t *testing.T, store objectstore.Store) {
	objects, before, err := store.List(t.Context(), "a/")
	require.NoError(t, err)
	require.Empty(t, objects)
	z := put(t, store, "a/z", "1", 0)
	b := put(t, store, "a/b", "2", 0)
	last := put(t, store, "ab", "3", 0)
	objects, version, err := store.List(t.Context(), "a/")
	require.NoError(t, err)
	require.Equal(t, []objectstore.Object{
		{Key: "a/b", Version: b, Value: []byte("2")},
		{Key: "a/z", Version: z, Value: []byte("1")},
	}, objects)
	require.Equal(t, last, version)
	require.Greater(t, version, before)
}

func checkWatchExisting(t *testing.T, store objectstore.Store) {
	first := put(t, store, "a/1", "old", 0)
	second := put(t, store, "a/2", "x", 0)
	third := put(t, store, "a/1", "new", first)
	objects, version, err := store.Watch(t.Context(), "a/", first)
	require.NoError(t, err)
	require.Equal(t, []objectstore.Object{
		{Key: "a/2", Version: second, Value: []byte("x")},
		{Key: "a/1", Version: third, Value: []byte("new")},
	}, objects)
	require.Equal(t, third, version)
}

// watchResult is the result of a watch that runs in another goroutine.
type watchResult struct {
	objects []objectstore.Object
	version objectstore.Version
	err     error
}

func watchInBackground(ctx context.Context, store objectstore.Store, prefix string, after objectstore.Version) <-chan watchResult {
	results := make(chan watchResult, 1)
	go func() {
		objects, version, err := store.Watch(ctx, prefix, after)
		results <- watchResult{objects, version, err}
	}()
	return results
}

func checkWatchWaits(t *testing.T, store objectstore.Store) {
	first := put(t, store, "a/1", "one", 0)
	results := watchInBackground(t.Context(), store, "a/", first)
	second := put(t, store, "a/1", "two", first)
	got := <-results
	require.NoError(t, got.err)
	require.Equal(t, []objectstore.Object{{Key: "a/1", Version: second, Value: []byte("two")}}, got.objects)
	require.Equal(t, second, got.version)
}

func checkWatchPrefix(t *testing.T, store objectstore.Store) {
	results := watchInBackground(t.Context(), store, "a/", 0)
	put(t, store, "b/1", "other", 0)
	version := put(t, store, "a/1", "own", 0)
	got := <-results
	require.NoError(t, got.err)
	require.Equal(t, []objectstore.Object{{Key: "a/1", Version: version, Value: []byte("own")}}, got.objects)
}

func checkWatchContext(t *testing.T, store objectstore.Store) {
	ctx, cancel := context.WithCancel(t.Context())
	results := watchInBackground(ctx, store, "a/", 0)
	cancel()
	require.ErrorIs(t, (<-results).err, context.Canceled)
}

func checkEndedContext(t *testing.T, store objectstore.Store) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := store.Get(ctx, "a")
	require.ErrorIs(t, err, context.Canceled)
	_, _, err = store.List(ctx, "a")
	require.ErrorIs(t, err, context.Canceled)
	_, err = store.Put(ctx, "a", nil, 0)
	require.ErrorIs(t, err, context.Canceled)
	_, err = store.VMs(ctx)
	require.ErrorIs(t, err, context.Canceled)
	_, err = store.Get(t.Context(), "a")
	require.ErrorIs(t, err, objectstore.ErrNotFound)
}

func checkVMs(t *testing.T, store objectstore.Store) {
	_, err := store.VMs(t.Context())
	require.NoError(t, err)
}
