package overlay

import (
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

func (o *Overlay) onAttach(now time.Time, from state.Router, m Message) {
	o.becomeTree(now)
	child, ok := o.contacts[from]
	if !ok || !precedes(o.self, child.Member) || o.children() >= maxChildren && o.links[from] == nil {
		o.do(Send{To: from, Message: Message{Kind: Detach, Tree: true}})
		return
	}
	o.establish(now, from, m)
	o.do(Send{To: from, Message: Message{Kind: Accept, Present: o.snapshot(from), Tree: true}})
	o.do(Linked{Router: from})
}

func (o *Overlay) children() int {
	if o.parent == "" {
		return len(o.links)
	}
	return len(o.links) - 1
}

func (o *Overlay) onAccept(now time.Time, from state.Router, m Message) {
	if from != o.target {
		o.do(Send{To: from, Message: Message{Kind: Detach, Tree: true}})
		return
	}
	if before := o.parent; before != "" {
		o.end(now, before)
		o.do(Send{To: before, Message: Message{Kind: Detach, Tree: true}})
	}
	o.parent, o.target, o.preferred = from, "", ""
	o.excluded.clear(from)
	o.establish(now, from, m)
	o.links[from].sent = o.offered
	o.do(Linked{Router: from})
}

// establish begins a link with what is on the peer's side.
func (o *Overlay) establish(now time.Time, from state.Router, m Message) {
	l := &link{behind: make(map[state.Router]membership.Member), lastSeen: now}
	for _, p := range m.Present {
		l.behind[p.Router] = p
	}
	o.links[from] = l
	o.lost = slices.DeleteFunc(o.lost, func(s lostSide) bool { return s.via == from })
	o.touch()
}

// touch notes that the view has changed.
func (o *Overlay) touch() { o.changed, o.unsent = true, true }

func (o *Overlay) onChange(from state.Router, m Message) {
	l := o.links[from]
	if l == nil {
		o.do(Send{To: from, Message: Message{Kind: Detach, Tree: true}})
		return
	}
	for _, p := range m.Present {
		l.behind[p.Router] = p
	}
	for _, router := range m.Gone {
		delete(l.behind, router)
	}
	o.touch()
}

func (o *Overlay) onDetach(now time.Time, from state.Router) {
	if from == o.target {
		o.excluded.refused(now, from)
		o.target = ""
	}
	o.unlink(now, from)
}

// unlink ends a link that was lost, and looks elsewhere if it was the parent's.
func (o *Overlay) unlink(now time.Time, router state.Router) {
	if o.links[router] == nil {
		return
	}
	if router == o.parent {
		o.excluded.add(now, router)
	}
	o.end(now, router)
}

// end ends a link. What was behind it counts as live for a while.
func (o *Overlay) end(now time.Time, router state.Router) {
	above := router == o.parent
	o.lost = append(o.lost, lostSide{via: router, above: above, behind: o.links[router].behind, until: now.Add(lingerFor)})
	delete(o.links, router)
	if above {
		o.parent = ""
	}
	o.touch()
	o.do(Unlinked{Router: router})
}

// exclude passes over a router as parent for a while.
func (o *Overlay) exclude(now time.Time, router state.Router) {
	o.excluded.add(now, router)
	if router == o.target {
		o.target = ""
	}
}

// attach asks the target to be the parent.
func (o *Overlay) attach(now time.Time) {
	o.requested = now
	o.offered = o.below()
	o.do(Send{To: o.target, Message: Message{Kind: Attach, Present: sorted(o.offered), Tree: true}})
}
