package membership

import "github.com/figstile/figstile/state"

// selection is what a selective machine dials.
type selection struct {
	addresses map[string]bool
	// seeds says that seeds are dialled, but for those that lead to one of fleet.
	seeds bool
	fleet map[state.Router]bool
}

// choose replaces the selection.
func (m *Machine) choose(e Selected) {
	m.selected = selection{addresses: make(map[string]bool), seeds: e.Seeds, fleet: make(map[state.Router]bool)}
	for _, wanted := range e.Members {
		m.selected.addresses[wanted.Address] = true
		if to := m.targets.learn(wanted.Address, m.now()); to != nil {
			to.router = wanted.Router
			to.seen = m.now()
		}
	}
	for _, router := range e.Fleet {
		m.selected.fleet[router] = true
	}
}

// wants says whether an address is to be dialled.
func (m *Machine) wants(to *target) bool {
	if !m.selective || m.selected.addresses[to.address] {
		return true
	}
	return to.seed && m.selected.seeds && !m.selected.fleet[to.router]
}

// dropped ends the session with a peer that is not needed. The peer lives, but
// not as a neighbour.
func (m *Machine) dropped(router state.Router) {
	known, ok := m.members[router]
	if !ok || known.session == nil {
		return
	}
	delete(m.sessions, known.session.id)
	m.do(Close{Session: known.session.id, Reason: CloseSurplus})
	known.session = nil
	known.lost = m.now()
	m.bury(known)
}
