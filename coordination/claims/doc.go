// Package claims decides who may run a request that carries an idempotency
// key. A claim is an entry in one of a fixed number of shards, each a chain of
// small objects of the platform. Entries are appended to a chain's last segment
// by conditional update; the condition is the fence that a paused or stale
// claimer runs into. Full segments are sealed, and read once by each router.
package claims
