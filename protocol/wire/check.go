package wire

import (
	"math"
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// MaxName bounds names of services, workspaces, models, upstreams and
	// routers in bytes. Settings bound them more tightly; this bound only
	// keeps a faulty peer from filling maps with long keys.
	MaxName = 256
	// MaxEntries bounds the lists of one message. It leaves room for every
	// workspace of every service in a full message of a large fleet.
	MaxEntries = 16384
)

// checker keeps the first fault of a message, so that conversions read as a
// list of fields.
type checker struct {
	err error
}

func (c *checker) fail(code Code, field string) {
	if c.err == nil {
		c.err = &Error{Code: code, Field: field}
	}
}

// name accepts a name that must be present.
func (c *checker) name(field, value string) string {
	if value == "" {
		c.fail(CodeMissing, field)
	}
	return c.optional(field, value)
}

// optional accepts a name that may be empty.
func (c *checker) optional(field, value string) string {
	if len(value) > MaxName {
		c.fail(CodeTooLong, field)
	}
	return value
}

func (c *checker) cost(field string, value int64) state.Cost {
	if value < 0 {
		c.fail(CodeNegative, field)
	}
	return state.Cost(value)
}

func (c *checker) count(field string, n int) {
	if n > MaxEntries {
		c.fail(CodeTooMany, field)
	}
}

// integer accepts a count that travels as 32 bits.
func (c *checker) integer(field string, value uint32) int {
	if value > math.MaxInt32 {
		c.fail(CodeOutOfRange, field)
	}
	return int(value)
}

// count32 keeps a local count within what integer accepts.
func count32(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}

// millis rounds a duration down to milliseconds and keeps it within 32 bits:
// an age is only compared with other ages, so a cap of 49 days does no harm.
func millis(d time.Duration) uint32 {
	ms := min(max(d.Milliseconds(), 0), math.MaxUint32)
	return uint32(ms)
}

// lifetime rounds up, so that a grant of less than a millisecond does not
// arrive as one that has expired.
func lifetime(d time.Duration) uint32 {
	return millis(d + time.Millisecond - 1)
}

func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
