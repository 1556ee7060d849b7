package claims

import "time"

const (
	// Shards is the number of chains that claims are spread over. Few make
	// group commits large and writes rare; many make conflicts rare. Every
	// router must agree on the number: with another one a key would be
	// looked up in the wrong shard and run twice.
	Shards = 16
	// SegmentBytes is the size at which a segment is sealed. A write carries
	// half of it in the mean, so that small is cheap; but each segment costs
	// a read by every router that follows the shard, a slot and one write to
	// empty it. At 16 KiB these are shared by some 500 entries. Routers need
	// not agree on it.
	SegmentBytes = 16 << 10
	// Slots is the number of objects that a chain uses in turn. The platform
	// has no deletion, so that without an end to the names a cold start's
	// list would grow for ever. It holds five entries for each of MaxKeys,
	// where a claim and its completion need two. Every router must agree on
	// the number: with another one a chain would have gaps.
	Slots = 512
	// reservedSlots are kept from claims, so that a full shard still takes
	// completions and releases.
	reservedSlots = Slots / 8
	// MaxKeys bounds the keys of a shard that a router remembers, at some 70
	// bytes each: 16 shards of them take less than half of the 128 MB that a
	// router may spend on control. Beyond it claims are refused, since to
	// forget one would run it twice.
	MaxKeys = 50_000
	// Retention is how long a key is remembered. Callers that send again
	// after more than a day are taken for new.
	Retention = 24 * time.Hour
	// clockSkew is kept on top of the retention before an entry is dropped,
	// since claimers stamp entries with their own clocks.
	clockSkew = time.Hour
	// roundsPerEmptying is how many rounds of a shard go by for each expired segment
	// that is emptied. It is below the rounds that fill a segment, so that
	// emptying keeps up, and leaves three rounds in four to claims.
	roundsPerEmptying = 4
	// MaxShardBytes bounds a segment's object, as the platform does.
	MaxShardBytes = 1 << 20
	// FleetRoundsPerSecond bounds the rounds a second of all routers together. A
	// round is at most one write, and one read and one more for each segment
	// sealed by others meanwhile. The platform takes several hundred writes
	// a second and serves other purposes too.
	FleetRoundsPerSecond = 200
	// defaultRouters paces a machine that has not heard the fleet's size. Too
	// many only slow its bursts; too few would flood the platform.
	defaultRouters = 8
	// completionDelay lets a completion wait for a claim's write to ride in.
	// Until then a resend hears that the request is in progress.
	completionDelay = time.Second
	// unavailableRetry is how long claims are refused at once after the platform did
	// not answer, before one round tries it again.
	unavailableRetry = 2 * time.Second
	// maxDecisionTime is the longest a claim may take from arrival to the right
	// to run. A claimer that was paused for longer gives the claim back: the
	// caller has been answered or left, and the entry may be near its end.
	maxDecisionTime = 30 * time.Second
	// maxInProgressTime is how long a running claim is taken for under way. It
	// is above the longest default deadline; later nobody will complete it.
	maxInProgressTime = 15 * time.Minute
	// progressRetry is when a caller may ask after a running request again.
	progressRetry = 2 * time.Second
	// maxPendingSettlements bounds completions and releases kept while the platform is
	// away. Beyond it the oldest is dropped; its key then reads as unknown,
	// which is still true.
	maxPendingSettlements = 100_000
)
