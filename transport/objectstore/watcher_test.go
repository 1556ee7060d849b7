package objectstore_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/transport/objectstore"
)

// scriptedAnswer is the answer of a scriptedStore to one list or watch.
type scriptedAnswer struct {
	objects []objectstore.Object
	version objectstore.Version
	err     error
}

// scriptedStore is a store that gives the scripted answers to lists and watches
// in order. It ends the watcher's context after the last answer.
type scriptedStore struct {
	objectstore.Store
	answers []scriptedAnswer
	done    context.CancelFunc
	// watchedAfter contains the versions from which watches asked for changes.
	watchedAfter []objectstore.Version
	lists        int
}

func (s *scriptedStore) next() ([]objectstore.Object, objectstore.Version, error) {
	if len(s.answers) == 0 {
		s.done()
		return nil, 0, context.Canceled
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.objects, a.version, a.err
}

func (s *scriptedStore) List(context.Context, string) ([]objectstore.Object, objectstore.Version, error) {
	s.lists++
	return s.next()
}

func (s *scriptedStore) Watch(_ context.Context, _ string, after objectstore.Version) ([]objectstore.Object, objectstore.Version, error) {
	s.watchedAfter = append(s.watchedAfter, after)
	return s.next()
}

// runWatcher runs a watcher with a scripted store. It returns the delivered
// objects and the time slept after each answer.
func runWatcher(t *testing.T, s *scriptedStore, random func() float64) (w *objectstore.Watcher, delivered [][]objectstore.Object, slept []time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s.done = cancel
	w = objectstore.NewWatcher(objectstore.WatcherOptions{
		Store:   s,
		Deliver: func(objects []objectstore.Object) { delivered = append(delivered, objects) },
		Now:     func() time.Time { return time.Unix(100, 0) },
		Sleep: func(_ context.Context, d time.Duration) error {
			slept = append(slept, d)
			return nil
		},
		Rand: random,
	})
	require.ErrorIs(t, w.Run(ctx), context.Canceled)
	return w, delivered, slept
}

func alwaysHalf() float64 { return 0.5 }

func object(key string, version objectstore.Version) objectstore.Object {
	return objectstore.Object{Key: key, Version: version}
}

// TestWatcherNeverDeliversOlderVersions guards against stale reads. A lagging
// replica answers a watch and, after the history was cut, a list with an older
// version of an object. The watcher must neither deliver it nor watch from an
// older version. A list after the next cut must deliver only what has changed.
func TestWatcherNeverDeliversOlderVersions(t *testing.T) {
	s := &scriptedStore{answers: []scriptedAnswer{
		{objects: []objectstore.Object{object("a", 10)}, version: 10},
		{objects: []objectstore.Object{object("a", 7)}, version: 7},
		{err: objectstore.ErrTooOld},
		{objects: []objectstore.Object{object("a", 7)}, version: 7},
		{objects: []objectstore.Object{object("b", 11)}, version: 11},
		{err: objectstore.ErrTooOld},
		{objects: []objectstore.Object{object("a", 900), object("b", 11)}, version: 950},
	}}
	w, delivered, _ := runWatcher(t, s, alwaysHalf)
	require.Equal(t, [][]objectstore.Object{{object("a", 10)}, {object("b", 11)}, {object("a", 900)}}, delivered)
	require.Equal(t, []objectstore.Version{10, 10, 10, 11, 950}, s.watchedAfter)
	require.Equal(t, 3, s.lists)
	require.EqualValues(t, 950, w.Health().Version)
}

func TestWatcherReportsAnEmptyListOnce(t *testing.T) {
	_, delivered, _ := runWatcher(t, &scriptedStore{answers: []scriptedAnswer{{version: 3}, {version: 3}}}, alwaysHalf)
	require.Equal(t, [][]objectstore.Object{nil}, delivered)
}

// TestWatcherBacksOffDuringAnOutage covers an outage of seven calls. The
// watcher must call less and less often, up to a limit, count the failures, and
// return to its normal interval after one success.
func TestWatcherBacksOffDuringAnOutage(t *testing.T) {
	s := &scriptedStore{answers: []scriptedAnswer{{version: 1}}}
	for range 7 {
		s.answers = append(s.answers, scriptedAnswer{err: objectstore.ErrUnavailable})
	}
	w, _, slept := runWatcher(t, s, alwaysHalf)
	require.Equal(t, objectstore.DefaultWatchInterval, slept[0])
	require.Equal(t, objectstore.DefaultInitialBackoff, slept[1])
	require.Equal(t, 2*objectstore.DefaultInitialBackoff, slept[2])
	require.Equal(t, objectstore.DefaultMaxBackoff, slept[7])
	health := w.Health()
	require.Equal(t, 7, health.Failures)
	require.ErrorIs(t, health.LastError, objectstore.ErrUnavailable)
	require.Equal(t, time.Unix(100, 0), health.LastSuccess)

	s = &scriptedStore{answers: []scriptedAnswer{{err: objectstore.ErrUnavailable}, {version: 1}, {err: objectstore.ErrUnavailable}}}
	w, _, slept = runWatcher(t, s, alwaysHalf)
	require.Equal(t, objectstore.DefaultInitialBackoff, slept[2])
	require.Equal(t, 1, w.Health().Failures)
}

// TestRetriesOfAFleetAreSpread guards against simultaneous retries after all
// routers lost the platform at the same moment: each retry would exceed the
// rate limit as one burst. Each tenth of the retry interval must contain fewer
// than twice its share of the calls of 730 routers.
func TestRetriesOfAFleetAreSpread(t *testing.T) {
	const routers, slices = 730, 10
	source := rand.New(rand.NewPCG(1, 2))
	var calls [slices]int
	for range routers {
		_, _, slept := runWatcher(t, &scriptedStore{answers: []scriptedAnswer{{err: objectstore.ErrUnavailable}}}, source.Float64)
		calls[slept[0]*slices/(2*objectstore.DefaultInitialBackoff)]++
	}
	for _, n := range calls {
		require.Less(t, n, 2*routers/slices)
	}
}

// TestWatcherBatchesFrequentWrites guards against one call for each of many
// writes per second. All writes during the watcher's interval must arrive as
// one change.
func TestWatcherBatchesFrequentWrites(t *testing.T) {
	const writes = 50
	store := platform.NewStore(platform.StoreOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	var versions []objectstore.Version
	pause := func(context.Context, time.Duration) error {
		version := store.Version()
		for range writes {
			version, _ = store.Put(t.Context(), "a", nil, version)
		}
		return nil
	}
	w := objectstore.NewWatcher(objectstore.WatcherOptions{
		Store: store, Prefix: "a", Sleep: pause,
		Deliver: func(objects []objectstore.Object) {
			for _, o := range objects {
				versions = append(versions, o.Version)
			}
			if len(versions) == 3 {
				cancel()
			}
		},
	})
	require.ErrorIs(t, w.Run(ctx), context.Canceled)
	require.Equal(t, []objectstore.Version{writes, 2 * writes, 3 * writes}, versions)
}

// TestWatcherResumesAfterAnOutage cuts a waiting watch, and changes a setting
// before the watcher reaches the platform again. The change must arrive without
// any intervention.
func TestWatcherResumesAfterAnOutage(t *testing.T) {
	p, client := startPlatform(t, platform.Options{})
	seen := make(chan string, 2)
	w := objectstore.NewWatcher(objectstore.WatcherOptions{
		Store:          client,
		Prefix:         "settings/",
		InitialBackoff: time.Millisecond,
		MaxBackoff:     time.Millisecond,
		WatchInterval:  time.Millisecond,
		Deliver: func(objects []objectstore.Object) {
			for _, o := range objects {
				seen <- o.Key
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	require.Eventually(t, func() bool { return p.Store().WaitingWatches() == 1 }, waitTimeout, time.Millisecond)
	for _, outage := range []platform.Outage{platform.OutageDrop, platform.OutageRefuse} {
		p.SetFaults(platform.Faults{Outage: outage})
		require.Eventually(t, func() bool { return w.Health().Failures > 1 }, waitTimeout, time.Millisecond)
		_, err := p.Store().Put(t.Context(), "settings/"+string(outage), nil, 0)
		require.NoError(t, err)
		p.SetFaults(platform.Faults{})
		require.Equal(t, "settings/"+string(outage), <-seen)
	}
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}
