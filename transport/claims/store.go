package claims

import (
	"context"
	"errors"
	"strconv"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/transport/objectstore"
)

// keyPrefix is where the shards lie in the platform. An operator must not
// delete them: a deleted shard forgets its claims.
const keyPrefix = "claims/"

func shardKey(shard int) string { return keyPrefix + strconv.Itoa(shard) }

func (h *Host) read(ctx context.Context, a claims.Read) claims.ReadDone {
	object, err := h.opts.Store.Get(ctx, shardKey(a.Shard))
	done := claims.ReadDone{Shard: a.Shard, Outcome: claims.ReadOK}
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
	case err != nil:
		done.Outcome = claims.ReadFailed
		h.logFailure("claims-read", a.Shard, err)
	default:
		done.Version = claims.Version(object.Version)
		done.Value = object.Value
	}
	return done
}

func (h *Host) write(ctx context.Context, a claims.Write) claims.WriteDone {
	version, err := h.opts.Store.Put(ctx, shardKey(a.Shard), a.Value, objectstore.Version(a.Expected))
	done := claims.WriteDone{Shard: a.Shard, Outcome: writeOutcome(err), Version: claims.Version(version)}
	if done.Outcome == claims.WriteUnavailable || done.Outcome == claims.WriteUnknown {
		h.logFailure("claims-write", a.Shard, err)
	}
	return done
}

// writeOutcome takes every error it does not know for an unknown outcome, the
// time-out of a call among them: the write may be under way.
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
