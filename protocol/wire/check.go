package wire

import (
	"math"
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// MaxNameBytes bounds names of services, workspaces, models, upstreams and
	// routers in bytes. Settings bound them more tightly; this bound only
	// keeps a faulty peer from filling maps with long keys.
	MaxNameBytes = 256
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

// requiredName accepts a name that must be present.
func (c *checker) requiredName(field, value string) string {
	if value == "" {
		c.fail(CodeMissing, field)
	}
	return c.optionalName(field, value)
}

// optionalName accepts a name that may be empty.
func (c *checker) optionalName(field, value string) string {
	if len(value) > MaxNameBytes {
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

func (c *checker) listLength(field string, n int) {
	if n > MaxEntries {
		c.fail(CodeTooMany, field)
	}
}

// int32Count accepts a count that travels as 32 bits.
func (c *checker) int32Count(field string, value uint32) int {
	if value > math.MaxInt32 {
		c.fail(CodeOutOfRange, field)
	}
	return int(value)
}

// clampCount keeps a local count within what integer accepts.
func clampCount(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}

// clampMillis rounds a duration down to milliseconds and keeps it within 32 bits:
// an age is only compared with other ages, so a cap of 49 days does no harm.
func clampMillis(d time.Duration) uint32 {
	ms := min(max(d.Milliseconds(), 0), math.MaxUint32)
	return uint32(ms)
}

// lifetimeMillis rounds up, so that a grant of less than a millisecond does not
// arrive as one that has expired.
func lifetimeMillis(d time.Duration) uint32 {
	return clampMillis(d + time.Millisecond - 1)
}

func durationFromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
