// Package daemon connects the parts of one router: the listeners for callers,
// administration and peers, the scheduler's host, the settings source and the
// shutdown. cmd/figstiled runs one router; the development fleet runs many in
// one process.
package daemon
