package wire

import "fmt"

// Code tells apart why a message was not accepted.
type Code uint8

// The reasons for which a message is not accepted.
const (
	// CodeEmpty: the envelope has no body that this version knows.
	CodeEmpty Code = iota + 1
	// CodeNotForScheduler: the body belongs to the mesh or to the settings.
	CodeNotForScheduler
	// CodeMissing: a required field is empty.
	CodeMissing
	// CodeTooLong: a name exceeds MaxName.
	CodeTooLong
	// CodeTooMany: a list exceeds MaxEntries.
	CodeTooMany
	// CodeNegative: a cost or a count is negative.
	CodeNegative
	// CodeOutOfRange: a value is outside its enumeration or its type.
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

// Error is a message that breaks a bound.
type Error struct {
	Code Code
	// Field is the message and field at fault, such as "demand.service".
	Field string
}

// Error names the field and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("wire: %s: %s", e.Field, e.Code)
}

// Is reports whether the target is an Error with the same code; an empty Field
// in the target matches every field.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code && (t.Field == "" || t.Field == e.Field)
}
