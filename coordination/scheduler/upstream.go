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

// repeatLeaving announces draining upstreams again, so that other routers do
// not treat them as usable when the earlier announcement expires.
func (s *Scheduler) repeatLeaving() {
	for _, name := range s.owned {
		u := s.upstreams[name]
		if _, fresh := u.tracker.LastReport(s.now); fresh && u.tracker.Leaving() {
			s.emit(SendLeaving{Upstream: u.name, Boot: u.tracker.Boot()})
		}
	}
}

// acceptsWork reports whether an owned upstream may receive new requests.
func (s *Scheduler) acceptsWork(u *upstream) bool {
	return !u.settings.Draining && u.tracker.Usable(s.now) && !u.outlier.InCoolDown(s.now)
}

// updateUnusableSince records since when a service has had no usable upstream.
func (s *Scheduler) updateUnusableSince(svc *service) {
	if s.hasUsableRemote(svc) || slices.ContainsFunc(svc.owned, s.acceptsWork) {
		svc.unusableSince = time.Time{}
		return
	}
	if svc.unusableSince.IsZero() {
		svc.unusableSince = s.now
	}
}

// recordOutcome updates the outlier detector of an owned upstream with the
// outcome of a dispatch.
//
// An upstream that fails every request at once always looks idle and would
// attract all requests of its owner, so it is excluded for a cool-down. An
// owner's last usable upstream is not excluded, because trying it is better
// than having none, unless it is the only one that the owner has and other
// routers own further upstreams of the service.
func (s *Scheduler) recordOutcome(name state.Upstream, outcome Outcome) {
	u := s.upstreams[name]
	if u == nil || u.owner != s.self.Router {
		return
	}
	switch outcome {
	case OutcomeServed, OutcomeFailed:
		u.outlier.RecordSuccess()
	case OutcomeNotSent, OutcomeLost:
		if u.outlier.RecordFailure() && s.canExclude(u) {
			u.outlier.StartCoolDown(s.now)
		}
	}
}

func (s *Scheduler) canExclude(u *upstream) bool {
	for _, other := range u.service.owned {
		if other != u && s.acceptsWork(other) {
			return true
		}
	}
	return len(u.service.owned) == 1 && len(u.service.upstreams) > 1
}

// reportSuspicion reports to all peers that the connection of a request was
// lost. They count the loss and refuse the request if isSuspected says so. The
// owner of the upstream decides whether it was a crash, because only the owner
// receives load reports and can distinguish a crash from a broken connection. A
// crash message with an empty Boot is a suspicion.
func (s *Scheduler) reportSuspicion(r *dispatchedRequest, outcome Outcome) {
	if outcome != OutcomeLost && outcome != OutcomeTruncated || r.item.Fingerprint == 0 {
		return
	}
	u := s.upstreams[r.upstream]
	if u == nil {
		return
	}
	loss := quarantine.Loss{StartedAt: r.startedAt, LostAt: s.now}
	s.losses.Add(s.now, r.item.Fingerprint)
	s.emit(SendCrash{Fingerprint: r.item.Fingerprint, Upstream: u.name, Loss: s.lossAge(loss)})
	if u.owner == s.self.Router {
		s.confirmOrSuspect(r.item.Fingerprint, u, loss)
	}
}

func (s *Scheduler) lossAge(loss quarantine.Loss) LossAge {
	return LossAge{Started: s.now.Sub(loss.StartedAt), Lost: s.now.Sub(loss.LostAt)}
}

func (s *Scheduler) receiveCrash(e CrashHeard) {
	loss := quarantine.Loss{StartedAt: s.now.Add(-e.Loss.Started), LostAt: s.now.Add(-e.Loss.Lost)}
	if e.Boot != "" {
		s.quarantine.RecordCrash(s.now, e.Fingerprint, quarantine.Run{Upstream: e.Upstream, Boot: e.Boot}, loss)
		s.losses.ConfirmOldest(e.Fingerprint)
		return
	}
	s.losses.Add(s.now, e.Fingerprint)
	if u := s.upstreams[e.Upstream]; u != nil && u.owner == s.self.Router {
		s.confirmOrSuspect(e.Fingerprint, u, loss)
	}
}

// crashAttributionWindow is the time after a crash or restart of an upstream
// was seen within which the loss of a connection is attributed to it. A router
// detects a closed connection and reports it within this time. With a longer
// window, the crash of the next run was attributed to the run before, which was
// counted already, so that the second crash was not counted at all.
const crashAttributionWindow = 500 * time.Millisecond

// confirmOrSuspect confirms a suspicion if a failure of the upstream was seen
// within crashAttributionWindow. Otherwise it stores the suspicion until a
// failure is seen.
func (s *Scheduler) confirmOrSuspect(f state.Fingerprint, u *upstream, loss quarantine.Loss) {
	if !u.lastFailure.IsZero() && s.now.Sub(u.lastFailure) <= crashAttributionWindow {
		s.confirmCrash(f, u, loss)
		return
	}
	s.suspicions.Add(f, u.name, loss)
}

// recordFailure records that a run of an upstream has ended.
func (s *Scheduler) recordFailure(u *upstream, boot string) {
	u.lastFailure = s.now
	u.failedBoot = boot
	for _, suspect := range s.suspicions.Confirm(s.now, u.name) {
		s.confirmCrash(suspect.Fingerprint, u, suspect.Loss)
	}
}

func (s *Scheduler) confirmCrash(f state.Fingerprint, u *upstream, loss quarantine.Loss) {
	s.losses.ConfirmOldest(f)
	if s.quarantine.RecordCrash(s.now, f, quarantine.Run{Upstream: u.name, Boot: u.failedBoot}, loss) {
		s.emit(SendCrash{Fingerprint: f, Upstream: u.name, Boot: u.failedBoot, Loss: s.lossAge(loss)})
	}
}
