// Package claims decides which router may run a request that carries an
// idempotency key. A claim is an entry in one of a fixed number of shards. Each
// shard is a chain of small objects of the platform, called segments. Entries
// are added to the last segment of a chain by conditional update. The condition
// acts as a fence: the update of a paused router, or of one with an outdated
// copy, fails. Full segments are sealed, and each router reads them once.
package claims
