package objectstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/figstile/figstile/transport/pause"
)

// These are the defaults of WatcherOptions.
const (
	// DefaultWatchInterval limits a watcher on a prefix with frequent writes to
	// five calls per second. A change still arrives within a second.
	DefaultWatchInterval = 200 * time.Millisecond
	// DefaultInitialBackoff is about the time in which the platform restarts a
	// server.
	DefaultInitialBackoff = 250 * time.Millisecond
	// DefaultMaxBackoff ensures that every watcher calls the platform within
	// twice this time after an outage, that is, within a few seconds. With 730
	// routers and three watchers each, retries spread evenly over it are 730
	// calls per second, two fifths of the platform's read rate.
	DefaultMaxBackoff = 3 * time.Second
)

// WatcherOptions configure a Watcher.
type WatcherOptions struct {
	Store  Store
	Prefix string
	// Deliver receives new objects and new versions of known ones, never a
	// version lower than one already delivered. The first call contains the
	// whole list, which may be empty. Calls do not overlap.
	Deliver func(objects []Object)
	// WatchInterval is the mean time between an answer and the next watch.
	WatchInterval time.Duration
	// InitialBackoff and MaxBackoff are the mean back-off after the first
	// failed call and the upper limit of that mean.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Now is the clock of Health; nil means time.Now.
	Now func() time.Time
	// Sleep waits for a duration or until the context ends; nil means real
	// time.
	Sleep func(ctx context.Context, d time.Duration) error
	// Rand returns random numbers in [0, 1); nil means the shared random
	// source.
	Rand func() float64
}

// Health describes how well a watcher follows the platform.
type Health struct {
	// LastSuccess is the time of the platform's last answer; zero if there was
	// none.
	LastSuccess time.Time
	// Version is the version of the store up to which all changes have been
	// delivered.
	Version Version
	// Failures counts the failed calls since LastSuccess.
	Failures int
	// LastError is the error of the latest failed call; nil while Failures is
	// zero.
	LastError error
}

// Watcher follows the objects under a prefix through outages, restarts and
// stale reads of the platform.
type Watcher struct {
	opts    WatcherOptions
	backoff *backoff.ExponentialBackOff
	// delivered holds the delivered version of each object. A read answered
	// from an old replica may return an object with a lower version. Versions
	// only increase, so an object whose version is not higher has been
	// delivered or replaced before and is skipped.
	delivered map[string]Version
	listed    bool

	mu     sync.Mutex
	health Health
}

// Watch follows a prefix with the default options until the context ends.
func Watch(ctx context.Context, store Store, prefix string, deliver func(objects []Object)) error {
	return NewWatcher(WatcherOptions{Store: store, Prefix: prefix, Deliver: deliver}).Run(ctx)
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(opts WatcherOptions) *Watcher {
	setDefault(&opts.WatchInterval, DefaultWatchInterval)
	setDefault(&opts.InitialBackoff, DefaultInitialBackoff)
	setDefault(&opts.MaxBackoff, DefaultMaxBackoff)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Sleep == nil {
		opts.Sleep = pause.For
	}
	if opts.Rand == nil {
		opts.Rand = rand.Float64
	}
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = opts.InitialBackoff
	exponential.MaxInterval = opts.MaxBackoff
	exponential.Multiplier = 2
	// The method jitter adds the randomness, from a source that tests can set.
	exponential.RandomizationFactor = 0
	exponential.Reset()
	return &Watcher{opts: opts, backoff: exponential, delivered: make(map[string]Version)}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Health returns how well the watcher follows the platform. It may be called at
// any time.
func (w *Watcher) Health() Health {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.health
}

// Run follows the prefix until the context ends, and returns the context's
// error. It must be called once.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.step(ctx)
		if ctx.Err() != nil {
			break
		}
		if w.opts.Sleep(ctx, w.recordResult(err)) != nil {
			break
		}
	}
	return ctx.Err()
}

// step makes one call and delivers its answer.
func (w *Watcher) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	objects, version, err := w.opts.Store.Watch(ctx, w.opts.Prefix, w.Health().Version)
	if errors.Is(err, ErrTooOld) {
		w.listed = false
	}
	if err != nil {
		return err
	}
	w.deliver(objects, version)
	return nil
}

func (w *Watcher) list(ctx context.Context) error {
	objects, version, err := w.opts.Store.List(ctx, w.opts.Prefix)
	if err != nil {
		return err
	}
	first := w.Health().LastSuccess.IsZero()
	w.listed = true
	if first && len(objects) == 0 {
		w.opts.Deliver(nil)
	}
	w.deliver(objects, version)
	return nil
}

// deliver delivers the objects that are new. The watcher's version never
// decreases, because all changes up to it have been delivered, even if a stale
// read returns a lower version.
func (w *Watcher) deliver(objects []Object, version Version) {
	newer := make([]Object, 0, len(objects))
	for _, object := range objects {
		if object.Version <= w.delivered[object.Key] {
			continue
		}
		w.delivered[object.Key] = object.Version
		newer = append(newer, object)
	}
	if len(newer) > 0 {
		w.opts.Deliver(newer)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.health.Version = max(w.health.Version, version)
}

// recordResult records the result of a call and returns the time to wait before
// the next call.
func (w *Watcher) recordResult(err error) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.backoff.Reset()
		w.health.LastSuccess = w.opts.Now()
		w.health.Failures = 0
		w.health.LastError = nil
		return w.jitter(w.opts.WatchInterval)
	}
	w.health.Failures++
	w.health.LastError = err
	return w.jitter(w.backoff.NextBackOff())
}

// jitter returns a random duration between zero and twice the mean. All routers
// lose the platform at the same moment. Without jitter they would retry at the
// same moment, exceed the rate limit together, and do so again at each retry.
func (w *Watcher) jitter(mean time.Duration) time.Duration {
	return time.Duration(2 * w.opts.Rand() * float64(mean))
}
