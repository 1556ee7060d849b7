package objectstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// CallError is the error of a failed call. errors.Is matches both its kind,
// which is one of the package's errors, and its cause.
type CallError struct {
	Op     string
	Target string
	// Status is the HTTP status of the answer; zero if no complete answer
	// arrived.
	Status int
	Kind   error
	Cause  error
}

// Error describes the call, its kind and its cause.
func (e *CallError) Error() string {
	text := fmt.Sprintf("%v: %s %s", e.Kind, e.Op, e.Target)
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// errorCodes lists the valid codes for each status, with the kind of error. An
// answer with another combination does not come from the platform but from an
// intermediary, and proves nothing about the outcome of the call.
var errorCodes = map[int]map[ErrorCode]error{
	http.StatusNotFound:              {CodeNotFound: ErrNotFound},
	http.StatusGone:                  {CodeTooOld: ErrTooOld},
	http.StatusTooManyRequests:       {CodeRateLimited: ErrUnavailable},
	http.StatusServiceUnavailable:    {CodeUnavailable: ErrUnavailable},
	http.StatusBadRequest:            {CodeInvalid: ErrInvalid},
	http.StatusUnauthorized:          {CodeInvalid: ErrInvalid},
	http.StatusForbidden:             {CodeInvalid: ErrInvalid},
	http.StatusRequestEntityTooLarge: {CodeInvalid: ErrInvalid},
	http.StatusPreconditionRequired:  {CodeInvalid: ErrInvalid},
}

// decodePut returns the outcome of a write from its complete answer.
func decodePut(key string, answer httpAnswer) (Version, error) {
	if answer.status == http.StatusOK {
		return decodeWritten(key, answer)
	}
	if conflict := decodeConflict(key, answer); conflict != nil {
		return 0, conflict
	}
	return 0, decodeError(http.MethodPut, key, answer, ErrUnknownOutcome)
}

func decodeWritten(key string, answer httpAnswer) (Version, error) {
	var written PutAnswer
	err := json.Unmarshal(answer.body, &written)
	if err != nil || written.Version == 0 {
		return 0, &CallError{Op: http.MethodPut, Target: key, Status: answer.status, Kind: ErrUnknownOutcome, Cause: err}
	}
	return written.Version, nil
}

// decodeConflict returns nil unless the answer is a complete conflict.
func decodeConflict(key string, answer httpAnswer) error {
	if answer.status != http.StatusConflict && answer.status != http.StatusPreconditionFailed {
		return nil
	}
	var failure ErrorAnswer
	if err := json.Unmarshal(answer.body, &failure); err != nil || failure.Code != CodeConflict {
		return nil
	}
	return &ConflictError{Key: key, Current: failure.Current}
}

// decodeRead decodes the complete answer to a read.
func decodeRead(target string, answer httpAnswer, into any) error {
	if answer.status != http.StatusOK {
		return decodeError(http.MethodGet, target, answer, ErrUnavailable)
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return &CallError{Op: http.MethodGet, Target: target, Status: answer.status, Kind: ErrUnavailable, Cause: err}
	}
	return nil
}

// checkList returns an error for a list that cannot be the answer for this
// prefix. If it were accepted, a list of other objects would be delivered as
// settings, and an object's version above that of the list would make a watcher
// skip changes.
func checkList(prefix string, list ListAnswer) ([]Object, Version, error) {
	for _, object := range list.Objects {
		if !strings.HasPrefix(object.Key, prefix) || object.Version == 0 || object.Version > list.Version {
			return nil, 0, &CallError{Op: http.MethodGet, Target: prefix, Kind: ErrUnavailable, Cause: errMismatchedAnswer}
		}
	}
	return list.Objects, list.Version, nil
}

// decodeError returns a CallError for an error answer. Its kind is that of
// errorCodes for the answer's status and code, or fallback if they are not
// listed there.
func decodeError(op, target string, answer httpAnswer, fallback error) error {
	call := &CallError{Op: op, Target: target, Status: answer.status, Kind: fallback}
	var failure ErrorAnswer
	if err := json.Unmarshal(answer.body, &failure); err != nil {
		call.Cause = err
		return call
	}
	if kind, ok := errorCodes[answer.status][failure.Code]; ok {
		call.Kind = kind
	}
	if failure.Message != "" {
		call.Cause = errors.New(failure.Message)
	}
	return call
}

// asReadError turns the unknown outcome of a call that changes nothing into
// ErrUnavailable.
func asReadError(err error) error {
	var call *CallError
	if errors.As(err, &call) && call.Kind == ErrUnknownOutcome {
		call.Kind = ErrUnavailable
	}
	return err
}

// withTarget replaces the path in a CallError with the key of the object.
func withTarget(err error, key string) error {
	var call *CallError
	if errors.As(err, &call) {
		call.Target = key
	}
	return err
}
