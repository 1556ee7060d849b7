package objectstore

// This file defines the HTTP schema of the object API. The client and servers
// of the API share it.

// These are the paths of the object API.
const (
	PathObjects = "/v1/objects"
	PathWatch   = "/v1/watch"
	PathVMs     = "/v1/vms"
)

// These are the query parameters of the object API.
const (
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	// ParamWait is the longest time for which a watch waits, as a Go duration.
	ParamWait = "wait"
)

// These headers make a write conditional. A write has exactly one of them:
// If-Match with the expected version in quotes, or If-None-Match: * if the
// object must not exist.
const (
	HeaderIfMatch     = "If-Match"
	HeaderIfNoneMatch = "If-None-Match"
	MustNotExist      = "*"
)

// ErrorCode is the machine-readable part of an error answer.
type ErrorCode string

// These are the error codes of the object API. CodeUnavailable and
// CodeRateLimited guarantee that the call had no effect.
const (
	CodeNotFound    ErrorCode = "not_found"
	CodeConflict    ErrorCode = "conflict"
	CodeUnavailable ErrorCode = "unavailable"
	CodeRateLimited ErrorCode = "rate_limited"
	CodeTooOld      ErrorCode = "too_old"
	CodeInvalid     ErrorCode = "invalid"
)

// ErrorAnswer is the body of every answer that is not a success.
type ErrorAnswer struct {
	Code ErrorCode `json:"code"`
	// Current is the version found by a write that conflicts.
	Current Version `json:"current,omitempty"`
	Message string  `json:"message,omitempty"`
}

// PutRequest is the body of a write.
type PutRequest struct {
	Value []byte `json:"value"`
}

// PutAnswer is the body of a successful write. Its version is never zero.
type PutAnswer struct {
	Version Version `json:"version"`
}

// ListAnswer is the body of a successful list or watch.
type ListAnswer struct {
	Objects []Object `json:"objects"`
	Version Version  `json:"version"`
}

// VMsAnswer is the body of a successful read of the VM list.
type VMsAnswer struct {
	VMs []VM `json:"vms"`
}
