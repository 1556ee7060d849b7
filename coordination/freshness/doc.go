// Package freshness tracks which configuration a router holds, which newer ones
// it has heard of, and whether its own may count as the newest. It does no I/O
// and reads no clock.
package freshness
