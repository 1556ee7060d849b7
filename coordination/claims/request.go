package claims

import "github.com/figstile/figstile/state"

// Request asks for the right to run one keyed request.
type Request struct {
	Workspace state.Workspace
	Service   state.Service
	// Key is the caller's idempotency key.
	Key string
	// Attempt identifies the claim as well as the dispatch made under it.
	Attempt state.AttemptID
}
