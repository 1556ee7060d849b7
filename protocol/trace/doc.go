// Package trace records the events and actions of schedulers and replays them:
// the same events must lead to the same actions. A trace is a file of JSON
// lines, each with its kind. Traces of several routers, of callers and of
// upstreams may be merged into one.
//
// Times lose their monotonic clock reading when they are recorded. A host whose
// trace must replay exactly therefore has to pass times without a monotonic
// reading to its scheduler.
package trace
