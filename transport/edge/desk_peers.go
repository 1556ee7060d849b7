package edge

import (
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

func (d *desk) ownLoads() map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.Own()
}

func (d *desk) takeChangedLoads() map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picture.ForgetSilent(d.now())
	return d.picture.TakeChanged()
}

// sum returns what this data centre's routers have.
func (d *desk) sum() map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.Sum()
}

func (d *desk) takeChangedSum() map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.TakeChangedSum()
}

// dataCentres returns the sums of other data centres.
func (d *desk) dataCentres() map[state.DataCentre]map[state.Upstream]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.DataCentres()
}

func (d *desk) takePlaced() []placement.Placed {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.TakePlaced()
}

func (d *desk) heardPlaced(placed []placement.Placed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, prompt := range placed {
		d.picture.HeardPlaced(d.now(), prompt)
	}
}

// takeRefused returns the requests refused since the last call.
func (d *desk) takeRefused() []uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.returns.TakeRefused()
}

func (d *desk) heardRefused(keys []uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returns.Heard(d.now(), keys)
}

func (d *desk) unreachable() []directory.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picture.Unreachable()
}

func (d *desk) reached(id state.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picture.Reached(d.now(), id)
}

func (d *desk) heardLoads(from state.Source, loads map[state.Upstream]placement.Load, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picture.Heard(d.now(), from, loads, full)
}

func (d *desk) ownSpending() map[state.Workspace]shares.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.Told(d.now())
}

func (d *desk) heardSpending(from state.Source, usage map[state.Workspace]shares.Usage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.Heard(d.now(), from, usage)
}

// spendingSum returns the counts of this data centre's routers.
func (d *desk) spendingSum() map[state.Workspace]shares.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.ToldSum(d.now(), d.settings.DataCentre)
}

// setRouters takes the number of live routers and forgets the sources that
// went.
func (d *desk) setRouters(live int, gone []state.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routers = live
	for _, source := range gone {
		d.picture.Gone(source)
		d.ledger.Gone(source)
	}
}
