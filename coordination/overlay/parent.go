package overlay

import (
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// updateParentAndSessions looks for a parent, or for a better one, and updates
// the selection of sessions.
func (o *Overlay) updateParentAndSessions(now time.Time) {
	if o.treeMode {
		o.refreshView()
		if o.parent == "" {
			o.findParent(now)
		} else {
			o.reviewParent(now)
		}
	}
	o.updateSelection()
}

// findParent requests a parent among the live routers. If no live router
// precedes this one, it also considers routers that were live earlier or that
// other routers reported. If there is no candidate at all, it introduces this
// part of the fleet to another part.
func (o *Overlay) findParent(now time.Time) {
	if o.requestedParent != "" {
		return
	}
	allKnown := o.fleetMembers(true)
	for _, fleet := range [][]membership.Member{o.fleetMembers(false), allKnown} {
		if list := parentCandidates(o.self, fleet, o.excludedAt(now)); len(list) > 0 {
			o.requestParent(now, list[0])
			return
		}
	}
	o.startIntroduction(now, allKnown)
}

// startIntroduction chooses the first router that is known but not live and
// introduces this part of the fleet to it. It is called when this router has no
// candidate for a parent, because it precedes all routers that it knows or the
// others are excluded. Parts of the fleet that were cut off from each other, or
// that started from different seeds, join in this way.
func (o *Overlay) startIntroduction(now time.Time, fleet []membership.Member) {
	if o.introducedTo != "" {
		return
	}
	unreached := slices.DeleteFunc(fleet, func(m membership.Member) bool {
		_, live := o.view[m.Router]
		return live || o.introductionExclusions.isExcluded(now, m.Router)
	})
	if len(unreached) == 0 {
		return
	}
	first := slices.MinFunc(unreached, func(a, b membership.Member) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	o.introducedTo, o.introducedAt = first.Router, now
	if _, open := o.sessions[first.Router]; open {
		o.sendIntroduction()
	}
}

// sendIntroduction sends the known members of this router's part of the fleet
// to the chosen router and asks for the members that it knows.
func (o *Overlay) sendIntroduction() {
	o.emit(Send{To: o.introducedTo, Message: Message{Kind: KindIntroduction, Present: o.knownMembers(), TreeMode: true}})
}

// reviewParent compares the parent with other candidates every reviewInterval.
// It requests another router as parent once that router has been the best
// candidate for parentSwitchDelay.
func (o *Overlay) reviewParent(now time.Time) {
	if o.requestedParent != "" || now.Sub(o.parentReviewedAt) < reviewInterval {
		return
	}
	o.parentReviewedAt = now
	list := parentCandidates(o.self, o.fleetMembers(false), o.excludedAt(now))
	if len(list) == 0 {
		return
	}
	candidate := list[0]
	switch {
	case candidate == o.parent:
		o.preferredParent = ""
	case candidate != o.preferredParent:
		o.preferredParent, o.preferredSince = candidate, now
	case now.Sub(o.preferredSince) >= parentSwitchDelay:
		o.requestParent(now, candidate)
	}
}

func (o *Overlay) requestParent(now time.Time, router state.Router) {
	o.requestedParent, o.requestedAt = router, now
	if _, open := o.sessions[router]; open {
		o.sendAttach(now)
	}
}

// excludedAt returns a function that reports whether a router is excluded as
// parent at the given time.
func (o *Overlay) excludedAt(now time.Time) func(state.Router) bool {
	return func(router state.Router) bool { return o.excludedParents.isExcluded(now, router) }
}

// fleetMembers returns the live routers and, if includeContacts is set, also
// the known routers that are not live.
func (o *Overlay) fleetMembers(includeContacts bool) []membership.Member {
	fleet := slices.Collect(maps.Values(o.view))
	if !includeContacts {
		return fleet
	}
	for router, c := range o.contacts {
		if _, live := o.view[router]; !live {
			fleet = append(fleet, c.Member)
		}
	}
	return fleet
}

// updateSelection emits SelectPeers if the needed sessions have changed.
func (o *Overlay) updateSelection() {
	var needed SelectPeers
	if o.treeMode {
		for _, router := range []state.Router{o.requestedParent, o.introducedTo} {
			if c, ok := o.contacts[router]; ok {
				needed.Members = append(needed.Members, c.Member)
			}
		}
		if needed.DialSeeds = o.parent == ""; needed.DialSeeds {
			needed.LiveRouters = slices.Sorted(maps.Keys(o.view))
		}
	} else {
		for _, router := range slices.Sorted(maps.Keys(o.contacts)) {
			needed.Members = append(needed.Members, o.contacts[router].Member)
		}
		needed.DialSeeds = true
	}
	if needed.equal(o.selection) {
		return
	}
	o.selection = needed
	o.emit(needed)
}

func (s SelectPeers) equal(other SelectPeers) bool {
	return s.DialSeeds == other.DialSeeds && slices.Equal(s.Members, other.Members) && slices.Equal(s.LiveRouters, other.LiveRouters)
}
