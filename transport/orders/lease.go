package orders

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/figstile/figstile/coordination/fencing"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/objectstore"
)

// LeaseKey returns the key of an upstream's lease object.
func LeaseKey(upstream state.Upstream) string { return "fencing/" + string(upstream) }

// leaseObject is the value of the lease object.
type leaseObject struct {
	fencing.Lease
	// Settings is the version of the settings that the holder of the lease
	// followed.
	Settings uint64 `json:"settings,omitempty"`
}

// readLease reports a lease that was written under newer settings as not read.
// Otherwise a router that was paused and finds the lease free when it resumes
// could take it with a desired state from before the pause, and undo its
// successor's work until it receives the new settings. A lease is only taken by
// a write that is conditional on a version read here, so the settings versions
// in the lease never decrease. A draining controller accepts every lease,
// because it only releases its own.
func (c *Controller) readLease(ctx context.Context) fencing.Event {
	object, err := c.opts.Store.Get(ctx, LeaseKey(c.opts.Upstream))
	if errors.Is(err, objectstore.ErrNotFound) {
		c.recordStoreResult(nil)
		return fencing.LeaseRead{}
	}
	c.recordStoreResult(err)
	if err != nil {
		return fencing.LeaseFailed{}
	}
	var lease leaseObject
	if err := json.Unmarshal(object.Value, &lease); err != nil {
		c.opts.Log.Error().Err(err).Msg("lease-not-understood")
		return fencing.LeaseFailed{}
	}
	if own := c.settingsVersion.Load(); own < lease.Settings && !c.draining.Load() {
		c.opts.Log.Info().Uint64("settings", own).Uint64("lease_settings", lease.Settings).Msg("settings-behind-lease")
		return fencing.LeaseFailed{}
	}
	return fencing.LeaseRead{Lease: lease.Lease, Version: uint64(object.Version)}
}

// writeLease distinguishes a conflict, which is final, from all other failures,
// after which the write may have taken effect.
func (c *Controller) writeLease(ctx context.Context, write fencing.WriteLease) fencing.Event {
	value, err := json.Marshal(leaseObject{Lease: write.Lease, Settings: c.settingsVersion.Load()})
	if err != nil {
		c.opts.Log.Error().Err(err).Msg("lease-not-encoded")
		return fencing.LeaseFailed{}
	}
	version, err := c.opts.Store.Put(ctx, LeaseKey(c.opts.Upstream), value, objectstore.Version(write.Expected))
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		c.recordStoreResult(nil)
		c.opts.Log.Info().Uint64("expected", write.Expected).Uint64("found", uint64(conflict.Current)).Msg("lease-lost")
		return fencing.LeaseConflict{}
	}
	c.recordStoreResult(err)
	if err != nil {
		return fencing.LeaseFailed{}
	}
	c.opts.Log.Info().Str("holder", string(write.Lease.Holder)).Uint64("number", write.Lease.Number).Msg("lease-written")
	return fencing.LeaseWritten{Version: uint64(version)}
}

// recordStoreResult logs when the store stops answering and when it answers
// again, but not each attempt in between: an outage may last hours, and the
// store is called every two seconds for each engine.
func (c *Controller) recordStoreResult(err error) {
	unavailable := err != nil
	if c.storeUnavailable.Swap(unavailable) == unavailable {
		return
	}
	if unavailable {
		c.opts.Log.Warn().Err(err).Msg("lease-store-away")
		return
	}
	c.opts.Log.Info().Msg("lease-store-back")
}
