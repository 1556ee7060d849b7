package daemon

import (
	"slices"
	"sync"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/upstream"
)

// pollTargets keeps the load poller's targets equal to the upstreams that this
// router owns, at the addresses in the settings in force. Ownership and
// settings change independently: an upstream that only moves to another address
// keeps its owner. Polled at its old address, it would get no more work.
type pollTargets struct {
	// setTargets replaces the poller's targets.
	setTargets func([]upstream.Target)

	mu       sync.Mutex
	owned    []state.Upstream
	settings config.Settings
}

// setOwned replaces the upstreams that this router owns.
func (p *pollTargets) setOwned(owned []state.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned = slices.Clone(owned)
	p.setTargets(p.targets())
}

// setSettings replaces the settings in force.
func (p *pollTargets) setSettings(settings config.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = settings
	p.setTargets(p.targets())
}

func (p *pollTargets) targets() []upstream.Target {
	var targets []upstream.Target
	for _, u := range ownedUpstreams(p.settings, p.owned) {
		targets = append(targets, upstream.Target{Upstream: u.Name, BaseURL: u.URL})
	}
	return targets
}

// ownedUpstreams returns the settings of the upstreams that a router owns.
func ownedUpstreams(settings config.Settings, owned []state.Upstream) []config.Upstream {
	var found []config.Upstream
	for _, service := range settings.Services {
		for _, u := range service.Upstreams {
			if slices.Contains(owned, u.Name) {
				found = append(found, u)
			}
		}
	}
	return found
}

// onOwned handles a change of the upstreams that this router owns.
func (d *Daemon) onOwned(owned []state.Upstream) {
	d.orders.setOwned(owned)
	d.pollTargets.setOwned(owned)
}
