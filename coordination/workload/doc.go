// Package workload estimates which part of a VM's CPU share relaying uses, and
// will use once all active requests have started to answer. With it a router
// accepts only as many requests as it can relay in time.
//
// It is designed for a load balancer that sends a quarter of a fleet's callers
// to one small VM. An admitted stream costs little until its engine starts to
// answer, and then some tens of events per second. A router that considers only
// its current load therefore admits more than it can relay. The package does no
// I/O and takes the time as an argument.
package workload
