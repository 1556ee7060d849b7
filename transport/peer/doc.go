// Package peer connects the routers of a fleet, each with every other or, if
// selective, with those that are selected: one yamux session over TCP per pair,
// with a control stream for scheduling messages and
// heartbeats and a bulk stream for configuration objects, so that a large
// object delays no grant. Who is live and which session stays is decided by
// package membership; this package does the I/O around it.
package peer
