package wire

import "fmt"

// Code is the reason why a message was not accepted.
type Code uint8

// The reasons for not accepting a message.
const (
	// CodeEmpty means that the envelope has no body that this version knows.
	CodeEmpty Code = iota + 1
	// CodeNotForScheduler means that the body is handled by the mesh or by the
	// exchange of settings.
	CodeNotForScheduler
	// CodeMissing means that a required field is empty.
	CodeMissing
	// CodeTooLong means that a name exceeds MaxNameBytes.
	CodeTooLong
	// CodeTooMany means that a list exceeds MaxEntries.
	CodeTooMany
	// CodeNegative means that a cost is negative.
	CodeNegative
	// CodeOutOfRange means that a value is outside its enumeration or the range
	// of its type.
	CodeOutOfRange
)

var codeNames = map[Code]string{
	CodeEmpty:           "no known body",
	CodeNotForScheduler: "not for the scheduler",
	CodeMissing:         "missing",
	CodeTooLong:         "too long",
	CodeTooMany:         "too many entries",
	CodeNegative:        "negative",
	CodeOutOfRange:      "out of range",
}

// String returns the reason in words.
func (c Code) String() string {
	if name, ok := codeNames[c]; ok {
		return name
	}
	return fmt.Sprintf("code %d", uint8(c))
}

// Error reports a message that exceeds a bound or is not meant for the
// scheduler.
type Error struct {
	Code Code
	// Field is the message and the invalid field, such as "demand.service".
	Field string
}

// Error returns the field and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("wire: %s: %s", e.Field, e.Code)
}

// Is reports whether the target is an Error with the same code and field. An
// empty Field in the target matches every field.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code && (t.Field == "" || t.Field == e.Field)
}
