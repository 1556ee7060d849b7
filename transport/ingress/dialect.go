package ingress

import (
	"net/http"
	"time"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
)

// Dialect translates between HTTP headers and the fields that are decided on.
type Dialect interface {
	// Inbound reads a caller's headers.
	Inbound(header http.Header) (Inbound, error)
	// Outbound removes what a caller must not say to an upstream from the
	// header, and sets what the router says.
	Outbound(header http.Header, out Outbound)
	// Answer reads the head of an upstream's answer.
	Answer(status int, header http.Header) AnswerHead
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(header http.Header, after time.Duration)
	// AttemptHeader names the header that carries a caller's attempt and is
	// echoed by upstreams.
	AttemptHeader() string
}

// Inbound is what a caller says of its request.
type Inbound struct {
	// Attempt is the caller's id of this attempt, empty if it gave none.
	Attempt string
	// Key is the caller's secret, empty if it gave none.
	Key string
	// Deadline is how long the caller waits from now; zero if it did not say.
	Deadline time.Duration
	// Prompt lists the parts of a generation's prompt.
	Prompt []prefix.Part
	// PromptTokens and MaxOutput are the sizes of a generation; zero if the
	// request is none.
	PromptTokens int
	MaxOutput    int
	// OutputHint is the caller's guess of the generated tokens, zero without.
	OutputHint int
	// LastEvent is the last event of a stream that the caller goes on with.
	LastEvent string
}

// Outbound is what the router says to an upstream.
type Outbound struct {
	// Upstream that is meant; any other at that address refuses.
	Upstream  state.Upstream
	Workspace state.Workspace
	// Deadline is the time left; always more than zero.
	Deadline time.Duration
	// LastEvent is the event after which a stream is to go on; empty from
	// the start.
	LastEvent string
}

// AnswerHead is what an upstream says beside its status.
type AnswerHead struct {
	// Signed answers are an upstream's own.
	Signed bool
	// NotRun is the upstream's statement that it did not run the request.
	NotRun bool
}
