package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/demand"
	"github.com/figstile/figstile/coordination/fairness"
	"github.com/figstile/figstile/coordination/ownership"
	"github.com/figstile/figstile/state"
)

func (s *Scheduler) setPeers(list []Peer) {
	before := s.peers
	s.peers = make(map[state.Router]Peer, len(list))
	for _, p := range list {
		if p.Router != s.self.Router {
			s.peers[p.Router] = p
		}
	}
	var appeared []state.Router
	for _, old := range sortedPeers(before) {
		if p, ok := s.peers[old.Router]; !ok || p.Incarnation != old.Incarnation {
			s.removePeer(old.Router)
		}
	}
	for _, p := range sortedPeers(s.peers) {
		if old, ok := before[p.Router]; !ok || old.Incarnation != p.Incarnation {
			appeared = append(appeared, p.Router)
		}
	}
	s.refreshOwners()
	for _, r := range appeared {
		s.sendCountersTo(r)
	}
}

func sortedPeers(peers map[state.Router]Peer) []Peer {
	list := slices.Collect(maps.Values(peers))
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Router, b.Router) })
	return list
}

// removePeer forgets a router that is no longer live. Its demand would attract
// grants that would never be used, and the slots of its grants that were not
// started are free at once. Requests that it started may still run in the
// upstream, which only the load report shows.
func (s *Scheduler) removePeer(r state.Router) {
	s.seenGrants.ForgetOwner(r)
	for _, g := range s.issuedGrants.RemoveRouter(r) {
		s.chargeWorkspace(g.Service, g.Workspace, 0, -g.Remaining())
		u := s.upstreams[g.Upstream]
		if u == nil {
			continue
		}
		if g.Started {
			u.tracker.DisownGrant()
		} else {
			u.tracker.ReleaseGrant(s.now)
		}
		s.markForGranting(g.Service)
	}
	for _, svc := range s.sortedServices() {
		delete(svc.announcedDemand, r)
		for _, k := range svc.demand.Keys(r) {
			s.setDemand(svc, k, demand.Entry{Router: r})
			svc.ledger.DemandLost(k.Workspace)
		}
	}
}

// refreshOwners recomputes owners and everything that depends on them after a
// change of routers or of upstreams.
func (s *Scheduler) refreshOwners() {
	ownersChanged := s.reassignUpstreams()
	s.sendOwned()
	for _, svc := range s.sortedServices() {
		if ownersChanged {
			s.partitionUpstreams(svc)
		}
		svc.sharesStale = true
		s.refreshShares(svc)
		s.refreshAnnouncedDemand(svc)
		s.updateUnusableSince(svc)
		s.markForGranting(svc.name)
	}
}

// reassignUpstreams computes the owner of every upstream and reports whether
// any may have changed.
//
// In a large fleet hundreds of routers restart or leave every day. A restart
// that arrives as a single change moves no upstream, and any other change moves
// only a few.
func (s *Scheduler) reassignUpstreams() bool {
	before := s.ownerTable
	candidates := s.ownerCandidates()
	if before != nil && slices.Equal(candidates, s.candidates) {
		return false
	}
	s.candidates = candidates
	s.ownerTable = ownership.New(candidates)
	if before == nil {
		s.assignAll()
		return true
	}
	return s.reassignChanged(ownership.NewChange(before, s.ownerTable))
}

func (s *Scheduler) ownerCandidates() []ownership.Candidate {
	candidates := []ownership.Candidate{{Router: s.self.Router, DataCentre: s.self.DataCentre, Draining: s.draining}}
	for _, p := range sortedPeers(s.peers) {
		candidates = append(candidates, ownership.Candidate{Router: p.Router, DataCentre: p.DataCentre, Draining: p.Draining})
	}
	return candidates
}

func (s *Scheduler) assignAll() {
	for _, u := range s.orderedUpstreams {
		u.setOwner(s.now, s.ownerTable.Owner(u.name, u.settings.DataCentre))
	}
}

