package settings

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
)

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Store  objectstore.Store
	Source *Source
	Log    zerolog.Logger
	// Sleep waits, or returns early when the context ends; nil means real time.
	Sleep func(ctx context.Context, d time.Duration)
}

// Follower passes the objects of the platform to a Source.
type Follower struct {
	options FollowerOptions
	watcher *objectstore.Watcher
	// listed is set once the first list was delivered.
	listed bool
}

// NewFollower returns a Follower; Run starts it.
func NewFollower(options FollowerOptions) *Follower {
	f := &Follower{options: options}
	watch := objectstore.WatcherOptions{Store: options.Store, Prefix: config.Prefix, Deliver: f.deliver}
	if options.Sleep != nil {
		watch.Sleep = func(ctx context.Context, d time.Duration) error {
			options.Sleep(ctx, d)
			return ctx.Err()
		}
	}
	f.watcher = objectstore.NewWatcher(watch)
	return f
}

// Run follows the platform until the context ends. It must be called once.
func (f *Follower) Run(ctx context.Context) {
	err := f.watcher.Run(ctx)
	f.options.Log.Debug().Str("event", "config_watch_ended").Err(err).Send()
}

// Health returns how well the Follower follows the platform.
func (f *Follower) Health() objectstore.Health {
	return f.watcher.Health()
}

// deliver receives objects from the watcher: first the whole list, then
// changes.
func (f *Follower) deliver(objects []objectstore.Object) {
	if !f.listed {
		f.listed = true
		f.options.Source.applyList(toConfigObjects(objects))
		return
	}
	_ = f.options.Source.applyAndPublish(originPlatform, toConfigObjects(objects)...)
}

func toConfigObjects(objects []objectstore.Object) []config.Object {
	converted := make([]config.Object, len(objects))
	for i, o := range objects {
		converted[i] = config.Object{Key: o.Key, Version: uint64(o.Version), Value: o.Value}
	}
	return converted
}
