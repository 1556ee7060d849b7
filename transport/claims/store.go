package claims

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/transport/objectstore"
)

// keyPrefix is the prefix of the shards' objects on the platform. An operator
// must not delete the segments of a shard: the claims in a deleted segment are
// lost.
const keyPrefix = "claims/"

// foreignObjectSlot is the slot number for an object that is not a segment.
// Such an object may contain claims, so the machine refuses the claims of its
// shard.
const foreignObjectSlot = -1

func shardPrefix(shard int) string { return keyPrefix + strconv.Itoa(shard) + "/" }

func segmentKey(shard, slot int) string { return shardPrefix(shard) + strconv.Itoa(slot) }

// slotOf returns the slot number in a key, or foreignObjectSlot.
func slotOf(shard int, key string) int {
	slot, err := strconv.Atoi(strings.TrimPrefix(key, shardPrefix(shard)))
	if err != nil || key != segmentKey(shard, slot) {
		return foreignObjectSlot
	}
	return slot
}

func (h *Host) read(ctx context.Context, a claims.Read) claims.ReadDone {
	get := h.get
	if a.WholeChain {
		get = h.list
	}
	done, err := get(ctx, a)
	if err != nil {
		h.logFailure("claims-read", a.Shard, err)
		return claims.ReadDone{Shard: a.Shard, Outcome: claims.ReadFailed}
	}
	done.Shard = a.Shard
	done.Outcome = claims.ReadOK
	return done
}

func (h *Host) get(ctx context.Context, a claims.Read) (claims.ReadDone, error) {
	object, err := h.opts.Store.Get(ctx, segmentKey(a.Shard, a.Slot))
	if errors.Is(err, objectstore.ErrNotFound) {
		return claims.ReadDone{}, nil
	}
	return claims.ReadDone{Version: claims.Version(object.Version), Value: object.Value}, err
}

// list reads the whole chain of a shard in one call.
func (h *Host) list(ctx context.Context, a claims.Read) (claims.ReadDone, error) {
	var done claims.ReadDone
	objects, _, err := h.opts.Store.List(ctx, shardPrefix(a.Shard))
	if err != nil {
		return done, err
	}
	for _, object := range objects {
		slot := slotOf(a.Shard, object.Key)
		stored := claims.StoredSegment{Slot: slot, Version: claims.Version(object.Version), Value: object.Value}
		if slot == 0 {
			done.Version, done.Value = stored.Version, stored.Value
			continue
		}
		done.Others = append(done.Others, stored)
	}
	return done, nil
}

func (h *Host) write(ctx context.Context, a claims.Write) claims.WriteDone {
	version, err := h.opts.Store.Put(ctx, segmentKey(a.Shard, a.Slot), a.Value, objectstore.Version(a.Expected))
	done := claims.WriteDone{Shard: a.Shard, Outcome: writeOutcome(err), Version: claims.Version(version)}
	if done.Outcome == claims.WriteUnavailable || done.Outcome == claims.WriteUnknown {
		h.logFailure("claims-write", a.Shard, err)
	}
	return done
}

// writeOutcome returns the outcome for an error of a write. Unrecognised
// errors, including the timeout of the call, count as an unknown outcome,
// because the write may still take effect.
func writeOutcome(err error) claims.WriteOutcome {
	var conflict *objectstore.ConflictError
	switch {
	case err == nil:
		return claims.WriteOK
	case errors.As(err, &conflict):
		return claims.WriteConflict
	case errors.Is(err, objectstore.ErrUnavailable):
		return claims.WriteUnavailable
	default:
		return claims.WriteUnknown
	}
}

func (h *Host) logFailure(event string, shard int, err error) {
	h.opts.Log.Warn().Str("event", event).Int("shard", shard).Err(err).Send()
}
