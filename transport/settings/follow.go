package settings

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
)

// Pauses and timeouts of a Follower.
const (
	// firstPause is short enough that one lost answer goes unnoticed.
	firstPause = 200 * time.Millisecond
	// longestPause keeps an accepted change within seconds of the platform's
	// return, and a fleet of 730 routers at 150 calls a second meanwhile,
	// a fraction of the 2,000 reads the platform takes.
	longestPause = 5 * time.Second
	// idlePause paces a platform whose watches return at once and empty.
	idlePause = 100 * time.Millisecond
	// listTimeout gives up a list that a slow platform holds.
	listTimeout = 10 * time.Second
	// watchTimeout gives up a watch on a connection that died silently; it
	// bounds how long a router relies on its peers alone.
	watchTimeout = 60 * time.Second
)

// FollowerOptions are what a Follower needs.
type FollowerOptions struct {
	Store  objectstore.Store
	Source *Source
	Log    zerolog.Logger
	// Sleep waits or returns early when the context ends. Nil means by the
	// machine's clock.
	Sleep func(ctx context.Context, d time.Duration)
}

// Follower feeds a Source from the platform.
type Follower struct {
	options FollowerOptions
	pauses  *backoff.ExponentialBackOff
}

// NewFollower returns a Follower that does nothing until Run.
func NewFollower(options FollowerOptions) *Follower {
	if options.Sleep == nil {
		options.Sleep = sleep
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	return &Follower{options: options, pauses: pauses}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Run lists the tree, then watches it, and begins again after a failure,
// until the context ends. Pauses are jittered: when the platform returns from
// an outage, the routers must not all ask in the same instant.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := f.pauses.NextBackOff()
		f.options.Log.Warn().Str("event", "config_watch_failed").Dur("pause_ms", pause).Err(err).Send()
		f.options.Sleep(ctx, pause)
	}
}

// listAndWatch returns on the first failure. Only a watch that worked resets
// the pauses: a platform that lists but fails every watch would else be asked
// by every router five times a second.
func (f *Follower) listAndWatch(ctx context.Context) error {
	after, err := f.list(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		after, err = f.watch(ctx, after)
		if errors.Is(err, objectstore.ErrTooOld) {
			after, err = f.list(ctx)
		}
		if err != nil {
			return err
		}
		f.pauses.Reset()
	}
	return ctx.Err()
}

func (f *Follower) list(ctx context.Context) (objectstore.Version, error) {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, at, err := f.options.Store.List(limited, config.Prefix)
	if err != nil {
		return 0, err
	}
	f.options.Source.takeList(toTree(objects))
	return at, nil
}

// watch waits for one batch of changes.
func (f *Follower) watch(ctx context.Context, after objectstore.Version) (objectstore.Version, error) {
	limited, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	objects, at, err := f.options.Store.Watch(limited, config.Prefix, after)
	if limited.Err() != nil && ctx.Err() == nil {
		return after, nil
	}
	if err != nil {
		return after, err
	}
	if len(objects) == 0 {
		f.options.Sleep(ctx, idlePause+rand.N(idlePause))
	}
	_ = f.options.Source.take(originPlatform, toTree(objects)...)
	return max(at, after), nil
}

func toTree(objects []objectstore.Object) []config.Object {
	converted := make([]config.Object, len(objects))
	for i, o := range objects {
		converted[i] = config.Object{Key: o.Key, Version: uint64(o.Version), Value: o.Value}
	}
	return converted
}
