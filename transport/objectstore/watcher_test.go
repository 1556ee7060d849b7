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

// scriptedAnswer is what a scripted store says to one list or watch.
type scriptedAnswer struct {
	objects []objectstore.Object
	version objectstore.Version
	err     error
}

// scriptedStore is a store that answers lists and watches in turn and ends the
// watcher's context after the last answer.
type scriptedStore struct {
	objectstore.Store
	answers []scriptedAnswer
	done    context.CancelFunc
	// watchedAfter holds the versions that watches asked for.
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

// runWatcher runs a watcher through a script and returns what it delivered and
// how long it slept after each answer.
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

// A setting is changed at version 10. Then a lagging replica answers a watch
// and, after the history was cut, a list with the setting of version 7. The
// reader must never see it, and must not watch from the past again. A fresh list
// after the next cut brings just what changed meanwhile.
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

// The platform is away for seven calls. The watcher calls less and less often,
// up to a bound, keeps count, and is back at its usual pace after one success.
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

// Every router loses the platform at the same moment. Were they to retry in
// step, each retry would meet the rate limit as one burst. Of 730 routers no
// tenth of the retry interval may see much more than its tenth of the calls.
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

// A prefix is written many times a second. The watcher must not make a call
// for each write: what is written during its pause comes as one change.
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

// The platform cuts a waiting watch and goes away. A setting is changed before
// routers reach it again. The change must arrive without anybody's help.
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
	require.Eventually(t, func() bool { return p.Store().Waiting() == 1 }, waitTimeout, time.Millisecond)
	for _, outage := range []platform.Outage{platform.Drop, platform.Refuse} {
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
