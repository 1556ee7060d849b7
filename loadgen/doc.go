// Package loadgen sends open-loop load to a fleet of routers and measures the
// responses that its callers receive.
//
// All arrivals are scheduled before the run, and sending never waits for
// earlier responses. Latency is measured from the intended send time of a
// request, so that a fleet that stalls is charged for every request that should
// have been sent during the stall.
package loadgen
