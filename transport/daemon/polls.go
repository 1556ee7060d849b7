package daemon

import (
	"slices"
	"sync"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/upstream"
)

// pollTargets keeps the load polls to the upstreams that this router owns, at the
// addresses of the settings in force. Ownership and settings change each by
// themselves: an upstream that only moved to another address keeps its owner,
// and polled at the old one it would get no work any more.
type pollTargets struct {
	// setTargets replaces the targets.
	setTargets func([]upstream.Target)

	mu       sync.Mutex
	owned    []state.Upstream
	settings config.Settings
}

// setOwned takes the upstreams that the scheduler owns.
func (p *pollTargets) setOwned(owned []state.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned = slices.Clone(owned)
	p.setTargets(p.targets())
}

// setSettings takes the settings in force.
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

// onOwned follows a change of ownership.
func (d *Daemon) onOwned(owned []state.Upstream) {
	d.orders.setOwned(owned)
	d.pollTargets.setOwned(owned)
}
