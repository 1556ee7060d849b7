// Package capacity estimates how much CPU, memory and traffic a fleet of a
// given size costs each router, and compares the results with limits. The
// estimates are calculated from slopes: costs measured against a size, such as
// the number of upstreams, by running the state machines, codecs and sessions
// of a router. Measure produces the slopes and NewReport uses them.
//
// Every other input is either a constant of the package that uses it, a size of
// the fleet, or an assumption listed in Fleet.
package capacity
