package claims

import "time"

const (
	// Shards is the number of objects that claims are spread over. Few make
	// group commits large and writes rare; many make objects small. At 16
	// the whole fleet may take 500,000 claims within the retention. Every
	// router must agree on the number: with another one a key would be
	// looked up in the wrong shard and run twice.
	Shards = 16
	// Retention is how long a key is remembered. Callers that send again
	// after more than a day are taken for new.
	Retention = 24 * time.Hour
	// clockSkew is kept on top of the retention before an entry is dropped,
	// since claimers stamp entries with their own clocks.
	clockSkew = time.Hour
	// MaxShardBytes bounds a shard's object, as the platform does.
	MaxShardBytes = 1 << 20
	// FleetRounds bounds the rounds a second of all routers together. A
	// round is at most one read and one write. The platform takes several
	// hundred writes a second and serves other purposes too.
	FleetRounds = 200
	// defaultRouters paces a machine that has not heard the fleet's size. Too
	// many only slow its bursts; too few would flood the platform.
	defaultRouters = 8
	// completionDelay lets a completion wait for a claim's write to ride in.
	// Until then a resend hears that the request is in progress.
	completionDelay = time.Second
	// awayFor is how long claims are refused at once after the platform did
	// not answer, before one round tries it again.
	awayFor = 2 * time.Second
	// decideWithin is the longest a claim may take from arrival to the right
	// to run. A claimer that was paused for longer gives the claim back: the
	// caller has been answered or left, and the entry may be near its end.
	decideWithin = 30 * time.Second
	// inProgressFor is how long a running claim is taken for under way. It
	// is above the longest default deadline; later nobody will complete it.
	inProgressFor = 15 * time.Minute
	// progressRetry is when a caller may ask after a running request again.
	progressRetry = 2 * time.Second
	// maxSettling bounds completions and releases kept while the platform is
	// away. Beyond it the oldest is dropped; its key then reads as unknown,
	// which is still true.
	maxSettling = 100_000
)
