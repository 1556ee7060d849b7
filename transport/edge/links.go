package edge

import (
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/overlay"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/peer"
)

// onPeers updates the routers that have a session with this one, which is
// included in the list.
func (f *fleet) onPeers(peers []scheduler.Peer) {
	f.updateOverlay(func() { f.overlay.SetNeighbours(peers) })
}

// updateOverlay passes an event to the overlay, performs the actions that the
// overlay decides on, and tells the peers of new links what this router holds.
func (f *fleet) updateOverlay(event func()) {
	f.mu.Lock()
	event()
	opened := f.performActions()
	f.mu.Unlock()
	f.sendSummary(opened)
}

// onSession sends this router's state to a peer at the start of a session,
// since earlier messages may have been lost.
func (f *fleet) onSession(s peer.Session) {
	now, direct := f.now(), false
	f.updateOverlay(func() {
		f.overlay.SessionOpened(now, membership.Member{
			Router: s.Router, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Address: s.Address, Capacity: s.Capacity,
		}, s.Dialled)
		if direct = !f.overlay.TreeMode(); direct {
			f.catchUp.SessionOpened(now, scheduler.Peer{Router: s.Router, DataCentre: s.DataCentre, Incarnation: s.Incarnation})
		}
	})
	f.sendSummary([]state.Router{s.Router})
	if direct {
		f.mesh.Send(s.Router, loadsEnvelope(f.dispatcher.ownLoads(), true))
	}
}

func (f *fleet) onSessionEnd(p peer.Peer) {
	f.updateOverlay(func() {
		delete(f.peerNames, p.Router)
		f.fetch.PeerLost(p.Router)
		f.catchUp.PeerLost(p.Router)
		f.overlay.SessionClosed(f.now(), p.Router)
	})
}

// onMembers handles a peer's message about the members of the fleet.
func (f *fleet) onMembers(from state.Router, m *peerpb.Members) {
	f.updateOverlay(func() { f.overlay.Receive(f.now(), from, overlayMessage(m)) })
}

// tickOverlay runs the overlay's periodic task and performs its actions.
func (f *fleet) tickOverlay() {
	f.updateOverlay(func() { f.overlay.Tick(f.now()) })
}

// performActions performs the actions that the overlay decided on and returns
// the peers of new links. The caller holds the lock, so that messages are sent
// in the order of the decisions. None of the calls blocks.
func (f *fleet) performActions() (opened []state.Router) {
	for _, action := range f.overlay.Actions() {
		switch a := action.(type) {
		case overlay.Send:
			f.mesh.Send(a.To, membersEnvelope(a.Message))
		case overlay.SelectPeers:
			f.mesh.SelectPeers(membership.SelectionChanged{Members: a.Members, DialSeeds: a.DialSeeds, LiveRouters: a.LiveRouters})
		case overlay.DropSession:
			f.mesh.DropSession(a.Router)
		case overlay.LinkEstablished:
			f.openLink(a.Router)
			opened = append(opened, a.Router)
		case overlay.LinkEnded:
			delete(f.linkOutboxes, a.Router)
			delete(f.newLinks, a.Router)
			f.log.Info().Str("router", string(a.Router)).Msg("link ended")
			f.dispatcher.forgetPeer(a.Router)
		}
	}
	f.updateLivePeers()
	return opened
}

// openLink starts to send the loads of this side of a link to a peer. Changes
// that passed before are not sent again, so both sides then state what they
// hold.
func (f *fleet) openLink(router state.Router) {
	f.dispatcher.forgetPeer(router)
	f.linkOutboxes[router] = &outbox{}
	f.newLinks[router] = f.now().Add(newLinkPeriod)
	f.catchUp.MarkRejoined(f.now())
	f.log.Info().Str("router", string(router)).Msg("linked")
}

// updateLivePeers passes changes of the live routers to the dispatcher. The
// caller holds the lock.
func (f *fleet) updateLivePeers() {
	live := f.overlay.LiveRouters()
	if slices.Equal(f.livePeers, live) {
		return
	}
	var removed []state.Router
	if !f.overlay.TreeMode() {
		removed = removedRouters(f.livePeers, live)
	}
	f.setLivePeers(live)
	f.dispatcher.setLiveRouters(live, removed)
}

// setLivePeers replaces the live routers. The caller holds the lock.
func (f *fleet) setLivePeers(live []scheduler.Peer) {
	f.livePeers, f.readerRanks = live, readerRanks(live)
}

