// Package host runs a router's scheduler as an actor. The actor is the only
// place that touches the scheduler's state: callers, peers, the load poller
// and the clock send it messages, and it performs the actions that come back.
package host
