package overlay

import (
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/state"
)

// advance looks for a parent, or a better one, and says which sessions are
// wanted.
func (o *Overlay) advance(now time.Time) {
	if o.tree {
		o.refresh()
		if o.parent == "" {
			o.seek(now)
		} else {
			o.reconsider(now)
		}
	}
	o.selectSessions()
}

// seek chooses a parent among the live routers, or if none precedes this one,
// among those that were live or that others know.
func (o *Overlay) seek(now time.Time) {
	if o.target != "" {
		return
	}
	everyone := o.fleetFor(true)
	for _, fleet := range [][]membership.Member{o.fleetFor(false), everyone} {
		if list := candidates(o.self, fleet, o.passedOver(now)); len(list) > 0 {
			o.request(now, list[0])
			return
		}
	}
	o.visit(now, everyone)
}

// visit makes the first router of another part of the fleet known to this one,
// which precedes all routers that it knows. Parts that were cut off from each
// other, or began from different seeds, join so.
func (o *Overlay) visit(now time.Time, fleet []membership.Member) {
	if o.visited != "" {
		return
	}
	apart := slices.DeleteFunc(fleet, func(m membership.Member) bool {
		_, live := o.view[m.Router]
		return live || o.visits.at(now, m.Router)
	})
	if len(apart) == 0 {
		return
	}
	first := slices.MinFunc(apart, func(a, b membership.Member) int {
		if precedes(a, b) {
			return -1
		}
		return 1
	})
	o.visited, o.at = first.Router, now
	if _, open := o.sessions[first.Router]; open {
		o.introduce()
	}
}

// introduce makes this router's part of the fleet known to the visited router,
// and asks for what that one knows.
func (o *Overlay) introduce() {
	o.do(Send{To: o.visited, Message: Message{Kind: Visit, Present: o.known(), Tree: true}})
}

// reconsider moves to another parent once that has been preferable for long.
func (o *Overlay) reconsider(now time.Time) {
	if o.target != "" || now.Sub(o.reviewed) < reviewEvery {
		return
	}
	o.reviewed = now
	list := candidates(o.self, o.fleetFor(false), o.passedOver(now))
	if len(list) == 0 {
		return
	}
	best := list[0]
	switch {
	case best == o.parent:
		o.preferred = ""
	case best != o.preferred:
		o.preferred, o.since = best, now
	case now.Sub(o.since) >= settleFor:
		o.request(now, best)
	}
}

func (o *Overlay) request(now time.Time, router state.Router) {
	o.target, o.requested = router, now
	if _, open := o.sessions[router]; open {
		o.attach(now)
	}
}

// passedOver says which routers are not to be asked now.
func (o *Overlay) passedOver(now time.Time) func(state.Router) bool {
	return func(router state.Router) bool { return o.excluded.at(now, router) }
}

// fleetFor returns the routers to choose a parent from: the live ones, and those
// that were if all is true.
func (o *Overlay) fleetFor(all bool) []membership.Member {
	fleet := slices.Collect(maps.Values(o.view))
	if !all {
		return fleet
	}
	for router, c := range o.contacts {
		if _, live := o.view[router]; !live {
			fleet = append(fleet, c.Member)
		}
	}
	return fleet
}

// selectSessions says which sessions are wanted, if that changed.
func (o *Overlay) selectSessions() {
	var wanted Select
	if o.tree {
		for _, router := range []state.Router{o.target, o.visited} {
			if c, ok := o.contacts[router]; ok {
				wanted.Members = append(wanted.Members, c.Member)
			}
		}
		if wanted.Seeds = o.parent == ""; wanted.Seeds {
			wanted.Fleet = slices.Sorted(maps.Keys(o.view))
		}
	} else {
		for _, router := range slices.Sorted(maps.Keys(o.contacts)) {
			wanted.Members = append(wanted.Members, o.contacts[router].Member)
		}
		wanted.Seeds = true
	}
	if wanted.equal(o.selected) {
		return
	}
	o.selected = wanted
	o.do(wanted)
}

func (s Select) equal(other Select) bool {
	return s.Seeds == other.Seeds && slices.Equal(s.Members, other.Members) && slices.Equal(s.Fleet, other.Fleet)
}
