// Package claims decides who may run a request that carries an idempotency
// key. A claim is an entry in one of a fixed number of shard objects of the
// platform, appended by conditional update; the condition is the fence that a
// paused or stale claimer runs into.
package claims
