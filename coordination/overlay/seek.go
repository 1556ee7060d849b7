package overlay

import (
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// updateParentAndSessions looks for a parent, or a better one, and says which sessions are
// wanted.
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

// findParent chooses a parent among the live routers, or if none precedes this one,
// among those that were live or that others know.
func (o *Overlay) findParent(now time.Time) {
	if o.requestedParent != "" {
		return
	}
	everyone := o.fleetMembers(true)
	for _, fleet := range [][]membership.Member{o.fleetMembers(false), everyone} {
		if list := parentCandidates(o.self, fleet, o.excludedAt(now)); len(list) > 0 {
			o.requestParent(now, list[0])
			return
		}
	}
	o.startIntroduction(now, everyone)
}

// startIntroduction makes the first router of another part of the fleet known to this one,
// which precedes all routers that it knows. Parts that were cut off from each
// other, or began from different seeds, join so.
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

// sendIntroduction makes this router's part of the fleet known to the visited router,
// and asks for what that one knows.
func (o *Overlay) sendIntroduction() {
	o.emit(Send{To: o.introducedTo, Message: Message{Kind: KindIntroduction, Present: o.knownMembers(), TreeMode: true}})
}

// reviewParent moves to another parent once that has been preferable for long.
func (o *Overlay) reviewParent(now time.Time) {
	if o.requestedParent != "" || now.Sub(o.parentReviewedAt) < reviewInterval {
		return
	}
	o.parentReviewedAt = now
	list := parentCandidates(o.self, o.fleetMembers(false), o.excludedAt(now))
	if len(list) == 0 {
		return
	}
	best := list[0]
	switch {
	case best == o.parent:
		o.preferredParent = ""
	case best != o.preferredParent:
		o.preferredParent, o.preferredSince = best, now
	case now.Sub(o.preferredSince) >= parentSwitchDelay:
		o.requestParent(now, best)
	}
}

func (o *Overlay) requestParent(now time.Time, router state.Router) {
	o.requestedParent, o.requestedAt = router, now
	if _, open := o.sessions[router]; open {
		o.sendAttach(now)
	}
}

// excludedAt says which routers are not to be asked now.
func (o *Overlay) excludedAt(now time.Time) func(state.Router) bool {
	return func(router state.Router) bool { return o.excludedParents.isExcluded(now, router) }
}

// fleetMembers returns the routers to choose a parent from: the live ones, and those
// that were if all is true.
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

// updateSelection says which sessions are wanted, if that changed.
func (o *Overlay) updateSelection() {
	var wanted SelectPeers
	if o.treeMode {
		for _, router := range []state.Router{o.requestedParent, o.introducedTo} {
			if c, ok := o.contacts[router]; ok {
				wanted.Members = append(wanted.Members, c.Member)
			}
		}
		if wanted.DialSeeds = o.parent == ""; wanted.DialSeeds {
			wanted.LiveRouters = slices.Sorted(maps.Keys(o.view))
		}
	} else {
		for _, router := range slices.Sorted(maps.Keys(o.contacts)) {
			wanted.Members = append(wanted.Members, o.contacts[router].Member)
		}
		wanted.DialSeeds = true
	}
	if wanted.equal(o.selection) {
		return
	}
	o.selection = wanted
	o.emit(wanted)
}

func (s SelectPeers) equal(other SelectPeers) bool {
	return s.DialSeeds == other.DialSeeds && slices.Equal(s.Members, other.Members) && slices.Equal(s.LiveRouters, other.LiveRouters)
}
