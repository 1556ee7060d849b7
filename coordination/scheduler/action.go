package scheduler

import (
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Action is something the host must do. Actions are performed in order.
type Action interface{ action() }

// Dispatch sends a queued request to an upstream. The host answers with
// Progressed and one Ended.
type Dispatch struct {
	ID       state.RequestID
	Upstream state.Upstream
	// Attempt counts the dispatches of this request from 1.
	Attempt int
}

// Refuse gives a request its final answer at once.
type Refuse struct {
	ID     state.RequestID
	Result result.Result
}

// SendDemand tells an owner what waits here.
type SendDemand struct {
	To     state.Router
	Demand Demand
}

// SendGrant offers a slot to a peer.
type SendGrant struct {
	To    state.Router
	Grant Grant
}

// SendDecline returns a grant unused to its owner.
type SendDecline struct {
	To       state.Router
	Sequence uint64
	Service  state.Service
	Demand   DemandEntry
}

// SendProgress reports cost to the owner of the upstream.
type SendProgress struct {
	To        state.Router
	Sequence  uint64
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	Cost      state.Cost
	Started   bool
}

// SendEnded frees a slot at the owner of the upstream.
type SendEnded struct {
	To        state.Router
	Sequence  uint64
	Upstream  state.Upstream
	Service   state.Service
	Workspace state.Workspace
	Cost      state.Cost
	Outcome   Outcome
}

// SendUsage spreads counters. An empty To means all peers.
type SendUsage struct {
	To          state.Router
	Origin      state.Router
	Incarnation state.Incarnation
	Entries     []UsageEntry
	Full        bool
}

// SendCrash tells all peers of a crash. Without a boot it is a suspicion, for
// the owner of the upstream to confirm.
type SendCrash struct {
	Fingerprint state.Fingerprint
	Upstream    state.Upstream
	Boot        string
}

// SendLeaving tells all peers of an upstream's departure.
type SendLeaving struct {
	Upstream state.Upstream
	Boot     string
}

// Owned replaces the set of upstreams whose load reports the host fetches.
type Owned struct {
	Upstreams []state.Upstream
}

// Drained says that a draining router has nothing left to finish.
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
