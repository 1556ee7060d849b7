// Package scheduler is the state machine of one router. It admits requests,
// queues them per service, workspace and model, chooses the workspace that gets
// the next free slot on the upstreams that the router owns, and reacts to
// reports of peers and upstreams.
//
// Step is deterministic: the same events in the same order give the same
// actions. The host performs the actions and reports their results as further
// events.
package scheduler
