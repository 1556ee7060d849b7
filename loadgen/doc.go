// Package loadgen sends an open-loop load to a fleet and measures what its
// callers see.
//
// Arrivals are drawn before the run and never wait for answers. Latency counts
// from the intended time of a request, so that a fleet that stalls is charged
// for every request that should have been sent meanwhile.
package loadgen
