// Package outcome checks merged traces against what must always hold for
// callers: truthful refusals, whole answers, non-idempotent work run at most
// once, no new work for leaving upstreams, and settings that never revert.
//
// The records come from callers and upstreams, not from the routers under
// check, and a request is recognised by the digest of its body: the bodies of
// different requests in a trace must differ.
package outcome
