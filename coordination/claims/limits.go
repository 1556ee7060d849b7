package claims

import "time"

const (
	// Shards is the number of chains that claims are distributed over. With few
	// shards, group commits are large and writes rare; with many, conflicts are
	// rare. Every router must use the same number, because with another one a
	// key would be looked up in the wrong shard and its request would run
	// twice.
	Shards = 16
	// SegmentBytes is the size at which a segment is sealed. On average a write
	// carries half of it, which favours a small size. On the other hand, each
	// segment costs one read by every router that follows the shard, one slot,
	// and one write to empty it. At 16 KiB these costs are shared by about 500
	// entries. Routers need not use the same size.
	SegmentBytes = 16 << 10
	// Slots is the number of objects that a chain uses in turn. The platform
	// cannot delete objects, so with an unlimited number of names the list that
	// a router reads at its start would grow for ever. The slots hold five
	// entries for each of MaxKeys keys, and a claim with its completion needs
	// two. Every router must use the same number, because with another one a
	// chain would have gaps.
	Slots = 512
	// reservedSlots is the number of slots that claims may not use, so that a
	// full shard still accepts completions and releases.
	reservedSlots = Slots / 8
	// MaxKeys bounds the number of keys of a shard that a router keeps in
	// memory. At about 70 bytes per key, 16 shards take less than half of the
	// 128 MB that a router may use for control. Beyond it, claims are refused,
	// because a request whose key was forgotten could run twice.
	MaxKeys = 50_000
	// Retention is the time for which a key is remembered. A request that is
	// sent again later than that counts as new.
	Retention = 24 * time.Hour
	// clockSkew is the additional time after Retention before an entry is
	// dropped, since claimers record the time of entries by their own clocks.
	clockSkew = time.Hour
	// roundsPerEmptying is the number of rounds of a shard for each expired
	// segment that is emptied. It is below the number of rounds that fill a
	// segment, so that emptying keeps up, and leaves three rounds in four to
	// claims.
	roundsPerEmptying = 4
	// MaxShardBytes bounds the size of a segment's object. The platform has the
	// same bound.
	MaxShardBytes = 1 << 20
	// FleetRoundsPerSecond bounds the number of rounds per second of all
	// routers together. A round consists of at most one write and one read, and
	// one further read for each segment that others sealed in the meantime. The
	// platform accepts several hundred writes per second and serves other
	// purposes as well.
	FleetRoundsPerSecond = 200
	// defaultRouters is the assumed number of routers until the size of the
	// fleet is known. If it is too large, bursts are only slower; if it is too
	// small, the platform is overloaded.
	defaultRouters = 8
	// completionDelay is the time for which a completion waits for a claim to
	// share a write with. Until it is written, a request with the same key is
	// answered that the first one is in progress.
	completionDelay = time.Second
	// unavailableRetry is the time for which claims are refused at once after
	// the platform did not answer. Then a single round tries it again.
	unavailableRetry = 2 * time.Second
	// maxDecisionTime is the maximum time from the arrival of a claim to the
	// right to run. A claimer that was paused for longer releases the claim,
	// because the caller has been answered or has disconnected, and the entry
	// may be about to expire.
	maxDecisionTime = 30 * time.Second
	// maxInProgressTime is the time for which a running claim counts as in
	// progress. It is above the longest default deadline; after it, no router
	// will complete the claim.
	maxInProgressTime = 15 * time.Minute
	// progressRetry is the retry delay sent to a caller whose request is
	// already running.
	progressRetry = 2 * time.Second
	// maxPendingSettlements bounds the number of completions and releases that
	// are kept while the platform is unavailable. Beyond it, the oldest one of
	// the shard that gets another one is dropped. Its key is then answered as
	// unknown, which is still correct.
	maxPendingSettlements = 100_000
)
