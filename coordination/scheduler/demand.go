package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/figstile/figstile/coordination/demand"
	"github.com/figstile/figstile/coordination/estimate"
	"github.com/figstile/figstile/state"
)

// setDemand replaces what a router has waiting of a line.
func (s *Scheduler) setDemand(svc *service, k demand.Key, e demand.Entry) {
	backlogged := svc.demand.Set(k, e)
	svc.ledger.SetBacklog(s.now, k.Workspace, k.Model, backlogged)
	s.touch(svc.name)
}

// syncOwn brings the demand book up to the router's own queue.
func (s *Scheduler) syncOwn(svc *service, k demand.Key) {
	e := demand.Entry{Router: s.self.Router, Waiting: s.queues.Len(svc.queueKey(k))}
	if head := s.queues.Head(svc.queueKey(k)); head != nil {
		e.OldestArrival = head.Arrived
		e.OldestCost = s.estimates.Estimate(estimate.Key{Service: svc.name, Workspace: k.Workspace}, head.Hint)
	}
	s.setDemand(svc, k, e)
	svc.changed[k] = struct{}{}
	svc.urgent[k] = struct{}{}
}

// entry describes a line of the router's own queue for others.
func (s *Scheduler) entry(svc *service, k demand.Key) DemandEntry {
	d := DemandEntry{Workspace: k.Workspace, Model: k.Model}
	head := s.queues.Head(svc.queueKey(k))
	if head == nil {
		return d
	}
	d.Waiting = s.queues.Len(svc.queueKey(k))
	d.HeadAge = s.now.Sub(head.Arrived)
	d.HeadCost = s.estimates.Estimate(estimate.Key{Service: svc.name, Workspace: k.Workspace}, head.Hint)
	return d
}

// announceDemand tells owners at once of lines that they take to be empty.
// Requests that were dispatched within the step are never announced.
//
// Made for light load, when every owner has a free slot and each that hears
// of a request grants one: all but one of those grants come back unused, and
// for a round trip their slots stand idle. So only firstAsked owners hear of
// it at once, and the others at the next tick if it still waits.
func (s *Scheduler) announceDemand() {
	for _, svc := range s.sortedTouched() {
		if len(svc.urgent) == 0 {
			continue
		}
		keys := sortedKeys(svc.urgent)
		clear(svc.urgent)
		s.sendDemand(svc, s.firstOwners(svc), keys, isNews)
		for _, k := range keys {
			svc.unanswered[k] = struct{}{}
		}
	}
}

func isNews(believed, waiting int) bool {
	return believed == 0 && waiting > 0
}

// firstOwners picks owners in turn.
func (s *Scheduler) firstOwners(svc *service) []state.Router {
	if len(svc.owners) <= firstAsked {
		return svc.owners
	}
	svc.turn++
	var chosen []state.Router
	for i := range firstAsked {
		chosen = append(chosen, svc.owners[(svc.turn*firstAsked+i)%len(svc.owners)])
	}
	return chosen
}

// askOthers tells the remaining owners of urgent demand that still waits.
func (s *Scheduler) askOthers() {
	for _, svc := range s.sortedServices() {
		if len(svc.unanswered) == 0 {
			continue
		}
		keys := sortedKeys(svc.unanswered)
		clear(svc.unanswered)
		s.sendDemand(svc, svc.owners, keys, isNews)
	}
}

// batchDemand tells owners of lines that changed by much since they last
// heard.
func (s *Scheduler) batchDemand() {
	for _, svc := range s.sortedServices() {
		if len(svc.changed) == 0 {
			continue
		}
		keys := sortedKeys(svc.changed)
		clear(svc.changed)
		s.sendDemand(svc, svc.owners, keys, differsMuch)
	}
}

func differsMuch(believed, waiting int) bool {
	if believed == waiting {
		return false
	}
	difference := max(believed-waiting, waiting-believed)
	return difference*demandSlack > min(believed, waiting)
}

func (s *Scheduler) sendDemand(svc *service, owners []state.Router, keys []demand.Key, needed func(believed, waiting int) bool) {
	for _, owner := range owners {
		believed := svc.believed[owner]
		var entries []DemandEntry
		for _, k := range keys {
			waiting := s.queues.Len(svc.queueKey(k))
			if !needed(believed[k], waiting) {
				continue
			}
			entries = append(entries, s.entry(svc, k))
			believe(believed, k, waiting)
		}
		if len(entries) > 0 {
			s.do(SendDemand{To: owner, Demand: Demand{Service: svc.name, Entries: entries}})
		}
	}
}

// refreshDemand repeats the whole demand to owners who have heard of any.
func (s *Scheduler) refreshDemand() {
	for _, svc := range s.sortedServices() {
		for _, owner := range svc.owners {
			if len(svc.believed[owner]) > 0 {
				s.sendAllDemand(svc, owner)
			}
		}
	}
}

func (s *Scheduler) sendAllDemand(svc *service, owner state.Router) {
	d := Demand{Service: svc.name, Full: true}
	believed := make(map[demand.Key]int)
	for _, k := range svc.demand.Keys(s.self.Router) {
		d.Entries = append(d.Entries, s.entry(svc, k))
		believe(believed, k, s.queues.Len(svc.queueKey(k)))
	}
	svc.believed[owner] = believed
	s.do(SendDemand{To: owner, Demand: d})
}

// refreshBelieved follows a change of owners: new ones hear everything.
func (s *Scheduler) refreshBelieved(svc *service) {
	for r := range svc.believed {
		if _, ok := slices.BinarySearch(svc.owners, r); !ok {
			delete(svc.believed, r)
		}
	}
	for _, r := range svc.owners {
		if _, ok := svc.believed[r]; !ok {
			s.sendAllDemand(svc, r)
		}
	}
}

func believe(believed map[demand.Key]int, k demand.Key, waiting int) {
	if waiting <= 0 {
		delete(believed, k)
		return
	}
	believed[k] = waiting
}

// hearDemand takes in a peer's demand. Nothing is kept of routers that are
// not live: no later event would take it away again.
func (s *Scheduler) hearDemand(from state.Router, d Demand) {
	if _, live := s.peers[from]; !live {
		return
	}
	svc := s.service(d.Service)
	if svc == nil {
		return
	}
	heard := make(map[demand.Key]struct{}, len(d.Entries))
	for _, e := range d.Entries {
		k := demand.Key{Workspace: e.Workspace, Model: e.Model}
		heard[k] = struct{}{}
		s.hearEntry(svc, from, e)
	}
	if !d.Full {
		return
	}
	for _, k := range svc.demand.Keys(from) {
		if _, ok := heard[k]; !ok {
			s.setDemand(svc, k, demand.Entry{Router: from})
		}
	}
}

func (s *Scheduler) hearEntry(svc *service, from state.Router, e DemandEntry) {
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
