package loadgen

import (
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Record is what one caller saw. Times count from the start of the run; zero
// means that it did not happen.
type Record struct {
	Workspace  state.Workspace
	Service    state.Service
	Class      string
	IntendedAt time.Duration
	SentAt     time.Duration
	// HeaderAt is when the answer's head came, First its first token.
	HeaderAt    time.Duration
	FirstByteAt time.Duration
	EndedAt     time.Duration
	// MaxEventGap is the longest pause between two parts of a stream.
	MaxEventGap time.Duration
	Status      int
	Code        result.Code
	// Ran is the fleet's statement; empty if it made none.
	Ran        string
	BodyDigest string
	Key        string
	Resent     bool
	// CallerLeft is set if the caller went away before the end.
	CallerLeft bool
	// ConnectionError is what ended the connection before a result was known.
	ConnectionError string
	// Complete says that the answer ended cleanly, Own that it is the whole
	// answer to this request's body.
	Complete       bool
	MatchesRequest bool
	Cost           float64
	Router         string
}

// Served tells whether the caller got an answer that claims to be its own.
func (r Record) Served() bool { return r.Status == 200 && r.Complete }
