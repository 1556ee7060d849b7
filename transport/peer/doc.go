// Package peer connects the routers of a fleet. Each router has a session with
// every other one or, with SelectiveDialing, with the selected ones. There is
// one yamux session over TCP per pair of routers, with a control stream for
// scheduling messages and heartbeats and a bulk stream for configuration
// objects, so that a large object does not delay grants. Package membership
// decides which routers are live and which session is kept; this package does
// the I/O for it.
package peer
