package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/figstile/figstile/coordination/demand"
	"github.com/figstile/figstile/coordination/estimate"
	"github.com/figstile/figstile/state"
)

// setDemand replaces the known demand of a router for a workspace and model.
func (s *Scheduler) setDemand(svc *service, k demand.Key, e demand.Entry) {
	backlogged := svc.demand.Set(k, e)
	svc.ledger.SetBacklog(s.now, k.Workspace, k.Model, backlogged)
	s.markForGranting(svc.name)
}

// syncOwnDemand updates the demand of this router from its own queue.
func (s *Scheduler) syncOwnDemand(svc *service, k demand.Key) {
	e := demand.Entry{Router: s.self.Router, Waiting: s.queues.Len(svc.queueKey(k))}
	if head := s.queues.Head(svc.queueKey(k)); head != nil {
		e.OldestArrival = head.Arrived
		e.OldestCost = s.estimates.Estimate(estimate.Key{Service: svc.name, Workspace: k.Workspace}, head.CostHint)
	}
	s.setDemand(svc, k, e)
	svc.changedKeys[k] = struct{}{}
	svc.urgentKeys[k] = struct{}{}
}

// ownDemandEntry describes a queue of this router in the form that is sent to
// owners.
func (s *Scheduler) ownDemandEntry(svc *service, k demand.Key) DemandEntry {
	d := DemandEntry{Workspace: k.Workspace, Model: k.Model}
	head := s.queues.Head(svc.queueKey(k))
	if head == nil {
		return d
	}
	d.Waiting = s.queues.Len(svc.queueKey(k))
	d.HeadAge = s.now.Sub(head.Arrived)
	d.HeadCost = s.estimates.Estimate(estimate.Key{Service: svc.name, Workspace: k.Workspace}, head.CostHint)
	return d
}

// announceDemand sends a message at once to owners for which the announced
// length of a queue is zero and the actual one is not. Requests that were
// dispatched within the same step are not announced.
//
// Under light load every owner has a free slot, and each one that receives the
// demand sends a grant. All but one of those grants come back unused, and their
// slots are idle for a round trip. Therefore only urgentDemandOwners owners
// receive the demand at once, and the others at the next tick if the request
// still waits.
func (s *Scheduler) announceDemand() {
	for _, svc := range s.sortedServicesToGrant() {
		if len(svc.urgentKeys) == 0 {
			continue
		}
		keys := sortedKeys(svc.urgentKeys)
		clear(svc.urgentKeys)
		s.sendDemand(svc, s.pickUrgentOwners(svc), keys, isNewDemand)
		for _, k := range keys {
			svc.partlyAnnouncedKeys[k] = struct{}{}
		}
	}
}

func isNewDemand(announced, waiting int) bool {
	return announced == 0 && waiting > 0
}

// pickUrgentOwners selects up to urgentDemandOwners owners, in rotation.
func (s *Scheduler) pickUrgentOwners(svc *service) []state.Router {
	if len(svc.owners) <= urgentDemandOwners {
		return svc.owners
	}
	svc.ownerRotation++
	var chosen []state.Router
	for i := range urgentDemandOwners {
		chosen = append(chosen, svc.owners[(svc.ownerRotation*urgentDemandOwners+i)%len(svc.owners)])
	}
	return chosen
}

// announceToRemainingOwners announces urgent demand that still waits to the
// owners that have not received it yet.
func (s *Scheduler) announceToRemainingOwners() {
	for _, svc := range s.sortedServices() {
		if len(svc.partlyAnnouncedKeys) == 0 {
			continue
		}
		keys := sortedKeys(svc.partlyAnnouncedKeys)
		clear(svc.partlyAnnouncedKeys)
		s.sendDemand(svc, svc.owners, keys, isNewDemand)
	}
}

// sendDemandBatch sends owners the demand of queues whose length differs from
// the announced one by more than the tolerance.
func (s *Scheduler) sendDemandBatch() {
	for _, svc := range s.sortedServices() {
		if len(svc.changedKeys) == 0 {
			continue
		}
		keys := sortedKeys(svc.changedKeys)
		clear(svc.changedKeys)
		s.sendDemand(svc, svc.owners, keys, differsBeyondTolerance)
	}
}

