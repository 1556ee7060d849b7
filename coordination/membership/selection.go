package membership

import "github.com/figstile/figstile/state"

// selection holds the addresses that a machine with SelectiveDialing dials.
type selection struct {
	addresses map[string]bool
	// dialSeeds enables dialling of seeds, except those that lead to one of
	// liveRouters.
	dialSeeds   bool
	liveRouters map[state.Router]bool
}

// setSelection replaces the selection and adds the addresses of its members to
// the address book.
func (m *Machine) setSelection(e SelectionChanged) {
	m.selection = selection{addresses: make(map[string]bool), dialSeeds: e.DialSeeds, liveRouters: make(map[state.Router]bool)}
	for _, selected := range e.Members {
		m.selection.addresses[selected.Address] = true
		if addr := m.addresses.findOrAdd(selected.Address, m.now()); addr != nil {
			addr.router = selected.Router
			addr.lastUseful = m.now()
		}
	}
	for _, router := range e.LiveRouters {
		m.selection.liveRouters[router] = true
	}
}

// shouldDial reports whether the selection allows dialling an address.
func (m *Machine) shouldDial(addr *dialAddress) bool {
	if !m.selectiveDialing || m.selection.addresses[addr.address] {
		return true
	}
	return addr.isSeed && m.selection.dialSeeds && !m.selection.liveRouters[addr.router]
}

// closeUnneededSession closes the session with a peer that is not needed and
// marks the peer as departed. The peer is still running, but it is no longer a
// neighbour of this router.
func (m *Machine) closeUnneededSession(router state.Router) {
	peer, ok := m.members[router]
	if !ok || peer.session == nil {
		return
	}
	delete(m.sessions, peer.session.id)
	m.emit(CloseSession{Session: peer.session.id, Reason: CloseSurplus})
	peer.session = nil
	peer.sessionLostAt = m.now()
	m.markDeparted(peer)
}
