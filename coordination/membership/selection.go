package membership

import "github.com/figstile/figstile/state"

// selection is what a selective machine dials.
type selection struct {
	addresses map[string]bool
	// dialSeeds says that seeds are dialled, but for those that lead to one of fleet.
	dialSeeds   bool
	liveRouters map[state.Router]bool
}

// setSelection replaces the selection.
func (m *Machine) setSelection(e SelectionChanged) {
	m.selection = selection{addresses: make(map[string]bool), dialSeeds: e.DialSeeds, liveRouters: make(map[state.Router]bool)}
	for _, wanted := range e.Members {
		m.selection.addresses[wanted.Address] = true
		if addr := m.addresses.findOrAdd(wanted.Address, m.now()); addr != nil {
			addr.router = wanted.Router
			addr.lastUseful = m.now()
		}
	}
	for _, router := range e.LiveRouters {
		m.selection.liveRouters[router] = true
	}
}

// shouldDial says whether an address is to be dialled.
func (m *Machine) shouldDial(addr *dialAddress) bool {
	if !m.selectiveDialing || m.selection.addresses[addr.address] {
		return true
	}
	return addr.isSeed && m.selection.dialSeeds && !m.selection.liveRouters[addr.router]
}

// closeUnneededSession ends the session with a peer that is not needed. The peer lives, but
// not as a neighbour.
func (m *Machine) closeUnneededSession(router state.Router) {
	known, ok := m.members[router]
	if !ok || known.session == nil {
		return
	}
	delete(m.sessions, known.session.id)
	m.emit(CloseSession{Session: known.session.id, Reason: CloseSurplus})
	known.session = nil
	known.sessionLostAt = m.now()
	m.markDeparted(known)
}
