package scheduler

import (
	"cmp"
	"slices"

	"github.com/figstile/figstile/coordination/demand"
	"github.com/figstile/figstile/coordination/estimate"
	"github.com/figstile/figstile/coordination/grants"
	"github.com/figstile/figstile/coordination/queue"
	"github.com/figstile/figstile/state"
)

// grantAll gives away the free slots of the services that this step touched.
func (s *Scheduler) grantAll() {
	for _, svc := range s.sortedTouched() {
		for svc.ledger.Backlogged() > 0 && s.grantOne(svc) {
		}
	}
}

// grantOne gives one slot away and reports whether it could.
//
// Made for saturation: the emptiest upstream comes first, so that a slow one
// does not collect work while others idle, and a slot goes to the workspace
// with the least virtual time over the whole fleet, whichever router holds its
// work. Slots beyond an upstream's own only go to work that has waited for
// lookAheadWait, which every other owner had the time to take.
func (s *Scheduler) grantOne(svc *service) bool {
	for _, u := range s.byLoad(svc) {
		models := s.heldModels(u)
		w, ok := svc.ledger.Next(models)
		if !ok {
			continue
		}
		k, e := s.oldest(svc, w, models)
		if u.tracker.FreeSlots(s.now) == 0 && s.now.Sub(e.OldestArrival) < lookAheadWait {
			continue
		}
		if s.give(svc, u, k, e) {
			return true
		}
	}
	return false
}

// byLoad lists the owned upstreams with a free slot, the emptiest first.
func (s *Scheduler) byLoad(svc *service) []*upstream {
	var free []*upstream
	for _, u := range svc.owned {
		if s.accepts(u) && u.tracker.FreeSlotsWithLookAhead(s.now) > 0 {
			free = append(free, u)
		}
	}
	slices.SortStableFunc(free, func(a, b *upstream) int {
		return cmp.Compare(s.freePart(b), s.freePart(a))
	})
	return free
}

func (s *Scheduler) freePart(u *upstream) float64 {
	return float64(u.tracker.FreeSlots(s.now)) / float64(u.tracker.Slots())
}

// heldModels lists what work an upstream may take; nil means all. A request
// that names no model runs on any engine that holds one.
//
// Where the settings list a service's models, an engine that reports none holds
// none: it has just started, and work sent there would come back as an error
// that the caller takes for the final answer.
func (s *Scheduler) heldModels(u *upstream) []state.Model {
	r, _ := u.tracker.LastReport(s.now)
	if len(r.Models) > 0 {
		return append([]state.Model{""}, r.Models...)
	}
	if len(u.service.settings.Models) > 0 {
		return []state.Model{}
	}
	return nil
}

// oldest finds the router and line with a workspace's oldest request, or one
// of its own that is nearly as old.
func (s *Scheduler) oldest(svc *service, w state.Workspace, models []state.Model) (demand.Key, demand.Entry) {
	var key demand.Key
	var best demand.Entry
	for _, m := range sortedModels(svc.ledger.Models(w)) {
		if models != nil && !slices.Contains(models, m) {
			continue
		}
		k := demand.Key{Workspace: w, Model: m}
		e, ok := svc.demand.Choose(s.now, k, s.self.Router)
		if ok && (best.Waiting == 0 || e.OldestArrival.Before(best.OldestArrival)) {
			key, best = k, e
		}
	}
	return key, best
}

func sortedModels(set map[state.Model]struct{}) []state.Model {
	models := make([]state.Model, 0, len(set))
	for m := range set {
		models = append(models, m)
	}
	slices.Sort(models)
	return models
}

// give reports whether it changed anything.
func (s *Scheduler) give(svc *service, u *upstream, k demand.Key, e demand.Entry) bool {
	if e.Router == s.self.Router {
		return s.giveOwn(svc, u, k, e)
	}
	g := s.reserve(svc, u, k, e)
	backlogged := svc.demand.RecordGrant(s.now, k, e.Router)
	svc.ledger.SetBacklog(s.now, k.Workspace, k.Model, backlogged)
	s.do(SendGrant{To: e.Router, Grant: Grant{
		Owner:     s.self.Router,
		Sequence:  g.Sequence,
		Service:   svc.name,
		Workspace: k.Workspace,
		Model:     k.Model,
		Upstream:  u.name,
		Lifetime:  grants.Lifetime,
		Reserved:  g.Reserved,
	}})
	return true
}

func (s *Scheduler) giveOwn(svc *service, u *upstream, k demand.Key, e demand.Entry) bool {
	waiting := s.queues.Total()
	it := s.take(svc, k, u.name)
	if it == nil {
		return s.queues.Total() < waiting
	}
	g := s.reserve(svc, u, k, e)
	s.given.Heard(s.now, g)
	s.dispatch(it, g.Sequence, s.self, u.name)
	return true
}

// reserve enters a grant and counts its estimated cost at once. Counted only
// when served, one burst of a workspace that was behind would win every slot
// before the first of them showed.
func (s *Scheduler) reserve(svc *service, u *upstream, k demand.Key, e demand.Entry) *grants.Given {
	cost := e.OldestCost
	if cost <= 0 {
		cost = s.estimates.Estimate(estimate.Key{Service: svc.name, Workspace: k.Workspace}, 0)
	}
	g := s.given.Give(s.now, grants.Given{
		To: e.Router, Upstream: u.name, Service: svc.name, Workspace: k.Workspace, Reserved: cost,
	})
	svc.ledger.Reserve(k.Workspace, cost)
	u.tracker.AddGrant()
	return g
}

