package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/figstile/figstile/transport/pause"
)

const (
	// watchWait bounds one watch. An open connection may fall silent for
	// good; a new call on a new connection then finds out, well within the
	// seconds in which a configuration must be in force.
	watchWait = 1500 * time.Millisecond
	// upstreamWatchInterval gathers changes of upstreams into one call. Each
	// upstream changes its entry about once a second, so that without a
	// pause each router would make a call for each of them. A leaving
	// upstream is still seen well within the two seconds it is given.
	upstreamWatchInterval = 500 * time.Millisecond
	// configWatchInterval keeps a storm of configurations to ten calls a second.
	configWatchInterval = 100 * time.Millisecond
	// readerCheckInterval is how often a router that does not read looks whether it
	// should.
	readerCheckInterval = 100 * time.Millisecond
	// callTimeout bounds a call beyond the time it may wait by itself. The
	// store answers within some ms; slow, within a third of a second.
	callTimeout = 1200 * time.Millisecond
	// minRetryDelay and lastRetry bound the back-off after failed calls. The
	// last keeps a router within a second of the store's return.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
)

// follower keeps a catalogue in step with one kind of the store's objects.
type follower struct {
	kind      Kind
	store     ObjectStore
	catalogue *catalogue
	log       zerolog.Logger
	// shouldRead says whether this router is to read, or hears of changes from
	// peers that do.
	shouldRead func() bool
	// onAnswer hears of each answer of the store, onFailure of each call
	// without one; onNews receives what was new.
	onAnswer  func()
	onFailure func()
	onChanged func(kind Kind, objects []Object)

	// retryDelay may lengthen the pause after a failed call; nil keeps it.
	retryDelay func(pause time.Duration) time.Duration

	listed   bool
	revision uint64
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	if f.retryDelay == nil {
		f.retryDelay = func(pause time.Duration) time.Duration { return pause }
	}
	retry.InitialInterval, retry.MaxInterval = minRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		if !f.shouldRead() {
			f.listed = false
			_ = pause.For(ctx, readerCheckInterval)
			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			retry.Reset()
			_ = pause.For(ctx, f.watchInterval())
		case errors.Is(err, ErrHistoryExpired):
			f.listed = false
			f.log.Info().Stringer("kind", f.kind).Msg("store's history gone; listing anew")
		default:
			f.onFailure()
			f.catalogue.markStoreUnavailable(err)
			_ = pause.For(ctx, f.retryDelay(retry.NextBackOff()))
		}
	}
}

func (f *follower) watchInterval() time.Duration {
	if f.kind == KindConfig {
		return configWatchInterval
	}
	return upstreamWatchInterval/2 + rand.N(upstreamWatchInterval)
}

func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	objects, at, err := f.store.Watch(ctx, f.kind, f.revision, watchWait)
	if err != nil {
		return err
	}
	f.recordAnswer()
	var changed []Object
	for _, o := range objects {
		if f.catalogue.applyObject(f.kind, o, sourceStore) {
			changed = append(changed, o)
		}
	}
	f.revision = at
	f.notify(changed)
	return nil
}

// sourceStore is the source of what the store told, in logs.
const sourceStore = "store"

func (f *follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	objects, at, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.recordAnswer()
	f.listed, f.revision = true, at
	if f.kind == KindUpstream {
		f.notify(f.catalogue.replaceUpstreams(objects, at, sourceStore))
		return nil
	}
	for _, o := range objects {
		if f.catalogue.applyObject(f.kind, o, sourceStore) {
			f.notify([]Object{o})
		}
	}
	return nil
}

func (f *follower) recordAnswer() {
	f.catalogue.markStoreAvailable()
	f.onAnswer()
}

func (f *follower) notify(changed []Object) {
	if len(changed) > 0 {
		f.onChanged(f.kind, changed)
	}
}
