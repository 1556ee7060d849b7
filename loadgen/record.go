package loadgen

import (
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Record is the outcome of one request as its caller observed it. Times are
// measured from the start of the run. A time is zero if the event did not
// happen.
type Record struct {
	Workspace  state.Workspace
	Service    state.Service
	Class      string
	IntendedAt time.Duration
	SentAt     time.Duration
	// HeaderAt is the time at which the response header was received,
	// FirstByteAt the time of the first byte of the body.
	HeaderAt    time.Duration
	FirstByteAt time.Duration
	EndedAt     time.Duration
	// MaxEventGap is the maximum time between two reads of the response body.
	MaxEventGap time.Duration
	Status      int
	Code        result.Code
	// Ran is the fleet's statement on whether the request was executed. It is
	// empty if the response has none.
	Ran        string
	BodyDigest string
	Key        string
	Resent     bool
	// CallerLeft is set if the caller cancelled the request before the response
	// was complete, by its AbandonAfter or because the run ended.
	CallerLeft bool
	// ConnectionError is the error that ended the exchange before the response
	// was complete.
	ConnectionError string
	// Complete is set if the response was read to its end without an error.
	// MatchesRequest is set if it is also the full answer to the body of this
	// request.
	Complete       bool
	MatchesRequest bool
	Cost           float64
	Router         string
}

// Served reports whether the caller received a complete response with status
// 200. It does not check that the answer belongs to the request.
func (r Record) Served() bool { return r.Status == 200 && r.Complete }
