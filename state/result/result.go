package result

import (
	"fmt"
	"net/http"
	"time"
)

// Ran states whether a request ran on an upstream.
type Ran uint8

// The values of Ran. RanNo is used only if no part of the request was sent to
// an upstream.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns the value of the Figstile-Ran header.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Code is the number of a final result. Numbers are never reused.
type Code uint16

// The result codes. The thousands digit is the group: 0 success, 1 the request
// itself, 2 capacity and readiness, 3 the upstream, 4 repeated requests, 5 the
// router, 6 administration.
const (
	OK Code = 0

	BadRequest     Code = 1001
	Unauthorized   Code = 1002
	Forbidden      Code = 1003
	UnknownService Code = 1004
	UnknownModel   Code = 1005
	BodyTooLarge   Code = 1006
	HeaderTooLarge Code = 1007

	QueueFull        Code = 2001
	QueueBytesFull   Code = 2002
	DeadlineTooShort Code = 2003
	DeadlinePassed   Code = 2004
	Draining         Code = 2005
	NotReady         Code = 2006
	NoUpstream       Code = 2007
	ClaimUnavailable Code = 2008
	TooManyRequests  Code = 2009
	Overloaded       Code = 2010
	OverShare        Code = 2011

	UpstreamUnreachable Code = 3001
	UpstreamLost        Code = 3002
	AnswerTruncated     Code = 3003
	AnswerTooLong       Code = 3004
	UpstreamFailed      Code = 3005
	DeadlineWhileRun    Code = 3006
	UpstreamRefused     Code = 3007

	KeyInProgress Code = 4001
	KeyCompleted  Code = 4002
	KeyUnknown    Code = 4003
	Quarantined   Code = 4004
	Suspected     Code = 4005

	Internal        Code = 5001
	StoppedWhileRun Code = 5002

	ConfigInvalid       Code = 6001
	ConfigConflict      Code = 6002
	ConfigOutside       Code = 6003
	ConfigUnknown       Code = 6004
	PlatformUnavailable Code = 6005
	NotFound            Code = 6006
)

// Entry is one row of the table of result codes.
type Entry struct {
	Code Code
	// Name is the short stable name used in logs and problem documents.
	Name string
	// Status is the HTTP status of an answer with this code.
	Status int
	// Ran is the value for results that do not set another one.
	Ran Ran
	// Retry is set if an answer with this code has a Retry-After header.
	Retry bool
	// Meaning is one sentence for the caller.
	Meaning string
}

