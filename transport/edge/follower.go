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
	// upstreamPause gathers changes of upstreams into one call. Each
	// upstream changes its entry about once a second, so that without a
	// pause each router would make a call for each of them. A leaving
	// upstream is still seen well within the two seconds it is given.
	upstreamPause = 500 * time.Millisecond
	// configPause keeps a storm of configurations to ten calls a second.
	configPause = 100 * time.Millisecond
	// idlePause is how often a router that does not read looks whether it
	// should.
	idlePause = 100 * time.Millisecond
	// callTimeout bounds a call beyond the time it may wait by itself. The
	// store answers within some ms; slow, within a third of a second.
	callTimeout = 1200 * time.Millisecond
	// firstRetry and lastRetry bound the back-off after failed calls. The
	// last keeps a router within a second of the store's return.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 700 * time.Millisecond
)

// follower keeps a catalogue in step with one kind of the store's objects.
type follower struct {
	kind      Kind
	store     Objects
	catalogue *catalogue
	log       zerolog.Logger
	// reads says whether this router is to read, or hears of changes from
	// peers that do.
	reads func() bool
	// onAnswer hears of each answer of the store, onFailure of each call
	// without one; onNews receives what was new.
	onAnswer  func()
	onFailure func()
	onNews    func(kind Kind, objects []Object)

	// retryPause may lengthen the pause after a failed call; nil keeps it.
	retryPause func(pause time.Duration) time.Duration

	listed   bool
	position uint64
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	if f.retryPause == nil {
		f.retryPause = func(pause time.Duration) time.Duration { return pause }
	}
	retry.InitialInterval, retry.MaxInterval = firstRetry, lastRetry
	for ctx.Err() == nil {
		if !f.reads() {
			f.listed = false
			_ = pause.For(ctx, idlePause)
			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			retry.Reset()
			_ = pause.For(ctx, f.pause())
		case errors.Is(err, ErrHistoryGone):
			f.listed = false
			f.log.Info().Stringer("kind", f.kind).Msg("store's history gone; listing anew")
		default:
			f.onFailure()
			f.catalogue.unreached(err)
			_ = pause.For(ctx, f.retryPause(retry.NextBackOff()))
		}
	}
}

func (f *follower) pause() time.Duration {
	if f.kind == KindConfig {
		return configPause
	}
	return upstreamPause/2 + rand.N(upstreamPause)
}

func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	objects, at, err := f.store.Watch(ctx, f.kind, f.position, watchWait)
	if err != nil {
		return err
	}
	f.answered()
	var news []Object
	for _, o := range objects {
		if f.catalogue.take(f.kind, o, sourceStore) {
			news = append(news, o)
		}
	}
	f.position = at
	f.tell(news)
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
	f.answered()
	f.listed, f.position = true, at
	if f.kind == KindUpstream {
		f.tell(f.catalogue.replace(objects, at, sourceStore))
		return nil
	}
	for _, o := range objects {
		if f.catalogue.take(f.kind, o, sourceStore) {
			f.tell([]Object{o})
		}
	}
	return nil
}

func (f *follower) answered() {
	f.catalogue.reached()
	f.onAnswer()
}

func (f *follower) tell(news []Object) {
	if len(news) > 0 {
		f.onNews(f.kind, news)
	}
}