// hearGrant uses a peer's grant at once or gives it back.
func (s *Scheduler) hearGrant(g Grant) {
	if !s.seen.First(g.Owner, g.Sequence) {
		return
	}
	svc := s.services[g.Service]
	owner, live := s.peers[g.Owner]
	if svc == nil {
		s.decline(nil, g)
		return
	}
	k := demand.Key{Workspace: g.Workspace, Model: g.Model}
	if believed := svc.believed[g.Owner]; believed != nil {
		believe(believed, k, believed[k]-1)
		svc.changed[k] = struct{}{}
	}
	if !live || s.justWoke() || g.Lifetime <= 0 {
		s.decline(svc, g)
		return
	}
	it := s.take(svc, k, g.Upstream)
	if it == nil {
		s.decline(svc, g)
		return
	}
	s.dispatch(it, g.Sequence, owner, g.Upstream)
	s.running[it.ID].reserved = g.Reserved
	s.unannounced = append(s.unannounced, announcement{id: it.ID, attempt: it.Dispatches, due: s.now.Add(announceAfter)})
}

// decline gives a grant back at once, so that the slot does not idle for the
// grant's lifetime, with the demand that the owner should have known of.
func (s *Scheduler) decline(svc *service, g Grant) {
	d := DemandEntry{Workspace: g.Workspace, Model: g.Model}
	if svc != nil {
		k := demand.Key{Workspace: g.Workspace, Model: g.Model}
		d = s.entry(svc, k)
		if s.queues.Len(svc.queueKey(k)) > 0 && !s.justWoke() {
			// Only a retry that avoids this upstream waits. With the true
			// figure the same grant would come back at once, again and again.
			d.Waiting = 0
		}
		if believed := svc.believed[g.Owner]; believed != nil {
			believe(believed, k, d.Waiting)
		}
	}
	s.do(SendDecline{To: g.Owner, Sequence: g.Sequence, Service: g.Service, Demand: d})
}

// take removes the next request of a line that may run on an upstream.
func (s *Scheduler) take(svc *service, k demand.Key, u state.Upstream) *queue.Item {
	for {
		it := s.queues.Take(s.now, svc.queueKey(k), u)
		if it == nil {
			return nil
		}
		s.syncOwn(svc, k)
		switch {
		case s.quarantine.Blocked(s.now, it.Fingerprint):
			s.refuse(it, quarantined())
		case s.onHold(it.Fingerprint):
			s.refuse(it, suspected())
		default:
			return it
		}
	}
}

func (s *Scheduler) hearDecline(e DeclineHeard) {
	g := s.given.Find(e.From, e.Sequence)
	if g != nil && !g.Started {
		s.withdraw(g)
		s.given.Close(g)
	}
	if svc := s.services[e.Service]; svc != nil {
		if _, live := s.peers[e.From]; live {
			s.hearEntry(svc, e.From, e.Demand)
		}
	}
}

// withdraw undoes a grant that was not used.
func (s *Scheduler) withdraw(g *grants.Given) {
	s.chargeService(g.Service, g.Workspace, 0, -g.Remaining())
	if u := s.upstreams[g.Upstream]; u != nil {
		u.tracker.ReleaseGrant(s.now)
	}
	s.touch(g.Service)
}

func (s *Scheduler) hearProgress(e ProgressHeard) {
	g := s.given.Find(e.From, e.Sequence)
	if g == nil {
		s.chargeService(e.Service, e.Workspace, e.Cost, 0)
		return
	}
	s.given.Heard(s.now, g)
	s.charge(g, e.Cost)
}

// charge counts served cost against a grant's reservation.
func (s *Scheduler) charge(g *grants.Given, cost state.Cost) {
	if cost <= 0 {
		return
	}
	before := g.Remaining()
	g.Charge(cost)
	s.chargeService(g.Service, g.Workspace, cost, g.Remaining()-before)
}

func (s *Scheduler) hearEnded(e EndedHeard) {
	s.ended(e)
}

// ended settles one of this router's grants. Work of an owner that is gone
// comes without a known grant: its cost is charged here and nothing else.
func (s *Scheduler) ended(e EndedHeard) {
	s.watch(e.Upstream, e.Outcome)
	g := s.given.Find(e.From, e.Sequence)
	if g == nil {
		s.chargeService(e.Service, e.Workspace, e.Cost, 0)
		return
	}
	s.charge(g, e.Cost)
	if g.To != s.self.Router {
		s.estimates.Learn(estimate.Key{Service: g.Service, Workspace: g.Workspace}, g.Charged)
	}
	if u := s.upstreams[g.Upstream]; u != nil {
		u.tracker.FinishGrant(s.now, s.now.Sub(g.Given))
	}
	s.chargeService(g.Service, g.Workspace, 0, -g.Remaining())
	s.touch(g.Service)
	s.given.Close(g)
}
