package scheduler

import (
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/state"
)

func (s *Scheduler) handleReport(r state.LoadReport) {
	u := s.upstreams[r.Upstream]
	if u == nil || s.resumedRecently() {
		return
	}
	previousBoot := u.tracker.Boot()
	previousSlots := u.tracker.Slots()
	wasLeaving := u.tracker.Leaving()
	if u.tracker.RecordReport(s.now, r) {
		s.recordFailure(u, previousBoot)
	}
	if u.tracker.Leaving() && !wasLeaving && u.owner == s.self.Router {
		s.emit(SendLeaving{Upstream: u.name, Boot: r.Boot})
	}
	if u.tracker.Slots() != previousSlots {
		u.service.sharesStale = true
	}
	s.updateDeparture(u.service, u)
	s.updateUnusableSince(u.service)
	s.markForGranting(u.service.name)
}

func (s *Scheduler) handleUnreachable(name state.Upstream) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	u.tracker.DistrustReport()
	s.recordFailure(u, u.tracker.Boot())
	s.updateUnusableSince(u.service)
}

func (s *Scheduler) handleUpstreamLeaving(e UpstreamLeaving) {
	u := s.upstreams[e.Upstream]
	if u == nil {
		return
	}
	u.tracker.AnnounceDeparture(s.now, e.Boot)
	s.updateDeparture(u.service, u)
	s.updateUnusableSince(u.service)
}

// repeatLeaving keeps others from taking a draining upstream for usable once
// their memory of the announcement ends.
func (s *Scheduler) repeatLeaving() {
	for _, name := range s.owned {
		u := s.upstreams[name]
		if _, fresh := u.tracker.LastReport(s.now); fresh && u.tracker.Leaving() {
			s.emit(SendLeaving{Upstream: u.name, Boot: u.tracker.Boot()})
		}
	}
}

// acceptsWork reports whether an owned upstream may get new work.
func (s *Scheduler) acceptsWork(u *upstream) bool {
	return !u.settings.Draining && u.tracker.Usable(s.now) && !u.outlier.InCoolDown(s.now)
}

// updateUnusableSince keeps track of since when a service has no usable upstream.
func (s *Scheduler) updateUnusableSince(svc *service) {
	if s.hasUsableRemote(svc) || slices.ContainsFunc(svc.owned, s.acceptsWork) {
		svc.unusableSince = time.Time{}
		return
	}
	if svc.unusableSince.IsZero() {
		svc.unusableSince = s.now
	}
}

// recordOutcome judges an owned upstream by how dispatches end.
//
// Made for an upstream that fails at once: it always looks idle and would
// draw all the work of its owner. The last upstream that an owner has left is
// never taken out, unless other routers own more of the service: trying a bad
// upstream is better than having none.
func (s *Scheduler) recordOutcome(name state.Upstream, outcome Outcome) {
	u := s.upstreams[name]
	if u == nil || u.owner != s.self.Router {
		return
	}
	switch outcome {
	case OutcomeServed, OutcomeFailed:
		u.outlier.RecordSuccess()
	case OutcomeNotSent, OutcomeLost:
		if u.outlier.RecordFailure() && s.canSpare(u) {
			u.outlier.StartCoolDown(s.now)
		}
	}
}

func (s *Scheduler) canSpare(u *upstream) bool {
	for _, other := range u.service.owned {
		if other != u && s.acceptsWork(other) {
			return true
		}
	}
	return len(u.service.owned) == 1 && len(u.service.upstreams) > 1
}

// reportSuspicion tells all peers that the connection of a request was lost: they
// hold the request back, and the owner of the upstream judges. Only the owner
// sees load reports and can tell a crash from a broken connection. A crash
// without a boot is a suspicion.
func (s *Scheduler) reportSuspicion(r *dispatchedRequest, outcome Outcome) {
	if outcome != OutcomeLost && outcome != OutcomeTruncated || r.item.Fingerprint == 0 {
		return
	}
	u := s.upstreams[r.upstream]
	if u == nil {
		return
	}
	s.losses.Add(s.now, r.item.Fingerprint)
	s.emit(SendCrash{Fingerprint: r.item.Fingerprint, Upstream: u.name})
	if u.owner == s.self.Router {
		s.confirmOrSuspect(r.item.Fingerprint, u)
	}
}

func (s *Scheduler) receiveCrash(e CrashHeard) {
	if e.Boot != "" {
		s.quarantine.RecordCrash(s.now, e.Fingerprint, quarantine.Run{Upstream: e.Upstream, Boot: e.Boot})
		s.losses.ConfirmOldest(e.Fingerprint)
		return
	}
	s.losses.Add(s.now, e.Fingerprint)
	if u := s.upstreams[e.Upstream]; u != nil && u.owner == s.self.Router {
		s.confirmOrSuspect(e.Fingerprint, u)
	}
}

// crashAttributionWindow is how long after a fall was seen a lost connection still counts
// as its consequence: the time in which a router notices a closed connection
// and says so. A longer one charged the next run's crash to the run before,
// which was counted already, so that the second crash did not count at all.
const crashAttributionWindow = 500 * time.Millisecond

// confirmOrSuspect confirms a suspicion if the upstream was just seen to fall, or keeps
// it until that is known.
func (s *Scheduler) confirmOrSuspect(f state.Fingerprint, u *upstream) {
	if !u.lastFailure.IsZero() && s.now.Sub(u.lastFailure) <= crashAttributionWindow {
		s.confirmCrash(f, u)
		return
	}
	s.suspicions.Add(s.now, f, u.name)
}

// recordFailure notes that a run of an upstream is over.
func (s *Scheduler) recordFailure(u *upstream, boot string) {
	u.lastFailure = s.now
	u.failedBoot = boot
	for _, f := range s.suspicions.Confirm(s.now, u.name) {
		s.confirmCrash(f, u)
	}
}

func (s *Scheduler) confirmCrash(f state.Fingerprint, u *upstream) {
	s.losses.ConfirmOldest(f)
	if s.quarantine.RecordCrash(s.now, f, quarantine.Run{Upstream: u.name, Boot: u.failedBoot}) {
		s.emit(SendCrash{Fingerprint: f, Upstream: u.name, Boot: u.failedBoot})
	}
}
