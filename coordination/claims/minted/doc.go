// Package minted issues idempotency keys that only one incarnation of one
// router ever runs. Such a key needs no platform: its record is in the memory
// of the router that issued it, and every other router refuses it.
package minted
