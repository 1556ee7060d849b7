package scheduler

import (
	"slices"

	"github.com/figstile/figstile/coordination/fairness"
	"github.com/figstile/figstile/state"
)

// exchange sends the counters that changed since the last exchange to all
// peers.
func (s *Scheduler) exchange() {
	period := max(s.now.Sub(s.timers.lastExchange), TickInterval)
	s.timers.lastExchange = s.now
	full := s.now.Sub(s.timers.lastUsageRefresh) >= usageRefresh
	if full {
		s.timers.lastUsageRefresh = s.now
	}
	var entries []UsageEntry
	hasDemand := false
	for _, svc := range s.sortedServices() {
		s.refreshShares(svc)
		changed := svc.ledger.EndPeriod(period)
		if full {
			changed = withoutVirtual(svc.ledger.OwnEntries())
		}
		entries = append(entries, usageEntries(svc.name, changed)...)
		hasDemand = hasDemand || svc.ledger.BackloggedCount() > 0 && svc.shares[s.self.Router] > 0
	}
	if len(s.peers) == 0 || len(entries) == 0 && !hasDemand {
		return
	}
	// A message without changes still reports that nothing was granted. Without
	// it the peers would extrapolate grants of this owner from their own.
	s.sendUsage(SendUsage{Origin: s.self.Router, Incarnation: s.self.Incarnation, Entries: entries, Full: full})
}

// sendUsage sends counters in messages of at most maxUsageEntries.
//
// With thousands of workspaces, a single message with all counters was longer
// than a frame and was never sent, so that a lost counter was never replaced
// and a router that had just started received none. No part is marked as full,
// because a receiver could then take the counters in the other parts for zero.
func (s *Scheduler) sendUsage(usage SendUsage) {
	if len(usage.Entries) <= maxUsageEntries {
		s.emit(usage)
		return
	}
	for entries := range slices.Chunk(usage.Entries, maxUsageEntries) {
		message := usage
		message.Entries = entries
		message.Full = false
		s.emit(message)
	}
}

func withoutVirtual(entries []fairness.Entry) []fairness.Entry {
	for i := range entries {
		entries[i].Virtual = 0
	}
	return entries
}

func usageEntries(name state.Service, entries []fairness.Entry) []UsageEntry {
	list := make([]UsageEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, UsageEntry{
			Service: name, Workspace: e.Workspace,
			Charged: e.Charged, Reserved: e.Reserved, Lift: e.Lift, Virtual: e.Virtual,
		})
	}
	return list
}

func (s *Scheduler) receiveUsage(e UsageHeard) {
	origin := fairness.Origin{Router: e.Origin, Incarnation: e.Incarnation}
	if origin == originOf(s.self) {
		return
	}
	byService := make(map[state.Service][]fairness.Entry)
	for _, u := range e.Entries {
		s.service(u.Service)
		byService[u.Service] = append(byService[u.Service], fairness.Entry{
			Workspace: u.Workspace,
			Counter:   fairness.Counter{Charged: u.Charged, Reserved: u.Reserved},
			Lift:      u.Lift,
			Virtual:   u.Virtual,
		})
	}
	recentlyStarted := s.now.Sub(s.timers.started) <= adoptionPeriod
	for name, svc := range s.services {
		entries := byService[name]
		if len(entries) == 0 && !s.isLive(origin) {
			continue
		}
		svc.ledger.ReceiveCounters(origin, entries)
		if recentlyStarted {
			svc.ledger.AdoptVirtualTimes(entries)
		}
	}
}

func (s *Scheduler) isLive(o fairness.Origin) bool {
	p, ok := s.peers[o.Router]
	return ok && p.Incarnation == o.Incarnation
}

// chargeWorkspace adds served cost to the counter of a workspace and changes
// its reserved cost, both in cost units.
func (s *Scheduler) chargeWorkspace(name state.Service, w state.Workspace, served, reserved state.Cost) {
	if svc := s.service(name); svc != nil {
		svc.ledger.Charge(w, served, reserved)
	}
}
