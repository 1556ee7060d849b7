package ingress

import (
	"time"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/drain"
	"github.com/figstile/figstile/coordination/freshness"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/routing"
)

// Dispatcher makes the decisions on requests. It is safe for concurrent use and
// does not block.
type Dispatcher interface {
	// Table returns the current routes, or nil if none were received yet.
	Table() *routing.Table
	// ConfigStatus describes the configuration in use. While it is current, a
	// route or key that it does not contain does not exist.
	ConfigStatus() freshness.Status
	// Admit decides on a request. retry is set for a request that was sent
	// before, since a request counts only once. The ticket is nil unless the
	// verdict admits the request, and must be ended with End.
	Admit(r admission.Request, retry bool) (admission.Verdict, *placement.Ticket)
	// OnStall sets the function that the dispatcher calls to cancel an attempt
	// that it does not expect to be answered. If the caller has already
	// received a part of the answer, the dispatcher spends a retry before that
	// call.
	OnStall(t *placement.Ticket, cancel func())
	// ReportOutput reports that a part of an answer was received. first is set
	// for the first event of a stream.
	ReportOutput(t *placement.Ticket, first bool)
	// End ends the attempt of a ticket with its outcome.
	End(t *placement.Ticket, outcome placement.Outcome)
	// SpendRetry spends one retry of a service's budget and reports whether one
	// was available.
	SpendRetry(service state.Service) bool
	// ElapsedSinceFirst returns the time since the caller first sent this
	// request, if it was refused then, or 0.
	ElapsedSinceFirst(f state.Fingerprint) time.Duration
	// CheckSuspect returns whether a request that has crashed upstreams may run,
	// and for a blocked one the time until it may be tried again.
	CheckSuspect(f state.Fingerprint) (quarantine.Verdict, time.Duration)
	// StartTrial begins the trial of a blocked request that was admitted, and
	// returns whether it may still run.
	StartTrial(f state.Fingerprint) quarantine.Verdict
	// ReportLost reports that the connection to an upstream broke while it ran
	// a request.
	ReportLost(f state.Fingerprint, t *placement.Ticket)
	// ReportServed reports that a request was answered completely.
	ReportServed(f state.Fingerprint)
	// Drain returns the state of the router's stop. It is the zero value until
	// the router is told to stop.
	Drain() drain.Drain
	// AtCapacity reports whether the process has no capacity for another
	// request.
	AtCapacity() bool
	// AtCapacityFor reports whether the remaining capacity of the process is
	// reserved for workspaces below their shares, and this workspace has used
	// its share.
	AtCapacityFor(workspace state.Workspace) bool
}
