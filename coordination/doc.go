// Package coordination contains the packages that make the decisions of routers
// under load and under failure. These packages do no I/O and read no clock:
// they receive events with the time at which they happened and return actions,
// so that a recorded trace can be replayed exactly.
package coordination
