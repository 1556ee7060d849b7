// Package daemon wires one router together: the caller, administration and
// peer listeners, the scheduler's host, the settings source and the stop.
// cmd/figstiled runs one, the development fleet runs many in one process.
package daemon
