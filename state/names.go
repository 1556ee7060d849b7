package state

import "strconv"

// Team names a team. Its subtree of the settings holds its workspaces.
type Team string

// Workspace names a tenant. Names are unique over the whole tree, so that
// counters and queues need no team beside them.
type Workspace string

// Service names a group of upstreams that callers reach under one path.
type Service string

// Model names a model version an engine can hold. It is empty for services of
// application workers.
type Model string

// Upstream names one engine or application worker.
type Upstream string

// Router names one daemon. The name survives a restart; Incarnation does not.
type Router string

// DataCentre names a failure domain that can be cut off from the others.
type DataCentre string

// Incarnation distinguishes the runs of one router: a later run has a greater
// number.
type Incarnation uint64

// RequestID numbers a request within one incarnation of a router, from 1.
type RequestID uint64

// Fingerprint is a digest of a request's workspace, service and body. It
// recognises a request that is sent again.
type Fingerprint uint64

// AttemptID identifies one dispatch of one request over the whole fleet. An
// answer counts only on the attempt it belongs to.
type AttemptID struct {
	Router      Router
	Incarnation Incarnation
	Sequence    uint64
}

// String renders the id as router.incarnation.sequence.
func (a AttemptID) String() string {
	return string(a.Router) + "." + strconv.FormatUint(uint64(a.Incarnation), 10) + "." + strconv.FormatUint(a.Sequence, 10)
}
