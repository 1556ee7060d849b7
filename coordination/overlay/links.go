package overlay

import (
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

func (o *Overlay) onAttach(now time.Time, from state.Router, m Message) {
	o.switchToTree(now)
	child, ok := o.contacts[from]
	if !ok || !precedes(o.self, child.Member) || o.childCount() >= maxChildren && o.links[from] == nil {
		o.emit(Send{To: from, Message: Message{Kind: KindDetach, TreeMode: true}})
		return
	}
	o.addLink(now, from, m)
	o.emit(Send{To: from, Message: Message{Kind: KindAccept, Present: o.snapshot(from), TreeMode: true}})
	o.emit(LinkEstablished{Router: from})
}

func (o *Overlay) childCount() int {
	if o.parent == "" {
		return len(o.links)
	}
	return len(o.links) - 1
}

func (o *Overlay) onAccept(now time.Time, from state.Router, m Message) {
	if from != o.requestedParent {
		o.emit(Send{To: from, Message: Message{Kind: KindDetach, TreeMode: true}})
		return
	}
	if previous := o.parent; previous != "" {
		o.endLink(now, previous)
		o.emit(Send{To: previous, Message: Message{Kind: KindDetach, TreeMode: true}})
	}
	o.parent, o.requestedParent, o.preferredParent = from, "", ""
	o.excludedParents.remove(from)
	o.addLink(now, from, m)
	o.links[from].sentMembers = o.offeredSubtree
	o.emit(LinkEstablished{Router: from})
}

// addLink adds a link to a router, with the members on that router's side.
func (o *Overlay) addLink(now time.Time, from state.Router, m Message) {
	l := &link{reachable: make(map[state.Router]membership.Member), lastReceived: now}
	for _, p := range m.Present {
		l.reachable[p.Router] = p
	}
	o.links[from] = l
	o.lostLinks = slices.DeleteFunc(o.lostLinks, func(s lostLink) bool { return s.via == from })
	o.markChanged()
}

// markChanged records that the view is out of date and that changes have to be
// sent over the links.
func (o *Overlay) markChanged() { o.viewStale, o.changesUnsent = true, true }

func (o *Overlay) onChange(from state.Router, m Message) {
	l := o.links[from]
	if l == nil {
		o.emit(Send{To: from, Message: Message{Kind: KindDetach, TreeMode: true}})
		return
	}
	for _, p := range m.Present {
		l.reachable[p.Router] = p
	}
	for _, router := range m.Removed {
		delete(l.reachable, router)
	}
	o.markChanged()
}

func (o *Overlay) onDetach(now time.Time, from state.Router) {
	if from == o.requestedParent {
		o.excludedParents.excludeBriefly(now, from)
		o.requestedParent = ""
	}
	o.loseLink(now, from)
}

// loseLink ends a link that was lost. If it was the link to the parent, the
// parent is excluded for a while so that another one is chosen.
func (o *Overlay) loseLink(now time.Time, router state.Router) {
	if o.links[router] == nil {
		return
	}
	if router == o.parent {
		o.excludedParents.exclude(now, router)
	}
	o.endLink(now, router)
}

// endLink ends a link. The routers behind it still count as live for
// lostLinkGrace.
func (o *Overlay) endLink(now time.Time, router state.Router) {
	fromParent := router == o.parent
	o.lostLinks = append(o.lostLinks, lostLink{via: router, fromParent: fromParent, reachable: o.links[router].reachable, expiresAt: now.Add(lostLinkGrace)})
	delete(o.links, router)
	if fromParent {
		o.parent = ""
	}
	o.markChanged()
	o.emit(LinkEnded{Router: router})
}

// excludeParent excludes a router as parent for a while and stops waiting for
// its answer.
func (o *Overlay) excludeParent(now time.Time, router state.Router) {
	o.excludedParents.exclude(now, router)
	if router == o.requestedParent {
		o.requestedParent = ""
	}
}

// sendAttach asks the requested router to become the parent.
func (o *Overlay) sendAttach(now time.Time) {
	o.requestedAt = now
	o.offeredSubtree = o.subtree()
	o.emit(Send{To: o.requestedParent, Message: Message{Kind: KindAttach, Present: sortedByName(o.offeredSubtree), TreeMode: true}})
}
