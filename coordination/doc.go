// Package coordination is the root of the decisions that routers make under
// load and under failure. Its packages do no I/O and read no clock: they are
// fed events with the time at which they happened and return actions, so that
// a recorded trace replays exactly.
package coordination
