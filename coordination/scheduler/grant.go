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

// grantAll grants the free slots of the services in servicesToGrant.
func (s *Scheduler) grantAll() {
	for _, svc := range s.sortedServicesToGrant() {
		for svc.ledger.BackloggedCount() > 0 && s.grantOne(svc) {
		}
	}
}

// grantOne grants one slot and reports whether it did.
//
// Under saturation the upstream with the largest fraction of free slots comes
// first, so that a slow one does not collect requests while others are idle.
// The slot goes to the workspace with the lowest virtual time in the whole
// fleet, whichever router its requests wait at. Places in the internal queue of
// an upstream whose slots are all taken go only to requests that mayWaitInside
// allows there.
func (s *Scheduler) grantOne(svc *service) bool {
	for _, u := range s.freeUpstreamsByLoad(svc) {
		models := s.loadedModels(u)
		w, ok := svc.ledger.Next(models)
		if !ok {
			continue
		}
		k, e := s.oldestDemand(svc, w, models)
		if u.tracker.FreeSlots(s.now) == 0 && !s.mayWaitInside(svc, e) {
			continue
		}
		if s.grantSlot(svc, u, k, e) {
			return true
		}
	}
	return false
}

// mayWaitInside reports whether a request may be sent to the internal queue of a
// full upstream: it has waited for minLookAheadAge, within which every other owner
// could have granted it a free slot. A new owner grants nothing until it has a load
// report, so for a while after a change of owners none waits inside.
func (s *Scheduler) mayWaitInside(svc *service, e demand.Entry) bool {
	ownsAll := len(svc.owned) == len(svc.upstreams)
	reported := s.now.Sub(svc.ownersChangedAt) >= firstReportTimeout
	return s.now.Sub(e.OldestArrival) >= minLookAheadAge && (ownsAll || reported)
}

// freeUpstreamsByLoad lists the owned upstreams with a free slot or a free
// place in their internal queue, sorted by the fraction of free slots, largest
// first.
func (s *Scheduler) freeUpstreamsByLoad(svc *service) []*upstream {
	var free []*upstream
	for _, u := range svc.owned {
		if s.acceptsWork(u) && u.tracker.FreeSlotsWithLookAhead(s.now) > 0 {
			free = append(free, u)
		}
	}
	slices.SortStableFunc(free, func(a, b *upstream) int {
		return cmp.Compare(s.freeFraction(b), s.freeFraction(a))
	})
	return free
}

func (s *Scheduler) freeFraction(u *upstream) float64 {
	return float64(u.tracker.FreeSlots(s.now)) / float64(u.tracker.Slots())
}

// loadedModels lists the models of the requests that an upstream may take; nil
// means all. A request that names no model runs on any engine that has loaded
// one.
//
// If the settings list models for the service, an engine that reports no models
// takes no requests. It has just started, and a request sent to it would fail
// with an error that the caller takes for the final answer.
func (s *Scheduler) loadedModels(u *upstream) []state.Model {
	r, _ := u.tracker.LastReport(s.now)
	if len(r.Models) > 0 {
		return append([]state.Model{""}, r.Models...)
	}
	if len(u.service.settings.Models) > 0 {
		return []state.Model{}
	}
	return nil
}

