package state

import "strconv"

// Team is the name of a team. The team's subtree of the settings contains its
// workspaces.
type Team string

// Workspace is the name of a tenant. Names are unique over the whole tree of
// settings, so counters and queues can be keyed by workspace without the team.
type Workspace string

// Service is the name of a group of upstreams that callers reach under one
// path.
type Service string

// Model is the name of a model version that an engine can load. It is empty for
// services of application workers.
type Model string

// Upstream is the name of one engine or application worker.
type Upstream string

// Router is the name of one router daemon. The name stays the same after a
// restart, while the Incarnation changes.
type Router string

// DataCentre is the name of a failure domain that can be cut off from the
// others.
type DataCentre string

// Region is the name of a group of data centres. Operators may restrict
// requests to the upstreams of some regions.
type Region string

// Incarnation distinguishes the processes that run under one router name, one
// after another. A later process has a greater number.
type Incarnation uint64

// RequestID numbers the requests of one incarnation of a router, starting at 1.
type RequestID uint64

// Fingerprint is a digest of a request's workspace, service and body. It
// identifies a request that is sent again.
type Fingerprint uint64

// AttemptID identifies one dispatch of one request in the whole fleet. An
// answer counts only for the attempt that it belongs to.
type AttemptID struct {
	Router      Router
	Incarnation Incarnation
	Sequence    uint64
}

// String formats the id as router.incarnation.sequence.
func (a AttemptID) String() string {
	return string(a.Router) + "." + strconv.FormatUint(uint64(a.Incarnation), 10) + "." + strconv.FormatUint(a.Sequence, 10)
}
