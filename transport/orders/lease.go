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

func (c *Controller) readLease(ctx context.Context) fencing.Event {
	object, err := c.opts.Store.Get(ctx, LeaseKey(c.opts.Upstream))
	if errors.Is(err, objectstore.ErrNotFound) {
		return fencing.LeaseRead{}
	}
	if err != nil {
		c.opts.Log.Warn().Err(err).Msg("lease-read-failed")
		return fencing.LeaseFailed{}
	}
	var lease fencing.Lease
	if err := json.Unmarshal(object.Value, &lease); err != nil {
		c.opts.Log.Error().Err(err).Msg("lease-not-understood")
		return fencing.LeaseFailed{}
	}
	return fencing.LeaseRead{Lease: lease, Version: uint64(object.Version)}
}

// writeLease tells a conflict, which is final, from every other failure, after
// which the write may have taken effect.
func (c *Controller) writeLease(ctx context.Context, write fencing.WriteLease) fencing.Event {
	value, err := json.Marshal(write.Lease)
	if err != nil {
		c.opts.Log.Error().Err(err).Msg("lease-not-encoded")
		return fencing.LeaseFailed{}
	}
	version, err := c.opts.Store.Put(ctx, LeaseKey(c.opts.Upstream), value, objectstore.Version(write.Expected))
	var conflict *objectstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		c.opts.Log.Info().Uint64("expected", write.Expected).Uint64("found", uint64(conflict.Current)).Msg("lease-lost")
		return fencing.LeaseConflict{}
	case err != nil:
		c.opts.Log.Warn().Err(err).Msg("lease-write-failed")
		return fencing.LeaseFailed{}
	}
	c.opts.Log.Info().Str("holder", string(write.Lease.Holder)).Uint64("number", write.Lease.Number).Msg("lease-written")
	return fencing.LeaseWritten{Version: uint64(version)}
}
