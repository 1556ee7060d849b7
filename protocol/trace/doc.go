// Package trace records what the deciders saw and decided, and replays it: the
// same events must give the same actions. A trace is a file of JSON lines, each
// with its kind; traces of several routers, of callers and of upstreams may be
// merged into one.
//
// Times lose their monotonic part on the way. A host whose trace shall replay
// exactly therefore feeds its decider times without one.
package trace
