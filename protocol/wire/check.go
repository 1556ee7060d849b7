package wire

import (
	"math"
	"time"

	"github.com/figstile/figstile/state"
)

const (
	// MaxNameBytes bounds the names of services, workspaces, models, upstreams
	// and routers in bytes. The settings have lower limits; this one only keeps
	// a faulty peer from filling maps with long keys.
	MaxNameBytes = 256
	// MaxEntries bounds the lists of one message. In a large fleet, a full
	// message with every workspace of every service fits.
	MaxEntries = 16384
)

// checker records the first fault of a message, so that conversions can check
// field by field without handling an error after each.
type checker struct {
	err error
}

func (c *checker) fail(code Code, field string) {
	if c.err == nil {
		c.err = &Error{Code: code, Field: field}
	}
}

// requiredName returns a name and records a fault if it is empty or too long.
func (c *checker) requiredName(field, value string) string {
	if value == "" {
		c.fail(CodeMissing, field)
	}
	return c.optionalName(field, value)
}

// optionalName returns a name that may be empty and records a fault if it is
// too long.
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

// int32Count returns a count and records a fault if it exceeds math.MaxInt32.
func (c *checker) int32Count(field string, value uint32) int {
	if value > math.MaxInt32 {
		c.fail(CodeOutOfRange, field)
	}
	return int(value)
}

// clampCount limits a local count to the range that int32Count accepts.
func clampCount(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}

// clampMillis rounds a duration down to milliseconds and limits it to 32 bits.
// Ages are only compared with other ages, so the limit of 49 days does no harm.
func clampMillis(d time.Duration) uint32 {
	ms := min(max(d.Milliseconds(), 0), math.MaxUint32)
	return uint32(ms)
}

// lifetimeMillis rounds the lifetime of a grant up to milliseconds, so that a
// grant with less than a millisecond left does not arrive as an expired grant.
func lifetimeMillis(d time.Duration) uint32 {
	return clampMillis(d + time.Millisecond - 1)
}

func durationFromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