// Table lists all codes in ascending order.
var Table = []Entry{
	{OK, "ok", http.StatusOK, RanYes, false, "The whole answer was delivered."},
	{BadRequest, "bad-request", http.StatusBadRequest, RanNo, false, "The request could not be understood."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, RanNo, false, "The bearer token is missing or belongs to no workspace."},
	{Forbidden, "forbidden", http.StatusForbidden, RanNo, false, "The workspace may not use this service or model."},
	{UnknownService, "unknown-service", http.StatusNotFound, RanNo, false, "No service has this name."},
	{UnknownModel, "unknown-model", http.StatusNotFound, RanNo, false, "The service offers no such model."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, RanNo, false, "The body exceeds the service's limit."},
	{HeaderTooLarge, "header-too-large", http.StatusRequestHeaderFieldsTooLarge, RanNo, false, "The head of the request exceeds the limit."},
	{QueueFull, "queue-full", http.StatusTooManyRequests, RanNo, true, "The workspace has as many requests waiting as it may."},
	{QueueBytesFull, "queue-bytes-full", http.StatusTooManyRequests, RanNo, true, "The workspace's waiting requests hold as many bytes as they may."},
	{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, RanNo, true, "The estimated wait exceeds the request's deadline."},
	{DeadlinePassed, "deadline-passed", http.StatusServiceUnavailable, RanNo, true, "The deadline passed while the request waited."},
	{Draining, "draining", http.StatusServiceUnavailable, RanNo, true, "The router is shutting down; another one serves."},
	{NotReady, "not-ready", http.StatusServiceUnavailable, RanNo, true, "The router holds no configuration yet."},
	{NoUpstream, "no-upstream", http.StatusServiceUnavailable, RanNo, true, "No upstream of the service accepts work."},
	{ClaimUnavailable, "claim-unavailable", http.StatusServiceUnavailable, RanNo, true, "The platform could not record the idempotency key, so the request was not run."},
	{TooManyRequests, "too-many-requests", http.StatusTooManyRequests, RanNo, true, "The router holds as many requests as its memory allows."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, RanNo, true, "The answer could not begin in time."},
	{OverShare, "over-share", http.StatusTooManyRequests, RanNo, true, "The workspace has its fair share already and others wait."},
	{UpstreamUnreachable, "upstream-unreachable", http.StatusBadGateway, RanNo, true, "No connection to an upstream could be made."},
	{UpstreamLost, "upstream-lost", http.StatusBadGateway, RanUnknown, false, "The upstream went away before it answered."},
	{AnswerTruncated, "answer-truncated", http.StatusBadGateway, RanYes, false, "The answer broke off; what was received is not whole."},
	{AnswerTooLong, "answer-too-long", http.StatusBadGateway, RanYes, false, "The answer exceeds the service's limit and was cut."},
	{UpstreamFailed, "upstream-failed", http.StatusBadGateway, RanYes, false, "The upstream answered with an error of its own."},
	{DeadlineWhileRun, "deadline-while-running", http.StatusGatewayTimeout, RanUnknown, false, "The deadline passed while the request ran."},
	{UpstreamRefused, "upstream-refused", http.StatusBadGateway, RanUnknown, true, "The upstream would not take the request."},
	{KeyInProgress, "key-in-progress", http.StatusConflict, RanUnknown, true, "A request with this idempotency key has been started; its outcome is not known yet."},
	{KeyCompleted, "key-completed", http.StatusConflict, RanYes, false, "A request with this idempotency key has already run."},
	{KeyUnknown, "key-unknown", http.StatusConflict, RanUnknown, false, "Nobody can tell any more whether the request with this key ran; it is not run again."},
	{Quarantined, "quarantined", http.StatusUnprocessableEntity, RanNo, false, "This request took down more than one upstream and is not run again."},
	{Suspected, "suspected", http.StatusServiceUnavailable, RanNo, true, "This request may have taken down upstreams and is not run until that is known."},
	{Internal, "internal", http.StatusInternalServerError, RanUnknown, false, "The router failed."},
	{StoppedWhileRun, "stopped-while-running", http.StatusBadGateway, RanUnknown, false, "The router stopped while the request ran."},
	{ConfigInvalid, "config-invalid", http.StatusUnprocessableEntity, RanNo, false, "The settings are not valid; nothing was changed."},
	{ConfigConflict, "config-conflict", http.StatusConflict, RanNo, false, "Somebody else changed the settings first; nothing was changed."},
	{ConfigOutside, "config-outside", http.StatusForbidden, RanNo, false, "The token does not reach this part of the settings."},
	{ConfigUnknown, "config-unknown", http.StatusGatewayTimeout, RanUnknown, true, "The platform's answer was lost and could not be settled yet."},
	{PlatformUnavailable, "platform-unavailable", http.StatusServiceUnavailable, RanNo, true, "The platform does not answer; nothing was changed."},
	{NotFound, "not-found", http.StatusNotFound, RanNo, false, "There is no such object."},
}

var byCode = indexByCode(Table)

func indexByCode(table []Entry) map[Code]Entry {
	entries := make(map[Code]Entry, len(table))
	for _, e := range table {
		entries[e.Code] = e
	}
	return entries
}

// Lookup returns the table row of a code, or the row of Internal for an unknown
// code.
func Lookup(c Code) Entry {
	e, ok := byCode[c]
	if !ok {
		return byCode[Internal]
	}
	return e
}

// Result is the final outcome of one request. The zero value means OK with
// RanNo; use New to create a Result.
type Result struct {
	Code Code `json:"code"`
	Ran  Ran  `json:"ran"`
	// RetryAfter is the time after which a retry may succeed; zero if a retry
	// would not help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Detail is one sentence for a human reader. It contains no secrets.
	Detail string `json:"detail,omitempty"`
}

// New returns a result with the code's usual Ran value.
func New(c Code, detail string) Result {
	return Result{Code: c, Ran: Lookup(c).Ran, Detail: detail}
}

// WithRetryAfter returns a copy of the result with the time after which to
// retry.
func (r Result) WithRetryAfter(d time.Duration) Result {
	r.RetryAfter = d
	return r
}

// WithRan returns a copy of the result with another Ran value.
func (r Result) WithRan(ran Ran) Result {
	r.Ran = ran
	return r
}

// Error formats the result as an error message; it makes Result an error.
func (r Result) Error() string {
	return fmt.Sprintf("%s (%d, ran %s): %s", Lookup(r.Code).Name, r.Code, r.Ran, r.Detail)
}
