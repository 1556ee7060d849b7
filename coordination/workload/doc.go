// Package workload estimates what part of a VM's processor share relaying
// takes, and will take once the requests that are under way have all begun to
// answer. A router is refused no more work than it can relay in time.
//
// The load it is made for is a balancer that sends one small VM a quarter of
// the callers of a fleet. A stream that is admitted costs little until its
// engine begins to answer, and then some tens of events a second, so that a router
// which looks only at what it does now admits more than it can relay. No I/O and
// no clock.
package workload
