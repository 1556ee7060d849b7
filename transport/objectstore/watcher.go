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

// Defaults of WatcherOptions.
const (
	// DefaultWatchInterval limits a watcher on a busy prefix to five calls a second,
	// whatever the rate of writes; a change still arrives within a second.
	DefaultWatchInterval = 200 * time.Millisecond
	// DefaultInitialBackoff is about the time a platform restarts a server in.
	DefaultInitialBackoff = 250 * time.Millisecond
	// DefaultMaxBackoff has every watcher back within twice its length of the
	// outage's end, which is seconds. At 730 routers with three watchers each,
	// retries spread evenly over it are 730 calls a second, two fifths of the
	// platform's reads.
	DefaultMaxBackoff = 3 * time.Second
)

// WatcherOptions sets up a Watcher.
type WatcherOptions struct {
	Store  Store
	Prefix string
	// Deliver receives new objects and new versions of known ones, never a
	// version lower than one already delivered. The first call holds the
	// whole list, which may be empty. Calls do not overlap.
	Deliver func(objects []Object)
	// WatchInterval is the mean time between an answer and the next watch.
	WatchInterval time.Duration
	// InitialBackoff and LastRetry bound the back-off after failed calls.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Now is the clock of Health; time.Now if nil.
	Now func() time.Time
	// Sleep waits for a duration or the context's end; by real time if nil.
	Sleep func(ctx context.Context, d time.Duration) error
	// Rand draws from [0, 1); the shared random source if nil.
	Rand func() float64
}

// Health is how well a watcher follows the platform.
type Health struct {
	// LastSuccess is when the platform last answered; zero if it never has.
	LastSuccess time.Time
	// Version is the version up to which everything has been delivered.
	Version Version
	// Failures counts the failed calls since LastSuccess.
	Failures int
	// LastError is the latest failure; nil while Failures is zero.
	LastError error
}

// Watcher follows the objects under a prefix through outages, restarts and
// stale reads of the platform.
type Watcher struct {
	opts    WatcherOptions
	backoff *backoff.ExponentialBackOff
	// delivered holds the version delivered of each object. It stops a read
	// answered from an old replica, which shows as an object of a lower
	// version, from taking the reader back: versions only rise, so whatever
	// is not higher has been delivered or replaced before.
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
	// The jitter is drawn in jitter, from a source that tests can set.
	exponential.RandomizationFactor = 0
	exponential.Reset()
	return &Watcher{opts: opts, backoff: exponential, delivered: make(map[string]Version)}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Health returns how the watcher is doing. It may be called at any time.
func (w *Watcher) Health() Health {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.health
}

// Run follows the prefix until the context ends, and returns its error. It
// must be called once.
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

// deliver passes on what is new. The position never falls, because all that
// was written up to it has been delivered, whatever a stale read says.
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

// recordResult records the outcome of a call and returns the time to wait before
// the next one.
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

// jitter draws evenly from zero to twice the mean. All routers lose a platform
// at the same moment; without the draw they would also come back at the same
// moment, meet the rate limit together, and again at each retry.
func (w *Watcher) jitter(mean time.Duration) time.Duration {
	return time.Duration(2 * w.opts.Rand() * float64(mean))
}
