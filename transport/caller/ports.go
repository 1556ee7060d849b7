package caller

import (
	"context"
	"time"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// Scheduler gives access to the scheduler's state machine.
type Scheduler interface {
	// NextID returns the ID of a new request.
	NextID() state.RequestID
	// Submit queues a request. The channel delivers each Dispatch of the
	// request and at most one Refuse, which is the last action. It is closed
	// after Refuse, after Withdraw, and after a ReportEnd that needs no further
	// action. A Dispatch that is decided at the same moment as a Withdraw is
	// still delivered before the channel is closed.
	Submit(req scheduler.Request) <-chan scheduler.Action
	// Withdraw removes a request whose caller left while it waited.
	Withdraw(id state.RequestID)
	// ReportProgress adds cost to the current dispatch.
	ReportProgress(id state.RequestID, cost state.Cost)
	// ReportEnd ends the current dispatch. The cost is that since the last
	// ReportProgress.
	ReportEnd(id state.RequestID, cost state.Cost, outcome scheduler.Outcome)
}

// View is one version of the settings in force.
type View interface {
	// AuthenticateCaller returns the workspace a bearer token belongs to.
	AuthenticateCaller(token string) (state.Workspace, bool)
	// Service returns a service by name.
	Service(name state.Service) (config.Service, bool)
	// Allows returns OK or the code of the refusal. An empty model checks
	// access to the service alone.
	Allows(ws state.Workspace, svc state.Service, model state.Model) result.Code
}

// Settings provides the settings in force.
type Settings interface {
	// View returns nil while the router has no configuration.
	View() View
}

// ClaimRequest identifies a claim of an idempotency key.
type ClaimRequest = claims.Request

// Claims records which idempotency keys are in use.
type Claims interface {
	// Claim returns OK if the request may run with this attempt; any other
	// result is the final answer to the caller.
	Claim(ctx context.Context, req ClaimRequest) result.Result
	// Complete records whether a claimed request ran. RanNo releases the claim.
	// It does not block.
	Complete(req ClaimRequest, ran result.Ran)
}

// Record describes one finished request to an Observer.
type Record struct {
	Workspace state.Workspace
	Service   state.Service
	Class     string
	Upstream  state.Upstream
	Result    result.Result
	// Abandoned is set if the caller left before the end; the Result then
	// reaches no caller.
	Abandoned bool
	// CrossedAnswers counts the answers that were dropped because they belonged
	// to another attempt.
	CrossedAnswers int
	// QueueWait is the time from arrival to the last dispatch, HeadTime that to
	// the head of the answer, TotalTime that to the end. Each is zero if the
	// request did not get that far.
	QueueWait time.Duration
	HeadTime  time.Duration
	TotalTime time.Duration
	Cost      state.Cost
}

// Observer receives events of requests, for metrics. Its methods must not
// block.
type Observer interface {
	ObserveRequest(rec Record)
	// ObserveEventGap receives the time between two parts of a stream that
	// contain tokens. It is called once for each such part after the first.
	ObserveEventGap(ws state.Workspace, class string, gap time.Duration)
}
