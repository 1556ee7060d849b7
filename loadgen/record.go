package loadgen

import (
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Record is what one caller saw. Times count from the start of the run; zero
// means that it did not happen.
type Record struct {
	Workspace state.Workspace
	Service   state.Service
	Class     string
	Intended  time.Duration
	Sent      time.Duration
	// Head is when the answer's head came, First its first token.
	Head  time.Duration
	First time.Duration
	End   time.Duration
	// Slowest is the longest pause between two parts of a stream.
	Slowest time.Duration
	Status  int
	Code    result.Code
	// Ran is the fleet's statement; empty if it made none.
	Ran    string
	Digest string
	Key    string
	Again  bool
	// Left is set if the caller went away before the end.
	Left bool
	// Broken is what ended the connection before a result was known.
	Broken string
	// Whole says that the answer ended cleanly, Own that it is the whole
	// answer to this request's body.
	Whole  bool
	Own    bool
	Cost   float64
	Router string
}

// Served tells whether the caller got an answer that claims to be its own.
func (r Record) Served() bool { return r.Status == 200 && r.Whole }
