package objectstore

// The HTTP schema of the object API, shared by the client and by servers of
// the same API.

// Paths of the object API.
const (
	PathObjects = "/v1/objects"
	PathWatch   = "/v1/watch"
	PathVMs     = "/v1/vms"
)

// Query parameters of the object API.
const (
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	// ParamWait is the longest wait of a watch, as a Go duration.
	ParamWait = "wait"
)

// Headers that carry the condition of a write. A write has exactly one:
// If-Match with the expected version in quotes, or If-None-Match: * for an
// object that must not exist.
const (
	HeaderIfMatch     = "If-Match"
	HeaderIfNoneMatch = "If-None-Match"
	MustNotExist      = "*"
)

// ErrorCode is the machine-readable part of an error answer.
type ErrorCode string

// Error codes of the object API. CodeUnavailable and CodeRateLimited promise
// that the call had no effect.
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
	// Current is the version found by a conflicting write.
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

// VMsAnswer is the body of a successful read of the list of machines.
type VMsAnswer struct {
	VMs []VM `json:"vms"`
}
