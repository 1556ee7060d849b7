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

// dispatchedRequest is a request that this router has sent to an upstream.
type dispatchedRequest struct {
	item *queue.Item
	// sequence is the sequence number of the grant at its owner.
	sequence uint64
	owner    Peer
	upstream state.Upstream
	// startedAt is when the request was sent to the upstream.
	startedAt time.Time
	cost      state.Cost
	// unreported is the part of cost that was not reported to the owner yet.
	unreported state.Cost
	// reserved is the cost that the owner has reserved. The grant contains it;
	// after that, each of the two routers doubles its own copy as the cost of
	// the request grows.
	reserved state.Cost
	// startAnnounced is set once the owner was informed that the grant is in
	// use.
	startAnnounced bool
}

// handleArrival queues a request or refuses it at once.
func (s *Scheduler) handleArrival(r Request) {
	item := queue.Item{
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
		s.refuse(&item, reason)
		return
	}
	svc := s.services[r.Service]
	if item.Deadline.IsZero() {
		item.Deadline = s.now.Add(s.defaultDeadline(svc))
	}
	limits := queue.Limits{Requests: svc.settings.Limits.QueueRequests, Bytes: svc.settings.Limits.QueueBytes}
	if code := s.queues.Admit(s.now, item, limits); code != result.OK {
		s.refuse(&item, result.New(code, ""))
		return
	}
	s.syncOwnDemand(svc, demandKey(item.Key))
}

// refusalReason returns the result to refuse a request with if it cannot be
// queued at all.
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
// longer than NoUpstreamGrace. A request queued then would probably be refused
// at its deadline anyway.
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

// isSuspected reports whether a request may have crashed as many upstreams as
// the quarantine allows, counting crashes that are not confirmed yet.
func (s *Scheduler) isSuspected(f state.Fingerprint) bool {
	unsettled := s.losses.Count(s.now, f)
	return unsettled > 0 && unsettled+s.quarantine.CrashCount(f) >= quarantine.BlockThreshold
}

// refuse gives a request its final answer. It adds a retry delay if the table
// of results provides for one.
func (s *Scheduler) refuse(item *queue.Item, r result.Result) {
	entry := result.Lookup(r.Code)
	if r.Detail == "" {
		r.Detail = entry.Meaning
	}
	if item.MaybeSent && r.Ran == result.RanNo {
		r = r.WithRan(result.RanUnknown)
	}
	if entry.Retry {
		wait := s.queues.EstimatedWait(s.now, item.Service, item.Workspace)
		r = r.WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	s.emit(Refuse{ID: item.ID, Result: r})
}

// handleCallerLeft removes a waiting request whose caller disconnected.
func (s *Scheduler) handleCallerLeft(id state.RequestID) {
	if item := s.queues.Remove(id); item != nil {
		s.syncAfterRemoval(item)
	}
}

func (s *Scheduler) syncAfterRemoval(item *queue.Item) {
	if svc := s.services[item.Service]; svc != nil {
		s.syncOwnDemand(svc, demandKey(item.Key))
	}
}

// handleTimeouts refuses requests whose deadline has passed and withdraws
// expired grants, except those whose request may still run.
func (s *Scheduler) handleTimeouts() {
	for _, item := range s.queues.TakeExpired(s.now) {
		s.syncAfterRemoval(item)
		code := result.DeadlinePassed
		if item.MaybeSent {
			code = result.UpstreamLost
		}
		s.refuse(item, result.New(code, ""))
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
// outstanding grants, or is unknown because there is no fresh load report. The
// routers that run long requests send no reports until the reservation is used
// up, so the lack of reports alone does not show that a request has ended.
func (s *Scheduler) mayStillRun(g *grants.Grant) bool {
	u := s.upstreams[g.Upstream]
	if u == nil {
		return false
	}
	r, fresh := u.tracker.LastReport(s.now)
	return !fresh || r.Running+r.Waiting >= u.tracker.Outstanding()
}

func (s *Scheduler) dispatch(item *queue.Item, sequence uint64, owner Peer, u state.Upstream) {
	item.Dispatches++
	item.LastUpstream = u
	s.running[item.ID] = &dispatchedRequest{item: item, sequence: sequence, owner: owner, upstream: u, startedAt: s.now}
	s.emit(Dispatch{ID: item.ID, Upstream: u, Attempt: item.Dispatches})
}

// handleProgressed records the cost of a running request. If another router
// owns the upstream, that router receives the cost with the announcement of the
// start, and then only once the request has used up its reservation: until then
// the whole reservation counts, whatever part of it was served, so that a
// message would not change the order of workspaces. When reports were sent
// every second, they were the largest part of the control traffic. If a router
// crashes, its unreported cost is lost, which is at most the reservation of
// each of its requests.
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

// startAnnouncement is the pending announcement of a grant that is in use and
// whose start the owner may not know of yet.
type startAnnouncement struct {
	id      state.RequestID
	attempt int
	due     time.Time
}

// announceStartAfter is the time after which the owner is informed that its
// grant is in use. It is short enough that the grant does not expire, and long
// enough that short requests have ended by then and need only the message about
// their end.
const announceStartAfter = grants.Lifetime / 2

// announceStarts informs owners of requests that have run for longer than
// announceStartAfter.
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

// reportTarget returns the router to report the cost of a request to, and the
// sequence number of its grant there. That is the router that granted it or, if
// that incarnation is no longer live, the current owner of the upstream, which
// does not know the grant. Without either, this router charges the cost itself,
// because it would not be counted anywhere else.
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

// handleEnded reports the end of a dispatch to the owner and, if the caller has
// no answer yet, retries the request or refuses it.
func (s *Scheduler) handleEnded(e Ended) {
	r := s.running[e.ID]
	if r == nil {
		return
	}
	delete(s.running, e.ID)
	item := r.item
	s.estimates.Learn(estimate.Key{Service: item.Service, Workspace: item.Workspace}, r.cost+e.Cost)
	s.reportEnd(r, e)
	s.reportSuspicion(r, e.Outcome)
	switch e.Outcome {
	case OutcomeServed:
		s.quarantine.Served(item.Fingerprint)
		s.losses.Forget(item.Fingerprint)
	case OutcomeNotSent:
		s.retry(item, result.UpstreamUnreachable)
	case OutcomeLost, OutcomeUnusable:
		item.MaybeSent = true
		s.retry(item, result.UpstreamLost)
	}
	s.markForGranting(item.Service)
}

func (s *Scheduler) reportEnd(r *dispatchedRequest, e Ended) {
	to, sequence := s.reportTarget(r)
	cost := r.takeUnreported() + e.Cost
	if e.Outcome == OutcomeUnusable {
		e.Outcome = OutcomeLost
	}
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

// retry puts a request back at the head of its queue if it may run twice and
// the retry budget of its workspace allows it. Otherwise it refuses the request
// at once.
func (s *Scheduler) retry(item *queue.Item, code result.Code) {
	svc := s.services[item.Service]
	switch {
	case s.quarantine.Blocked(s.now, item.Fingerprint):
		s.refuse(item, quarantinedResult())
	case s.isSuspected(item.Fingerprint):
		s.refuse(item, result.New(code, ""))
	case svc != nil && item.Deadline.After(s.now) && s.retries.Allow(s.now, item.Workspace, item.Repeatable, item.Dispatches):
		s.queues.Requeue(s.now, item)
		s.syncOwnDemand(svc, demandKey(item.Key))
	case item.MaybeSent:
		s.refuse(item, result.New(result.UpstreamLost, ""))
	default:
		s.refuse(item, result.New(code, ""))
	}
}
