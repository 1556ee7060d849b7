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

// Scheduler is the host of the scheduler's state machine.
type Scheduler interface {
	// NextID numbers a request.
	NextID() state.RequestID
	// Submit queues a request. The channel brings each Dispatch of the
	// request and at most one Refuse, its last action. It is closed after
	// Refuse, after Left, and after an Ended that needs no further action.
	// A Dispatch that crosses with Left is still delivered before that.
	Submit(req scheduler.Request) <-chan scheduler.Action
	// Withdraw withdraws a request whose caller went away while it waited.
	Withdraw(id state.RequestID)
	// ReportProgress adds cost of the dispatch under way.
	ReportProgress(id state.RequestID, cost state.Cost)
	// ReportEnd ends the dispatch under way with the cost since Progressed.
	ReportEnd(id state.RequestID, cost state.Cost, outcome scheduler.Outcome)
}

// View is one version of the settings in force.
type View interface {
	// AuthenticateCaller returns the workspace a bearer token belongs to.
	AuthenticateCaller(token string) (state.Workspace, bool)
	// Service returns a service by name.
	Service(name state.Service) (config.Service, bool)
	// Allows returns OK or the code of the refusal. An empty model asks for
	// the service alone.
	Allows(ws state.Workspace, svc state.Service, model state.Model) result.Code
}

// Settings gives the settings in force.
type Settings interface {
	// View returns nil while the router holds no configuration.
	View() View
}

// ClaimRequest names a claim.
type ClaimRequest = claims.Request

// Claims records idempotency keys.
type Claims interface {
	// Claim returns OK if the request may run under this attempt; any other
	// result is the caller's final answer.
	Claim(ctx context.Context, req ClaimRequest) result.Result
	// Complete records what became of a claimed request and does not block:
	// RanNo releases the claim.
	Complete(req ClaimRequest, ran result.Ran)
}

// Record describes one finished request to an Observer.
type Record struct {
	Workspace state.Workspace
	Service   state.Service
	Class     string
	Upstream  state.Upstream
	Result    result.Result
	// Abandoned is set if the caller went away first; Result then has no
	// reader.
	Abandoned bool
	// CrossedAnswers counts dropped answers that belonged to another attempt.
	CrossedAnswers int
	// QueueWait is the time to the last dispatch, Head that to the first byte
	// of the answer, Total that to the end; zero where it was not reached.
	QueueWait time.Duration
	HeadTime  time.Duration
	TotalTime time.Duration
	Cost      state.Cost
}

// Observer hears of requests, for metrics. It must not block.
type Observer interface {
	ObserveRequest(rec Record)
	// ObserveEventGap hears the time between two parts of a stream that brought
	// tokens, once for each later part.
	ObserveEventGap(ws state.Workspace, class string, gap time.Duration)
}
