// Package host runs a router's scheduler as an actor. Only the actor uses the
// scheduler's state: callers, peers, the load poller and the clock send it
// messages, and it performs the actions that the scheduler returns.
package host
