package overlay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
)

// refreshView recomputes the view of live routers if it is out of date.
func (o *Overlay) refreshView() {
	if o.viewStale || o.view == nil {
		o.view = o.membersOnThisSide("")
		o.liveRouters = sortedPeers(o.view)
		o.viewStale = false
	}
}

func sortedPeers(members map[state.Router]membership.Member) []scheduler.Peer {
	peers := make([]scheduler.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, scheduler.Peer{Router: m.Router, DataCentre: m.DataCentre, Incarnation: m.Incarnation})
	}
	slices.SortFunc(peers, func(a, b scheduler.Peer) int { return cmp.Compare(a.Router, b.Router) })
	return peers
}

// membersOnThisSide returns the routers on this side of the link with a peer,
// including this one. For an empty peer it returns all live routers.
func (o *Overlay) membersOnThisSide(peer state.Router) map[state.Router]membership.Member {
	if peer != "" && peer == o.parent {
		return o.subtree()
	}
	return o.collectMembers(func(via state.Router, _ bool) bool { return peer == "" || via != peer })
}

// subtree returns this router and the routers below it in the tree.
func (o *Overlay) subtree() map[state.Router]membership.Member {
	return o.collectMembers(func(_ state.Router, above bool) bool { return !above })
}

// collectMembers merges the members behind those current and lost links for
// which include returns true, and adds this router.
func (o *Overlay) collectMembers(include func(via state.Router, above bool) bool) map[state.Router]membership.Member {
	members := make(map[state.Router]membership.Member)
	for _, side := range o.lostLinks {
		if include(side.via, side.fromParent) {
			merge(members, side.reachable)
		}
	}
	for router, l := range o.links {
		if include(router, router == o.parent) {
			merge(members, l.reachable)
		}
	}
	members[o.self.Router] = o.self
	return members
}

// merge adds members to a map. Of two incarnations of a router, the later one
// is kept.
func merge(into, from map[state.Router]membership.Member) {
	for router, m := range from {
		if existing, ok := into[router]; !ok || existing.Incarnation <= m.Incarnation {
			into[router] = m
		}
	}
}

// knownMembers returns the live routers and the routers with a session, ordered
// by name. Sessions count because few routers have links yet while a fleet
// starts.
func (o *Overlay) knownMembers() []membership.Member {
	members := make(map[state.Router]membership.Member)
	for router := range o.sessions {
		if c, ok := o.contacts[router]; ok {
			members[router] = c.Member
		}
	}
	if o.treeMode {
		o.refreshView()
		merge(members, o.view)
	}
	members[o.self.Router] = o.self
	return sortedByName(members)
}

// snapshot returns all routers on this side of a link and records them as sent
// to the peer.
func (o *Overlay) snapshot(peer state.Router) []membership.Member {
	o.links[peer].sentMembers = o.membersOnThisSide(peer)
	return sortedByName(o.links[peer].sentMembers)
}

func sortedByName(members map[state.Router]membership.Member) []membership.Member {
	return slices.SortedFunc(maps.Values(members), func(a, b membership.Member) int { return cmp.Compare(a.Router, b.Router) })
}

// sendChanges sends the changes on this side since the previous call over each
// link.
func (o *Overlay) sendChanges() {
	if !o.changesUnsent {
		return
	}
	o.changesUnsent = false
	for _, peer := range o.Links() {
		l := o.links[peer]
		current := o.membersOnThisSide(peer)
		change := Message{Kind: KindChange, TreeMode: true}
		for _, m := range sortedByName(current) {
			if l.sentMembers[m.Router] != m {
				change.Present = append(change.Present, m)
			}
		}
		for _, router := range slices.Sorted(maps.Keys(l.sentMembers)) {
			if _, ok := current[router]; !ok {
				change.Removed = append(change.Removed, router)
			}
		}
		l.sentMembers = current
		if len(change.Present)+len(change.Removed) > 0 {
			o.emit(Send{To: peer, Message: change})
		}
	}
}