// reassignChanged moves the upstreams whose owner departed, or whose owner now
// ranks below a router that joined.
func (s *Scheduler) reassignChanged(change *ownership.Change) bool {
	if change.IsEmpty() {
		return false
	}
	for _, u := range s.orderedUpstreams {
		u.setOwner(s.now, change.Owner(u.name, u.settings.DataCentre, u.owner))
	}
	return true
}

func (u *upstream) setOwner(now time.Time, owner state.Router) {
	if owner == u.owner {
		return
	}
	u.owner = owner
	u.service.ownersChangedAt = now
	u.tracker.DistrustReport()
}

// sendOwned informs the host of the upstreams whose load reports it should
// fetch.
func (s *Scheduler) sendOwned() {
	var owned []state.Upstream
	for _, u := range s.orderedUpstreams {
		if u.owner == s.self.Router {
			owned = append(owned, u.name)
		}
	}
	if s.ownedSent && slices.Equal(owned, s.owned) {
		return
	}
	s.owned = owned
	s.ownedSent = true
	s.emit(Owned{Upstreams: owned})
}

// refreshShares passes the fraction of the slots that each router owns to the
// ledger.
func (s *Scheduler) refreshShares(svc *service) {
	if !svc.sharesStale {
		return
	}
	svc.sharesStale = false
	total := 0.0
	byOwner := make(map[state.Router]float64)
	assumedSlots := meanSlots(svc.upstreams)
	for _, u := range svc.upstreams {
		n := float64(u.tracker.Slots())
		if n == 0 {
			n = assumedSlots
		}
		if u.settings.Draining {
			n = 0
		}
		byOwner[u.owner] += n
		total += n
	}
	for r := range byOwner {
		byOwner[r] /= max(total, 1)
	}
	if maps.Equal(byOwner, svc.shares) && svc.ledger.HasPeers(s.origins()) {
		return
	}
	svc.shares = byOwner
	peers := make([]fairness.Peer, 0, len(s.peers))
	for _, p := range sortedPeers(s.peers) {
		peers = append(peers, fairness.Peer{Origin: originOf(p), Share: byOwner[p.Router]})
	}
	svc.ledger.SetPeers(byOwner[s.self.Router], peers)
}

// meanSlots returns the mean of the known slot counts. It stands in for the
// slots of upstreams of other owners, whose reports this router does not
// receive.
func meanSlots(upstreams []*upstream) float64 {
	sum, known := 0, 0
	for _, u := range upstreams {
		if n := u.tracker.Slots(); n > 0 {
			sum += n
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return float64(sum) / float64(known)
}

func originOf(p Peer) fairness.Origin {
	return fairness.Origin{Router: p.Router, Incarnation: p.Incarnation}
}

func (s *Scheduler) origins() []fairness.Origin {
	list := make([]fairness.Origin, 0, len(s.peers))
	for _, p := range sortedPeers(s.peers) {
		list = append(list, originOf(p))
	}
	return list
}

// sendCountersTo sends a router that has just joined the counters that it
// cannot get elsewhere: first those of incarnations that are no longer live,
// then this router's own, together with the virtual times that result from all
// of them.
func (s *Scheduler) sendCountersTo(r state.Router) {
	removedEntries := make(map[fairness.Origin][]UsageEntry)
	var removedOrigins []fairness.Origin
	var own []UsageEntry
	for _, svc := range s.sortedServices() {
		for _, removed := range svc.ledger.RemovedOrigins() {
			if _, ok := removedEntries[removed.Origin]; !ok {
				removedOrigins = append(removedOrigins, removed.Origin)
			}
			removedEntries[removed.Origin] = append(removedEntries[removed.Origin], usageEntries(svc.name, removed.Entries)...)
		}
		own = append(own, usageEntries(svc.name, svc.ledger.OwnEntries())...)
	}
	for _, o := range removedOrigins {
		s.sendUsage(SendUsage{To: r, Origin: o.Router, Incarnation: o.Incarnation, Entries: removedEntries[o]})
	}
	s.sendUsage(SendUsage{To: r, Origin: s.self.Router, Incarnation: s.self.Incarnation, Entries: own, Full: true})
}
