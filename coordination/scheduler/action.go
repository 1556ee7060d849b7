package scheduler

import (
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Action is an instruction to the host. The host performs actions in order.
type Action interface{ action() }

// Dispatch sends a queued request to an upstream. The host reports any number
// of Progressed events and then one Ended.
type Dispatch struct {
	ID       state.RequestID
	Upstream state.Upstream
	// Attempt is the number of this dispatch of the request, counted from 1.
	Attempt int
}

// Refuse gives a request its final answer, which is a result code and not an
// answer of an upstream.
type Refuse struct {
	ID     state.RequestID
	Result result.Result
}

// SendDemand reports to an owner the requests that wait at this router.
type SendDemand struct {
	To     state.Router
	Demand Demand
}

// SendGrant offers a peer one slot of an upstream.
type SendGrant struct {
	To    state.Router
	Grant Grant
}

// SendDecline returns an unused grant to its owner.
type SendDecline struct {
	To       state.Router
	Sequence uint64
	Service  state.Service
	Demand   DemandEntry
}

// SendProgress reports the cost of a running request to the owner of the
// upstream.
type SendProgress struct {
	To        state.Router
	Sequence  uint64
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	Cost      state.Cost
	Started   bool
}

// SendEnded reports the end of a request to the owner of the upstream, which
// frees the slot.
type SendEnded struct {
	To        state.Router
	Sequence  uint64
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	Cost      state.Cost
	Outcome   Outcome
}

// SendUsage sends usage counters to a peer. An empty To means all peers.
type SendUsage struct {
	To          state.Router
	Origin      state.Router
	Incarnation state.Incarnation
	Entries     []UsageEntry
	Full        bool
}

// SendCrash reports a crash of an upstream to all peers. With an empty Boot it
// is only a suspicion, which the owner of the upstream confirms or drops.
type SendCrash struct {
	Fingerprint state.Fingerprint
	Upstream    state.Upstream
	Boot        string
	Loss        LossAge
}

// SendLeaving announces the departure of an upstream to all peers.
type SendLeaving struct {
	Upstream state.Upstream
	Boot     string
}

// Owned replaces the set of upstreams whose load reports the host fetches.
type Owned struct {
	Upstreams []state.Upstream
}

// Drained reports that a draining router has no waiting or running requests.
type Drained struct{}

func (Dispatch) action()     {}
func (Refuse) action()       {}
func (SendDemand) action()   {}
func (SendGrant) action()    {}
func (SendDecline) action()  {}
func (SendProgress) action() {}
func (SendEnded) action()    {}
func (SendUsage) action()    {}
func (SendCrash) action()    {}
func (SendLeaving) action()  {}
func (Owned) action()        {}
func (Drained) action()      {}
