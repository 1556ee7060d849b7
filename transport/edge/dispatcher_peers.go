package edge

import (
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

func (d *dispatcher) ownLoads() map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadView.OwnLoads()
}

func (d *dispatcher) takeChangedLoads() map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadView.ExpirePeerLoads(d.now())
	return d.loadView.TakeChangedLoads()
}

// takeLoadSums returns the sums of the loads of all routers on this side of a
// link: all sums, or only those that changed since the last call. The links of
// a fleet form a tree, so each link divides the routers into two sides.
func (d *dispatcher) takeLoadSums(peer state.Router, all bool) map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadView.ExpirePeerLoads(d.now())
	return d.loadView.TakeLinkSums(peer, all)
}

func (d *dispatcher) takePlacedPrompts() []placement.PlacedPrompt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadView.TakePlacedPrompts()
}

func (d *dispatcher) receivePlacedPrompts(placed []placement.PlacedPrompt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, prompt := range placed {
		d.loadView.ReceivePlacedPrompt(d.now(), prompt)
	}
}

// takeRefusedRequests returns the requests that were refused since the last
// call.
func (d *dispatcher) takeRefusedRequests() []uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusedRequests.TakeUnannounced()
}

func (d *dispatcher) receiveRefusedRequests(keys []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusedRequests.ReceiveRefusals(d.now(), keys)
}

func (d *dispatcher) unreachableUpstreams() []directory.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadView.UnreachableUpstreams()
}

func (d *dispatcher) markReachable(id state.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadView.MarkReachable(d.now(), id)
}

func (d *dispatcher) receiveLoads(from state.Router, loads map[state.Upstream]placement.Load, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadView.ReceiveLoads(d.now(), from, loads, full)
}

func (d *dispatcher) ownSpending() map[state.Workspace]shares.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.ReportedUsage(d.now())
}

func (d *dispatcher) receiveSpending(from state.Router, usage map[state.Workspace]shares.Usage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.ReceiveUsage(d.now(), from, usage)
}

// spendingForLink returns the usage of workspaces at all routers on this side
// of a link.
func (d *dispatcher) spendingForLink(peer state.Router) map[state.Workspace]shares.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.ReportedUsageExcluding(d.now(), peer)
}

// setLiveRouters sets the live routers and discards the loads and the
// workspace usage received from the removed ones.
func (d *dispatcher) setLiveRouters(live []scheduler.Peer, removed []state.Router) {
	d.mu.Lock()
	d.routerCount = len(live)
	d.coldSenders.SetLive(d.now(), live)
	d.mu.Unlock()
	for _, router := range removed {
		d.forgetPeer(router)
	}
}

// forgetPeer discards the loads and the workspace usage received from a peer.
func (d *dispatcher) forgetPeer(peer state.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadView.RemovePeer(peer)
	d.ledger.RemovePeer(peer)
}
