package scheduler

import (
	"time"

	"github.com/figstile/figstile/coordination/estimate"
	"github.com/figstile/figstile/coordination/grants"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/queue"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// dispatchedRequest is a dispatched request.
type dispatchedRequest struct {
	item *queue.Item
	// sequence is the grant's number at its owner.
	sequence uint64
	owner    Peer
	upstream state.Upstream
	cost     state.Cost
	// unreported is the part of cost that the owner has not heard of.
	unreported state.Cost
	// reserved is what the owner has set aside; it doubles there as here.
	reserved state.Cost
	// startAnnounced says that the owner knows that the grant is in use.
	startAnnounced bool
}

// handleArrival admits a request or refuses it at once.
func (s *Scheduler) handleArrival(r Request) {
	it := queue.Item{
		Key:         queue.Key{Service: r.Service, Workspace: r.Workspace, Model: r.Model},
		ID:          r.ID,
		Bytes:       r.Bytes,
		CostHint:    r.CostHint,
		Arrived:     s.now,
		Deadline:    r.Deadline,
		Repeatable:  r.Repeatable,
		Fingerprint: r.Fingerprint,
	}
	if reason, ok := s.refusalReason(r); ok {
		s.refuse(&it, reason)
		return
	}
	svc := s.services[r.Service]
	if it.Deadline.IsZero() {
		it.Deadline = s.now.Add(s.defaultDeadline(svc))
	}
	limits := queue.Limits{Requests: svc.settings.Limits.QueueRequests, Bytes: svc.settings.Limits.QueueBytes}
	if code := s.queues.Admit(s.now, it, limits); code != result.OK {
		s.refuse(&it, result.New(code, ""))
		return
	}
	s.syncOwnDemand(svc, demandKey(it.Key))
}

// refusalReason names the reason why a request cannot be queued at all.
func (s *Scheduler) refusalReason(r Request) (result.Result, bool) {
	svc := s.services[r.Service]
	switch {
	case s.draining:
		return result.New(result.Draining, ""), true
	case !s.configured:
		return result.New(result.NotReady, ""), true
	case svc == nil || !svc.configured:
		return result.New(result.UnknownService, ""), true
	case !svc.offersModel(r.Model):
		return result.New(result.UnknownModel, ""), true
	case s.quarantine.Blocked(s.now, r.Fingerprint):
		return quarantinedResult(), true
	case s.isSuspected(r.Fingerprint):
		return suspectedResult(), true
	case s.lacksUpstreams(svc):
		return result.New(result.NoUpstream, ""), true
	}
	return result.Result{}, false
}

// lacksUpstreams reports whether a service has had no usable upstream for
// longer than the grace. Then queueing would only turn a refusal now into one
// at the deadline.
func (s *Scheduler) lacksUpstreams(svc *service) bool {
	return !svc.unusableSince.IsZero() && s.now.Sub(svc.unusableSince) > s.opts.NoUpstreamGrace
}

func (s *Scheduler) defaultDeadline(svc *service) time.Duration {
	if d := svc.settings.Limits.Deadline(); d > 0 {
		return d
	}
	return s.opts.Deadline
}

func quarantinedResult() result.Result {
	return result.New(result.Quarantined, "")
}

func suspectedResult() result.Result {
	return result.New(result.Suspected, "")
}

// isSuspected reports whether a request may have taken down as many upstreams as
// quarantine allows, some of it still unconfirmed.
func (s *Scheduler) isSuspected(f state.Fingerprint) bool {
	unsettled := s.losses.Count(s.now, f)
	return unsettled > 0 && unsettled+s.quarantine.CrashCount(f) >= quarantine.BlockThreshold
}

// refuse gives a request its final answer, with the time to come back where
// the table of results has one.
func (s *Scheduler) refuse(it *queue.Item, r result.Result) {
	entry := result.Lookup(r.Code)
	if r.Detail == "" {
		r.Detail = entry.Meaning
	}
	if it.MaybeSent && r.Ran == result.RanNo {
		r = r.WithRan(result.RanUnknown)
	}
	if entry.Retry {
		wait := s.queues.EstimatedWait(s.now, it.Service, it.Workspace)
		r = r.WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	s.emit(Refuse{ID: it.ID, Result: r})
}

// handleCallerLeft forgets a waiting request whose caller went away.
func (s *Scheduler) handleCallerLeft(id state.RequestID) {
	if it := s.queues.Remove(id); it != nil {
		s.syncAfterRemoval(it)
	}
}

func (s *Scheduler) syncAfterRemoval(it *queue.Item) {
	if svc := s.services[it.Service]; svc != nil {
		s.syncOwnDemand(svc, demandKey(it.Key))
	}
}

// expire answers requests whose deadline has come and frees unused grants.
func (s *Scheduler) expire() {
	for _, it := range s.queues.TakeExpired(s.now) {
		s.syncAfterRemoval(it)
		code := result.DeadlinePassed
		if it.MaybeSent {
			code = result.UpstreamLost
		}
		s.refuse(it, result.New(code, ""))
	}
	for _, g := range s.issuedGrants.TakeExpired(s.now) {
		if g.Started && s.mayStillRun(g) {
			s.issuedGrants.Reinsert(s.now, g)
			continue
		}
		s.withdrawGrant(g)
	}
}

// mayStillRun reports whether the load of an upstream accounts for all its
// outstanding grants. Long requests are silent until they outgrow their
// reservation, so silence alone proves nothing.
func (s *Scheduler) mayStillRun(g *grants.Grant) bool {
	u := s.upstreams[g.Upstream]
	if u == nil {
		return false
	}
	r, fresh := u.tracker.LastReport(s.now)
	return !fresh || r.Running+r.Waiting >= u.tracker.Outstanding()
}

func (s *Scheduler) dispatch(it *queue.Item, sequence uint64, owner Peer, u state.Upstream) {
	it.Dispatches++
	it.LastUpstream = u
	s.running[it.ID] = &dispatchedRequest{item: it, sequence: sequence, owner: owner, upstream: u}
	s.emit(Dispatch{ID: it.ID, Upstream: u, Attempt: it.Dispatches})
}

// handleProgressed notes cost of a running request. An owner elsewhere hears of it
// once the request has outgrown its reservation: until then the reservation
// counts in full whatever was served of it, so that a message would change
// nobody's turn. Reported every second, progress was the largest part of the
// control traffic. What a router that dies had not reported is lost, at most
// the reservation of each of its requests.
func (s *Scheduler) handleProgressed(id state.RequestID, cost state.Cost) {
	r := s.running[id]
	if r == nil {
		return
	}
	r.cost += cost
	r.unreported += cost
	to, sequence := s.reportTarget(r)
	if to == s.self.Router {
		s.receiveProgress(ProgressHeard{
			From: to, Sequence: sequence, Upstream: r.upstream,
			Service: r.item.Service, Workspace: r.item.Workspace, Cost: r.takeUnreported(),
		})
		return
	}
	if r.cost < r.reserved {
		return
	}
	for r.reserved <= r.cost {
		r.reserved = max(1, 2*r.reserved)
	}
	s.sendProgress(r, to, sequence)
}

func (r *dispatchedRequest) takeUnreported() state.Cost {
	cost := r.unreported
	r.unreported = 0
	return cost
}

func (s *Scheduler) sendProgress(r *dispatchedRequest, to state.Router, sequence uint64) {
	r.startAnnounced = true
	s.emit(SendProgress{
		To: to, Sequence: sequence, Upstream: r.upstream,
		Service: r.item.Service, Workspace: r.item.Workspace, Cost: r.takeUnreported(), Started: true,
	})
}

// startAnnouncement is a grant in use that its owner may not know of yet.
type startAnnouncement struct {
	id      state.RequestID
	attempt int
	due     time.Time
}

// announceStartAfter is when an owner hears that its grant is in use: early enough
// that the grant does not expire, late enough that short requests have ended
// and need no message but that.
const announceStartAfter = grants.Lifetime / 2

// announceStarts tells owners of requests that run for longer than a moment.
func (s *Scheduler) announceStarts() {
	for len(s.unannouncedStarts) > 0 && !s.now.Before(s.unannouncedStarts[0].due) {
		next := s.unannouncedStarts[0]
		s.unannouncedStarts = s.unannouncedStarts[1:]
		r := s.running[next.id]
		if r == nil || r.startAnnounced || r.item.Dispatches != next.attempt {
			continue
		}
		if to, sequence := s.reportTarget(r); to != s.self.Router {
			s.sendProgress(r, to, sequence)
		}
	}
}

// reportTarget names the router to charge a run to: the granting one, or if that
// incarnation is gone, the present owner of the upstream, which knows no such
// grant. With neither, this router charges the cost itself, or it would count
// for nobody.
func (s *Scheduler) reportTarget(r *dispatchedRequest) (state.Router, uint64) {
	if r.owner.Router == s.self.Router {
		return s.self.Router, r.sequence
	}
	if p, ok := s.peers[r.owner.Router]; ok && p.Incarnation == r.owner.Incarnation {
		return p.Router, r.sequence
	}
	if u := s.upstreams[r.upstream]; u != nil && u.owner != "" {
		return u.owner, 0
	}
	return s.self.Router, 0
}

// handleEnded settles a dispatch with the owner and, if the caller has no answer yet,
// tries again or refuses.
func (s *Scheduler) handleEnded(e Ended) {
	r := s.running[e.ID]
	if r == nil {
		return
	}
	delete(s.running, e.ID)
	it := r.item
	s.estimates.Learn(estimate.Key{Service: it.Service, Workspace: it.Workspace}, r.cost+e.Cost)
	s.reportEnd(r, e)
	s.reportSuspicion(r, e.Outcome)
	switch e.Outcome {
	case OutcomeServed:
		s.quarantine.ForgetUnblocked(it.Fingerprint)
		s.losses.Forget(it.Fingerprint)
	case OutcomeNotSent:
		s.retry(it, result.UpstreamUnreachable)
	case OutcomeLost:
		it.MaybeSent = true
		s.retry(it, result.UpstreamLost)
	}
	s.markForGranting(it.Service)
}

func (s *Scheduler) reportEnd(r *dispatchedRequest, e Ended) {
	to, sequence := s.reportTarget(r)
	cost := r.takeUnreported() + e.Cost
	if to == s.self.Router {
		s.settleGrant(EndedHeard{
			From: to, Sequence: sequence, Upstream: r.upstream,
			Service: r.item.Service, Workspace: r.item.Workspace, Cost: cost, Outcome: e.Outcome,
		})
		return
	}
	s.emit(SendEnded{
		To: to, Sequence: sequence, Upstream: r.upstream,
		Service: r.item.Service, Workspace: r.item.Workspace, Cost: cost, Outcome: e.Outcome,
	})
}

// retry queues a request once more, at the head, if it may run twice and the
// workspace's budget allows. Otherwise its caller hears at once what is known.
func (s *Scheduler) retry(it *queue.Item, code result.Code) {
	svc := s.services[it.Service]
	switch {
	case s.quarantine.Blocked(s.now, it.Fingerprint):
		s.refuse(it, quarantinedResult())
	case s.isSuspected(it.Fingerprint):
		s.refuse(it, result.New(code, ""))
	case svc != nil && it.Deadline.After(s.now) && s.retries.Allow(s.now, it.Workspace, it.Repeatable, it.Dispatches):
		s.queues.Requeue(s.now, it)
		s.syncOwnDemand(svc, demandKey(it.Key))
	case it.MaybeSent:
		s.refuse(it, result.New(result.UpstreamLost, ""))
	default:
		s.refuse(it, result.New(code, ""))
	}
}
