package scheduler

import (
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// Event is something that happened to a router. Events are plain data and
// survive a round trip through JSON.
type Event interface{ event() }

// Configured replaces the settings in force.
type Configured struct {
	Settings config.Settings
}

// Peer is a live router as membership sees it, the router itself included.
type Peer struct {
	Router      state.Router
	DataCentre  state.DataCentre
	Incarnation state.Incarnation
	// Draining peers own no upstreams.
	Draining bool
}

// PeersChanged replaces the set of live routers.
type PeersChanged struct {
	Peers []Peer
}

// Request is what the scheduler knows of a caller's request on arrival.
type Request struct {
	ID        state.RequestID
	Service   state.Service
	Workspace state.Workspace
	Model     state.Model
	Class     string
	// CostHint is a rough guess of the cost; zero if there is none.
	CostHint state.Cost
	// Bytes is the size of the body held in memory.
	Bytes int64
	// Deadline is when the caller stops caring; zero means the service's
	// default applies.
	Deadline time.Time
	// Repeatable says that running the request twice does no harm.
	Repeatable  bool
	Fingerprint state.Fingerprint
	// Prefix is a digest of the prompt's beginning; zero if unknown.
	Prefix uint64
}

// Arrived is a new request from a caller.
type Arrived struct {
	Request Request
}

// Left says that the caller of a request went away. The host cancels a
// dispatch under way by itself and then reports Ended.
type Left struct {
	ID state.RequestID
}

// Reported is a fresh load report of an upstream.
type Reported struct {
	Report state.LoadReport
}

// Unreachable says that an upstream's load report could not be fetched.
type Unreachable struct {
	Upstream state.Upstream
}

// UpstreamLeaving says that some source announced an upstream's departure.
type UpstreamLeaving struct {
	Upstream state.Upstream
	// Boot is the announced run of the upstream; empty means any.
	Boot string
}

// DemandEntry is what one router has waiting of one workspace and model.
type DemandEntry struct {
	Workspace state.Workspace
	Model     state.Model
	Waiting   int
	HeadAge   time.Duration
	HeadCost  state.Cost
}

// Demand is a router's waiting work of one service.
type Demand struct {
	Service state.Service
	Entries []DemandEntry
	// Full says that workspaces not listed have nothing waiting.
	Full bool
}

// DemandHeard is a peer's demand.
type DemandHeard struct {
	From   state.Router
	Demand Demand
}

// Grant lets a router start one request of a workspace on an upstream.
type Grant struct {
	// Owner and Sequence identify the grant.
	Owner     state.Router
	Sequence  uint64
	Service   state.Service
	Workspace state.Workspace
	Model     state.Model
	Upstream  state.Upstream
	// Lifetime is how long the grant may stay unused.
	Lifetime time.Duration
	// Reserved is the cost the owner set aside.
	Reserved state.Cost
}

// GrantHeard is a grant from a peer.
type GrantHeard struct {
	Grant Grant
}

// DeclineHeard returns one of this router's grants unused.
type DeclineHeard struct {
	From     state.Router
	Sequence uint64
	Service  state.Service
	// Demand is what the peer has waiting of that workspace now.
	Demand DemandEntry
}

// ProgressHeard reports cost on one of this router's grants.
type ProgressHeard struct {
	From      state.Router
	Sequence  uint64
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	Cost      state.Cost
	Started   bool
}

// EndedHeard ends one of this router's grants, or hands over the remaining
// cost of work granted by an owner that is gone.
type EndedHeard struct {
	From      state.Router
	Sequence  uint64
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	Cost      state.Cost
	Outcome   Outcome
}

// UsageEntry is one counter of one incarnation.
type UsageEntry struct {
	Service   state.Service
	Workspace state.Workspace
	Charged   state.Cost
	Reserved  state.Cost
	Lift      state.Cost
	// Virtual is the sender's virtual time of the workspace, told to routers
	// that newly appear; zero if it is not told.
	Virtual state.Cost
}

// UsageHeard carries counters of a peer, or relayed ones of a third router.
type UsageHeard struct {
	Origin      state.Router
	Incarnation state.Incarnation
	Entries     []UsageEntry
	Full        bool
}

// CrashHeard says that an upstream fell while it ran a request, or without a
// boot, that it may have.
type CrashHeard struct {
	Fingerprint state.Fingerprint
	Upstream    state.Upstream
	Boot        string
}

// Outcome tells how a dispatch ended.
type Outcome uint8

// The outcomes of a dispatch.
const (
	// OutcomeServed: the caller got the whole answer.
	OutcomeServed Outcome = iota + 1
	// OutcomeAbandoned: the caller left; the upstream was told to cancel.
	OutcomeAbandoned
	// OutcomeNotSent: nothing was sent to the upstream.
	OutcomeNotSent
	// OutcomeLost: sent, and the connection failed before the answer began.
	OutcomeLost
	// OutcomeTruncated: the connection failed within the answer.
	OutcomeTruncated
	// OutcomeFailed: the upstream answered with an error.
	OutcomeFailed
	// OutcomeRefused: the host refused the request itself before anything
	// was sent, and has already answered the caller.
	OutcomeRefused
)

// Progressed reports cost of a local dispatch since the last report.
type Progressed struct {
	ID   state.RequestID
	Cost state.Cost
}

// Ended ends a local dispatch. After OutcomeNotSent and OutcomeLost the
// caller has heard nothing yet, and the scheduler answers with another
// Dispatch or a Refuse.
type Ended struct {
	ID state.RequestID
	// Cost since the last Progressed.
	Cost    state.Cost
	Outcome Outcome
}

// Drain stops admission and gives up ownership; admitted work is finished.
type Drain struct{}

// Tick lets time-outs pass. The host sends one every TickInterval.
type Tick struct{}

// TickInterval is the host's period for Tick.
const TickInterval = 50 * time.Millisecond

func (Configured) event()      {}
func (PeersChanged) event()    {}
func (Arrived) event()         {}
func (Left) event()            {}
func (Reported) event()        {}
func (Unreachable) event()     {}
func (UpstreamLeaving) event() {}
func (DemandHeard) event()     {}
func (GrantHeard) event()      {}
func (DeclineHeard) event()    {}
func (ProgressHeard) event()   {}
func (EndedHeard) event()      {}
func (UsageHeard) event()      {}
func (CrashHeard) event()      {}
func (Progressed) event()      {}
func (Ended) event()           {}
func (Drain) event()           {}
func (Tick) event()            {}
