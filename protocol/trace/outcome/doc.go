// Package outcome checks merged traces against guarantees for callers: truthful
// refusals, whole answers, non-idempotent work run at most once, no new work
// for leaving upstreams, and settings that never revert.
//
// The records come from callers and upstreams, not from the routers under test.
// A request is identified by the digest of its body, so different requests in a
// trace must have different bodies.
package outcome