// removedRouters returns the routers in before that are missing from live.
func removedRouters(before, live []scheduler.Peer) []state.Router {
	remaining := make(map[state.Router]bool, len(live))
	for _, p := range live {
		remaining[p.Router] = true
	}
	var removed []state.Router
	for _, p := range before {
		if !remaining[p.Router] {
			removed = append(removed, p.Router)
		}
	}
	return removed
}

// receivers returns the peers that this router's reports are sent to: in a tree
// the peers of its links, otherwise all live peers.
func (f *fleet) receivers() (peers []state.Router, tree bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overlay.TreeMode() {
		return f.overlay.Links(), true
	}
	for _, p := range f.livePeers {
		if p.Router != f.self.Router {
			peers = append(peers, p.Router)
		}
	}
	return peers, false
}

// forward sends a message that was received over one link over all other links.
func (f *fleet) forward(from state.Router, env *peerpb.Envelope) {
	peers, tree := f.receivers()
	if !tree {
		return
	}
	for _, router := range peers {
		if router != from {
			f.mesh.Send(router, env)
		}
	}
}

// send sends a message to a router, relayed through other routers if there is
// no session with it.
func (f *fleet) send(to state.Router, env *peerpb.Envelope) {
	if !f.mesh.Send(to, env) {
		f.relayTo(to, env)
	}
}

// sendTimed sends a message as send does. If there is a session, the receiver
// can bound the message's age.
func (f *fleet) sendTimed(to state.Router, env *peerpb.Envelope) {
	if !f.mesh.SendTimed(to, env) {
		f.relayTo(to, env)
	}
}

func (f *fleet) relayTo(to state.Router, env *peerpb.Envelope) {
	f.relay(to, "", &peerpb.Relay{
		From: string(f.self.Router), FromDataCentre: string(f.self.DataCentre), To: string(to), Envelope: env,
	})
}

// relay sends a message to the next router towards its receiver, but not back
// to the router that it came from.
func (f *fleet) relay(to, cameFrom state.Router, m *peerpb.Relay) {
	f.mu.Lock()
	next, ok := f.overlay.NextHop(to)
	f.mu.Unlock()
	if !ok || next == cameFrom {
		f.log.Debug().Str("router", string(to)).Msg("no link leads to the router")
		return
	}
	f.mesh.Send(next, &peerpb.Envelope{Body: &peerpb.Envelope_Relay{Relay: m}})
}

// onRelay handles a relayed message: it forwards the message, or handles its
// content if this router is the receiver.
func (f *fleet) onRelay(from peer.Peer, m *peerpb.Relay) {
	to := state.Router(m.GetTo())
	if to != f.self.Router {
		f.relay(to, from.Router, m)
		return
	}
	if m.GetEnvelope().GetRelay() != nil || m.GetEnvelope().GetMembers() != nil {
		return
	}
	sender := peer.Peer{Router: state.Router(m.GetFrom()), DataCentre: state.DataCentre(m.GetFromDataCentre())}
	f.onMessage(sender, m.GetEnvelope(), time.Time{})
}

func overlayMessage(m *peerpb.Members) overlay.Message {
	message := overlay.Message{Kind: overlay.Kind(m.GetKind()), TreeMode: m.GetTree()}
	for _, p := range m.GetPresent()[:min(len(m.GetPresent()), wire.MaxEntries)] {
		message.Present = append(message.Present, membership.Member{
			Router:      state.Router(p.GetRouter()),
			DataCentre:  state.DataCentre(p.GetDataCentre()),
			Incarnation: state.Incarnation(p.GetIncarnation()),
			Address:     p.GetPeerAddress(),
			Capacity:    p.GetCapacity(),
		})
	}
	for _, router := range m.GetGone() {
		message.Removed = append(message.Removed, state.Router(router))
	}
	return message
}

func membersEnvelope(m overlay.Message) *peerpb.Envelope {
	message := &peerpb.Members{Kind: peerpb.MembersKind(m.Kind), Tree: m.TreeMode}
	for _, p := range m.Present {
		message.Present = append(message.Present, &peerpb.Member{
			Router: string(p.Router), DataCentre: string(p.DataCentre),
			Incarnation: uint64(p.Incarnation), PeerAddress: p.Address, Capacity: p.Capacity,
		})
	}
	for _, router := range m.Removed {
		message.Gone = append(message.Gone, string(router))
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Members{Members: message}}
}
