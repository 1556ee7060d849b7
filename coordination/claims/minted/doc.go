// Package minted issues idempotency keys whose requests are run only by the
// incarnation of the router that issued them. Such a key needs no storage in
// the platform: its record is in the memory of the router that issued it, and
// every other router refuses it.
package minted