// oldestDemand finds the router and queue with the oldest request of a
// workspace. It prefers a request of this router that is nearly as old.
func (s *Scheduler) oldestDemand(svc *service, w state.Workspace, models []state.Model) (demand.Key, demand.Entry) {
	var key demand.Key
	var best demand.Entry
	for _, m := range sortedModels(svc.ledger.WaitingModels(w)) {
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

// grantSlot grants a slot of an upstream to the given demand and reports
// whether it changed any state.
func (s *Scheduler) grantSlot(svc *service, u *upstream, k demand.Key, e demand.Entry) bool {
	if e.Router == s.self.Router {
		return s.grantToSelf(svc, u, k, e)
	}
	g := s.reserve(svc, u, k, e)
	backlogged := svc.demand.RecordGrant(s.now, k, e.Router)
	svc.ledger.SetBacklog(s.now, k.Workspace, k.Model, backlogged)
	s.emit(SendGrant{To: e.Router, Grant: Grant{
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

func (s *Scheduler) grantToSelf(svc *service, u *upstream, k demand.Key, e demand.Entry) bool {
	waiting := s.queues.Total()
	item := s.takeRequest(svc, k, u.name)
	if item == nil {
		return s.queues.Total() < waiting
	}
	g := s.reserve(svc, u, k, e)
	s.issuedGrants.MarkStarted(s.now, g)
	s.dispatch(item, g.Sequence, s.self, u.name)
	return true
}

// reserve registers a grant and counts its estimated cost at once. If cost
// counted only after it was served, a burst of the workspace with the lowest
// virtual time would win every free slot before the first of its requests was
// counted.
func (s *Scheduler) reserve(svc *service, u *upstream, k demand.Key, e demand.Entry) *grants.Grant {
	cost := e.OldestCost
	if cost <= 0 {
		cost = s.estimates.Estimate(estimate.Key{Service: svc.name, Workspace: k.Workspace}, 0)
	}
	g := s.issuedGrants.Issue(s.now, grants.Grant{
		To: e.Router, Upstream: u.name, Service: svc.name, Workspace: k.Workspace, Reserved: cost,
	})
	svc.ledger.Reserve(k.Workspace, cost)
	u.tracker.AddGrant()
	return g
}

// receiveGrant uses a peer's grant at once or declines it.
func (s *Scheduler) receiveGrant(g Grant) {
	if !s.seenGrants.Accept(g.Owner, g.Sequence) {
		return
	}
	svc := s.services[g.Service]
	owner, live := s.peers[g.Owner]
	if svc == nil {
		s.declineGrant(nil, g)
		return
	}
	k := demand.Key{Workspace: g.Workspace, Model: g.Model}
	if announced := svc.announcedDemand[g.Owner]; announced != nil {
		setAnnounced(announced, k, announced[k]-1)
		svc.changedKeys[k] = struct{}{}
	}
	if !live || s.resumedRecently() || g.Lifetime <= 0 {
		s.declineGrant(svc, g)
		return
	}
	item := s.takeRequest(svc, k, g.Upstream)
	if item == nil {
		s.declineGrant(svc, g)
		return
	}
	s.dispatch(item, g.Sequence, owner, g.Upstream)
	s.running[item.ID].reserved = g.Reserved
	s.unannouncedStarts = append(s.unannouncedStarts, startAnnouncement{id: item.ID, attempt: item.Dispatches, due: s.now.Add(announceStartAfter)})
}

// declineGrant returns a grant at once, so that the slot is not idle for the
// grant's lifetime. The message contains the current demand, because the
// owner's view of it was out of date.
func (s *Scheduler) declineGrant(svc *service, g Grant) {
	d := DemandEntry{Workspace: g.Workspace, Model: g.Model}
	if svc != nil {
		k := demand.Key{Workspace: g.Workspace, Model: g.Model}
		d = s.ownDemandEntry(svc, k)
		if s.queues.Len(svc.queueKey(k)) > 0 && !s.resumedRecently() {
			// Only a retry that avoids this upstream waits. If the actual count
			// were sent, the owner would repeat the same grant at once and in a
			// loop.
			d.Waiting = 0
		}
		if announced := svc.announcedDemand[g.Owner]; announced != nil {
			setAnnounced(announced, k, d.Waiting)
		}
	}
	s.emit(SendDecline{To: g.Owner, Sequence: g.Sequence, Service: g.Service, Demand: d})
}

// takeRequest removes the next request of a queue that may run on an upstream.
func (s *Scheduler) takeRequest(svc *service, k demand.Key, u state.Upstream) *queue.Item {
	for {
		item := s.queues.Take(s.now, svc.queueKey(k), u)
		if item == nil {
			return nil
		}
		s.syncOwnDemand(svc, k)
		switch {
		case s.quarantine.Blocked(s.now, item.Fingerprint):
			s.refuse(item, quarantinedResult())
		case s.isSuspected(item.Fingerprint):
			s.refuse(item, suspectedResult())
		default:
			return item
		}
	}
}

func (s *Scheduler) receiveDecline(e DeclineHeard) {
	g := s.issuedGrants.Find(e.From, e.Sequence)
	if g != nil && !g.Started {
		s.withdrawGrant(g)
		s.issuedGrants.Remove(g)
	}
	if svc := s.services[e.Service]; svc != nil {
		if _, live := s.peers[e.From]; live {
			s.applyDemandEntry(svc, e.From, e.Demand)
		}
	}
}

// withdrawGrant releases the slot and the reservation of a grant that was not
// used.
func (s *Scheduler) withdrawGrant(g *grants.Grant) {
	s.chargeWorkspace(g.Service, g.Workspace, 0, -g.Remaining())
	if u := s.upstreams[g.Upstream]; u != nil {
		u.tracker.ReleaseGrant(s.now)
	}
	s.markForGranting(g.Service)
}

func (s *Scheduler) receiveProgress(e ProgressHeard) {
	g := s.issuedGrants.Find(e.From, e.Sequence)
	if g == nil {
		s.chargeWorkspace(e.Service, e.Workspace, e.Cost, 0)
		return
	}
	s.issuedGrants.MarkStarted(s.now, g)
	s.chargeGrant(g, e.Cost)
}

// chargeGrant counts served cost against the reservation of a grant.
func (s *Scheduler) chargeGrant(g *grants.Grant, cost state.Cost) {
	if cost <= 0 {
		return
	}
	before := g.Remaining()
	g.Charge(cost)
	s.chargeWorkspace(g.Service, g.Workspace, cost, g.Remaining()-before)
}

func (s *Scheduler) receiveEnded(e EndedHeard) {
	s.settleGrant(e)
}

// settleGrant settles one of this router's grants. A request that ran on a
// grant of an owner that is no longer live comes without a known grant; only
// its cost is charged here.
func (s *Scheduler) settleGrant(e EndedHeard) {
	s.recordOutcome(e.Upstream, e.Outcome)
	g := s.issuedGrants.Find(e.From, e.Sequence)
	if g == nil {
		s.chargeWorkspace(e.Service, e.Workspace, e.Cost, 0)
		return
	}
	s.chargeGrant(g, e.Cost)
	if g.To != s.self.Router {
		s.estimates.Learn(estimate.Key{Service: g.Service, Workspace: g.Workspace}, g.Charged)
	}
	if u := s.upstreams[g.Upstream]; u != nil {
		u.tracker.FinishGrant(s.now, s.now.Sub(g.IssuedAt))
	}
	s.chargeWorkspace(g.Service, g.Workspace, 0, -g.Remaining())
	s.markForGranting(g.Service)
	s.issuedGrants.Remove(g)
}
