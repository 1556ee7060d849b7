package ingress

import (
	"time"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/drain"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/routing"
)

// Dispatcher makes the decisions on requests. It is safe for concurrent use and does
// not block.
type Dispatcher interface {
	// Table returns the routes in force, nil before there are any.
	Table() *routing.Table
	// ConfigCurrent says whether the routes are known to be the newest, so that
	// what they lack does not exist.
	ConfigCurrent() bool
	// Admit decides on a request. Repeat is set for a request that was sent
	// before: it counts once. The ticket is nil unless the verdict admits, and
	// must be ended.
	Admit(r admission.Request, repeat bool) (admission.Verdict, *placement.Ticket)
	// OnStall lets the dispatcher end an attempt whose answer will not come. If the
	// caller has the beginning of the answer, the dispatcher has spent a repeat on
	// it then.
	OnStall(t *placement.Ticket, giveUp func())
	// ReportOutput notes that a part of an answer came; first is set for the first
	// event of a stream.
	ReportOutput(t *placement.Ticket, first bool)
	// End ends a ticket.
	End(t *placement.Ticket, outcome placement.Outcome)
	// SpendRetry spends one repeat of a service's budget, if it has one.
	SpendRetry(service state.Service) bool
	// ElapsedSinceFirst returns how long ago the caller first sent a request, as far as
	// it was refused since.
	ElapsedSinceFirst(f state.Fingerprint) time.Duration
	// Quarantined says whether a request has taken down upstreams and must not
	// run again.
	Quarantined(f state.Fingerprint) bool
	// ReportLost notes that an upstream broke off while it ran a request.
	ReportLost(f state.Fingerprint, t *placement.Ticket)
	// ReportServed notes that a request was answered whole.
	ReportServed(f state.Fingerprint)
	// Drain returns the course of the stop, zero until the router is told to.
	Drain() drain.Drain
	// AtCapacity says whether the process has no room for another request.
	AtCapacity() bool
	// AtCapacityFor says whether the process has so little room that what is left is
	// for workspaces that are short of their shares, and this one is not.
	AtCapacityFor(workspace state.Workspace) bool
}
