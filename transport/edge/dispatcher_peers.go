package edge

import (
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

func (d *dispatcher) ownLoads() map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.OwnLoads()
}

func (d *dispatcher) takeChangedLoads() map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picture.ExpirePeerLoads(d.now())
	return d.picture.TakeChangedLoads()
}

// takeSums returns what all routers on this side of a link have, or what has
// changed of it.
func (d *dispatcher) takeSums(peer state.Router, all bool) map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picture.ExpirePeerLoads(d.now())
	return d.picture.TakeLinkSums(peer, all)
}

func (d *dispatcher) takePlaced() []placement.PlacedPrompt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.TakePlacedPrompts()
}

func (d *dispatcher) heardPlaced(placed []placement.PlacedPrompt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, prompt := range placed {
		d.picture.ReceivePlacedPrompt(d.now(), prompt)
	}
}

// takeRefused returns the requests refused since the last call.
func (d *dispatcher) takeRefused() []uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.returns.TakeUnannounced()
}

func (d *dispatcher) heardRefused(keys []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returns.ReceiveRefusals(d.now(), keys)
}

func (d *dispatcher) unreachable() []directory.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.UnreachableUpstreams()
}

func (d *dispatcher) reached(id state.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picture.MarkReachable(d.now(), id)
}

func (d *dispatcher) heardLoads(from state.Router, loads map[state.Upstream]placement.Load, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picture.ReceiveLoads(d.now(), from, loads, full)
}

func (d *dispatcher) ownSpending() map[state.Workspace]shares.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.ReportedUsage(d.now())
}

func (d *dispatcher) heardSpending(from state.Router, usage map[state.Workspace]shares.Usage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.ReceiveUsage(d.now(), from, usage)
}

// spendingBeyond returns the counts of all routers on this side of a link.
func (d *dispatcher) spendingBeyond(peer state.Router) map[state.Workspace]shares.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.ReportedUsageExcluding(d.now(), peer)
}

// setRouters takes the number of live routers and forgets the work of those that
// went.
func (d *dispatcher) setRouters(live int, gone []state.Router) {
	d.mu.Lock()
	d.routers = live
	d.mu.Unlock()
	for _, router := range gone {
		d.forget(router)
	}
}

// forget drops what a peer told of work.
func (d *dispatcher) forget(peer state.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picture.RemovePeer(peer)
	d.ledger.RemovePeer(peer)
}
