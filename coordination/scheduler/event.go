package scheduler

import (
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// Event is an input of the scheduler. Events are plain data and survive a round
// trip through JSON.
type Event interface{ event() }

// Configured replaces the settings in force.
type Configured struct {
	Settings config.Settings
}

// Peer is a live router according to membership. The list of peers includes the
// router itself.
type Peer struct {
	Router      state.Router
	DataCentre  state.DataCentre
	Incarnation state.Incarnation
	// Draining is set for a router that shuts down. It owns no upstreams,
	// unless all live routers are draining.
	Draining bool
}

// PeersChanged replaces the set of live routers.
type PeersChanged struct {
	Peers []Peer
}

// Request describes a caller's request on arrival.
type Request struct {
	ID        state.RequestID
	Service   state.Service
	Workspace state.Workspace
	Model     state.Model
	Class     string
	// CostHint is a rough estimate of the cost in cost units; zero means that
	// there is none.
	CostHint state.Cost
	// Bytes is the size of the request body that is held in memory.
	Bytes int64
	// Deadline is the time after which the caller no longer waits for the
	// answer. Zero selects the default of the service.
	Deadline time.Time
	// Repeatable is set if running the request twice does no harm.
	Repeatable  bool
	Fingerprint state.Fingerprint
	// Prefix is a digest of the beginning of the prompt; zero means unknown.
	Prefix uint64
}

// Arrived reports a new request from a caller.
type Arrived struct {
	Request Request
}

// Left reports that the caller of a request disconnected. The host itself
// cancels a dispatch in progress and then reports Ended.
type Left struct {
	ID state.RequestID
}

// Reported delivers a new load report of an upstream.
type Reported struct {
	Report state.LoadReport
}

// Unreachable reports that the load report of an upstream could not be fetched.
type Unreachable struct {
	Upstream state.Upstream
}

// UpstreamLeaving reports that the departure of an upstream was announced, by
// the upstream itself or by another source.
type UpstreamLeaving struct {
	Upstream state.Upstream
	// Boot identifies the run of the upstream that leaves; empty means any run.
	Boot string
}

// DemandEntry describes the requests of one workspace and model that wait at
// one router.
type DemandEntry struct {
	Workspace state.Workspace
	Model     state.Model
	Waiting   int
	HeadAge   time.Duration
	HeadCost  state.Cost
}

// Demand lists the waiting requests of one router for one service.
type Demand struct {
	Service state.Service
	Entries []DemandEntry
	// Full is set if workspaces that are not listed have no waiting requests.
	Full bool
}

// DemandHeard delivers the demand that a peer sent.
type DemandHeard struct {
	From   state.Router
	Demand Demand
}

// Grant permits a router to start one request of a workspace on an upstream.
type Grant struct {
	// Owner and Sequence together identify the grant.
	Owner     state.Router
	Sequence  uint64
	Service   state.Service
	Workspace state.Workspace
	Model     state.Model
	Upstream  state.Upstream
	// Lifetime is the time within which the grant must be used.
	Lifetime time.Duration
	// Reserved is the cost that the owner reserved for the request, in cost
	// units.
	Reserved state.Cost
}

// GrantHeard delivers a grant from a peer.
type GrantHeard struct {
	Grant Grant
}

// DeclineHeard reports that a peer returns one of this router's grants unused.
type DeclineHeard struct {
	From     state.Router
	Sequence uint64
	Service  state.Service
	// Demand describes the requests of the grant's workspace that now wait at
	// the peer.
	Demand DemandEntry
}

// ProgressHeard reports the cost of a request that runs on one of this router's
// grants.
type ProgressHeard struct {
	From      state.Router
	Sequence  uint64
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	Cost      state.Cost
	Started   bool
}

// EndedHeard reports the end of a request that ran on one of this router's
// grants. It also delivers the remaining cost of a request whose grant came
// from an owner that is no longer live.
type EndedHeard struct {
	From      state.Router
	Sequence  uint64
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	Cost      state.Cost
	Outcome   Outcome
}

// UsageEntry is the usage counter of one workspace and service at one
// incarnation of a router.
type UsageEntry struct {
	Service   state.Service
	Workspace state.Workspace
	Charged   state.Cost
	Reserved  state.Cost
	Lift      state.Cost
	// Virtual is the sender's virtual time of the workspace. It is sent only to
	// routers that have just joined and is zero otherwise.
	Virtual state.Cost
}

// UsageHeard delivers usage counters of the peer that sent them, or counters of
// a third router that the peer relays.
type UsageHeard struct {
	Origin      state.Router
	Incarnation state.Incarnation
	Entries     []UsageEntry
	Full        bool
}

// CrashHeard reports that an upstream crashed while it ran a request. With an
// empty Boot it reports only that the upstream may have crashed.
type CrashHeard struct {
	Fingerprint state.Fingerprint
	Upstream    state.Upstream
	Boot        string
	Loss        LossAge
}

// LossAge says how long ago a request was sent to an upstream and how long ago it
// was lost there.
type LossAge struct{ Started, Lost time.Duration }

// Outcome is the way in which a dispatch ended.
type Outcome uint8

// Outcomes of a dispatch.
const (
	// OutcomeServed means that the caller received the whole answer.
	OutcomeServed Outcome = iota + 1
	// OutcomeAbandoned means that the caller disconnected and the upstream was
	// asked to cancel.
	OutcomeAbandoned
	// OutcomeNotSent means that nothing was sent to the upstream.
	OutcomeNotSent
	// OutcomeLost means that the request was sent and the connection failed
	// before the answer began.
	OutcomeLost
	// OutcomeTruncated means that the connection failed during the answer.
	OutcomeTruncated
	// OutcomeFailed means that the upstream answered with an error.
	OutcomeFailed
	// OutcomeRefused means that the host refused the request itself before
	// anything was sent, and has already answered the caller.
	OutcomeRefused
	// OutcomeUnusable means that the request was sent and that the received
	// bytes are no answer. They say nothing about the request. Peers are told
	// OutcomeLost.
	OutcomeUnusable
)

// Progressed reports the cost of a request that this router dispatched, since
// the last report.
type Progressed struct {
	ID   state.RequestID
	Cost state.Cost
}

// Ended reports the end of a request that this router dispatched. After
// OutcomeNotSent, OutcomeLost and OutcomeUnusable the caller has received nothing
// yet, and the scheduler returns another Dispatch or a Refuse.
type Ended struct {
	ID state.RequestID
	// Cost is the cost since the last Progressed, in cost units.
	Cost    state.Cost
	Outcome Outcome
}

// Drain stops admission and gives up the ownership of upstreams. Requests that
// were already admitted are finished.
type Drain struct{}

// Tick lets the scheduler process timeouts and periodic tasks. The host sends
// one every TickInterval.
type Tick struct{}

// TickInterval is the interval at which the host sends Tick.
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
