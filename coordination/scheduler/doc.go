// Package scheduler is the state machine of one router: it admits requests,
// queues them per service and workspace, chooses whose turn it is on the
// upstreams the router owns, and reacts to what peers and upstreams report.
//
// Step is deterministic: the same events in the same order give the same
// actions. The host performs the actions and feeds back what came of them.
package scheduler