func differsBeyondTolerance(announced, waiting int) bool {
	if announced == waiting {
		return false
	}
	difference := max(announced-waiting, waiting-announced)
	return difference*demandTolerance > min(announced, waiting)
}

func (s *Scheduler) sendDemand(svc *service, owners []state.Router, keys []demand.Key, needed func(announced, waiting int) bool) {
	for _, owner := range owners {
		announced := svc.announcedDemand[owner]
		var entries []DemandEntry
		for _, k := range keys {
			waiting := s.queues.Len(svc.queueKey(k))
			if !needed(announced[k], waiting) {
				continue
			}
			entries = append(entries, s.ownDemandEntry(svc, k))
			setAnnounced(announced, k, waiting)
		}
		if len(entries) > 0 {
			s.emit(SendDemand{To: owner, Demand: Demand{Service: svc.name, Entries: entries}})
		}
	}
}

// refreshDemand sends the whole demand again to owners that know of any.
func (s *Scheduler) refreshDemand() {
	for _, svc := range s.sortedServices() {
		for _, owner := range svc.owners {
			if len(svc.announcedDemand[owner]) > 0 {
				s.sendAllDemand(svc, owner)
			}
		}
	}
}

func (s *Scheduler) sendAllDemand(svc *service, owner state.Router) {
	d := Demand{Service: svc.name, Full: true}
	announced := make(map[demand.Key]int)
	for _, k := range svc.demand.Keys(s.self.Router) {
		d.Entries = append(d.Entries, s.ownDemandEntry(svc, k))
		setAnnounced(announced, k, s.queues.Len(svc.queueKey(k)))
	}
	svc.announcedDemand[owner] = announced
	s.emit(SendDemand{To: owner, Demand: d})
}

// refreshAnnouncedDemand adapts announcedDemand to a change of owners. New
// owners receive the whole demand.
func (s *Scheduler) refreshAnnouncedDemand(svc *service) {
	for r := range svc.announcedDemand {
		if _, ok := slices.BinarySearch(svc.owners, r); !ok {
			delete(svc.announcedDemand, r)
		}
	}
	for _, r := range svc.owners {
		if _, ok := svc.announcedDemand[r]; !ok {
			s.sendAllDemand(svc, r)
		}
	}
}

func setAnnounced(announced map[demand.Key]int, k demand.Key, waiting int) {
	if waiting <= 0 {
		delete(announced, k)
		return
	}
	announced[k] = waiting
}

// receiveDemand stores the demand that a peer sent. Demand of routers that are
// not live is dropped, because no later event would remove it.
func (s *Scheduler) receiveDemand(from state.Router, d Demand) {
	if _, live := s.peers[from]; !live {
		return
	}
	svc := s.service(d.Service)
	if svc == nil {
		return
	}
	listed := make(map[demand.Key]struct{}, len(d.Entries))
	for _, e := range d.Entries {
		k := demand.Key{Workspace: e.Workspace, Model: e.Model}
		listed[k] = struct{}{}
		s.applyDemandEntry(svc, from, e)
	}
	if !d.Full {
		return
	}
	for _, k := range svc.demand.Keys(from) {
		if _, ok := listed[k]; !ok {
			s.setDemand(svc, k, demand.Entry{Router: from})
		}
	}
}

func (s *Scheduler) applyDemandEntry(svc *service, from state.Router, e DemandEntry) {
	k := demand.Key{Workspace: e.Workspace, Model: e.Model}
	s.setDemand(svc, k, demand.Entry{
		Router:        from,
		Waiting:       e.Waiting,
		OldestArrival: s.now.Add(-e.HeadAge),
		OldestCost:    e.HeadCost,
	})
}

func sortedKeys(set map[demand.Key]struct{}) []demand.Key {
	return slices.SortedFunc(maps.Keys(set), func(a, b demand.Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
	})
}

func sortedRouters[V any](set map[state.Router]V) []state.Router {
	return slices.Sorted(maps.Keys(set))
}
