package overlay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// refresh brings the view up to date.
func (o *Overlay) refresh() {
	if o.changed || o.view == nil {
		o.view = o.behind("")
		o.changed = false
	}
}

// behind returns the routers on this side of the link with a peer, this one
// included; all live ones for no peer.
func (o *Overlay) behind(peer state.Router) map[state.Router]membership.Member {
	if peer != "" && peer == o.parent {
		return o.below()
	}
	return o.collect(func(via state.Router, _ bool) bool { return peer == "" || via != peer })
}

// below returns this router and those of its subtree.
func (o *Overlay) below() map[state.Router]membership.Member {
	return o.collect(func(_ state.Router, above bool) bool { return !above })
}

// collect merges the sides of links, present and lost, that a condition holds
// for.
func (o *Overlay) collect(counts func(via state.Router, above bool) bool) map[state.Router]membership.Member {
	members := make(map[state.Router]membership.Member)
	for _, side := range o.lost {
		if counts(side.via, side.above) {
			merge(members, side.behind)
		}
	}
	for router, l := range o.links {
		if counts(router, router == o.parent) {
			merge(members, l.behind)
		}
	}
	members[o.self.Router] = o.self
	return members
}

// merge adds members; of two runs of one router the later counts.
func merge(into, from map[state.Router]membership.Member) {
	for router, m := range from {
		if held, ok := into[router]; !ok || held.Incarnation <= m.Incarnation {
			into[router] = m
		}
	}
}

// known returns the live routers and those with a session, in the order of
// names. While a fleet starts, few are linked yet.
func (o *Overlay) known() []membership.Member {
	members := make(map[state.Router]membership.Member)
	for router := range o.sessions {
		if c, ok := o.contacts[router]; ok {
			members[router] = c.Member
		}
	}
	if o.tree {
		o.refresh()
		merge(members, o.view)
	}
	members[o.self.Router] = o.self
	return sorted(members)
}

// snapshot returns everything on this side of a link, to be sent to its peer.
func (o *Overlay) snapshot(peer state.Router) []membership.Member {
	o.links[peer].sent = o.behind(peer)
	return sorted(o.links[peer].sent)
}

func sorted(members map[state.Router]membership.Member) []membership.Member {
	return slices.SortedFunc(maps.Values(members), func(a, b membership.Member) int { return cmp.Compare(a.Router, b.Router) })
}

// publishChanges sends over each link what changed on this side since the last
// time.
func (o *Overlay) publishChanges() {
	if !o.unsent {
		return
	}
	o.unsent = false
	for _, peer := range o.Links() {
		l := o.links[peer]
		now := o.behind(peer)
		change := Message{Kind: Change, Tree: true}
		for _, m := range sorted(now) {
			if l.sent[m.Router] != m {
				change.Present = append(change.Present, m)
			}
		}
		for _, router := range slices.Sorted(maps.Keys(l.sent)) {
			if _, ok := now[router]; !ok {
				change.Gone = append(change.Gone, router)
			}
		}
		l.sent = now
		if len(change.Present)+len(change.Gone) > 0 {
			o.do(Send{To: peer, Message: change})
		}
	}
}
