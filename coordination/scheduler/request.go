package scheduler

import (
	"time"

	"github.com/figstile/figstile/coordination/estimate"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/queue"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// run is a dispatched request.
type run struct {
	item *queue.Item
	// sequence is the grant's number at its owner.
	sequence uint64
	owner    Peer
	upstream state.Upstream
	cost     state.Cost
}

// arrive admits a request or refuses it at once.
func (s *Scheduler) arrive(r Request) {
	it := queue.Item{
		Key:         queue.Key{Service: r.Service, Workspace: r.Workspace, Model: r.Model},
		ID:          r.ID,
		Bytes:       r.Bytes,
		Hint:        r.CostHint,
		Arrived:     s.now,
		Deadline:    r.Deadline,
		Repeatable:  r.Repeatable,
		Fingerprint: r.Fingerprint,
	}
	if reason, ok := s.inadmissible(r); ok {
		s.refuse(&it, reason)
		return
	}
	svc := s.services[r.Service]
	if it.Deadline.IsZero() {
		it.Deadline = s.now.Add(s.deadline(svc))
	}
	limits := queue.Limits{Requests: svc.settings.Limits.QueueRequests, Bytes: svc.settings.Limits.QueueBytes}
	if code := s.queues.Admit(s.now, it, limits); code != result.OK {
		s.refuse(&it, result.New(code, ""))
		return
	}
	s.syncOwn(svc, demandKey(it.Key))
}

// inadmissible names the reason why a request cannot be queued at all.
func (s *Scheduler) inadmissible(r Request) (result.Result, bool) {
	svc := s.services[r.Service]
	switch {
	case s.draining:
		return result.New(result.Draining, ""), true
	case !s.configured:
		return result.New(result.NotReady, ""), true
	case svc == nil || !svc.configured:
		return result.New(result.UnknownService, ""), true
	case !svc.offers(r.Model):
		return result.New(result.UnknownModel, ""), true
	case s.quarantine.Blocked(s.now, r.Fingerprint):
		return quarantined(), true
	case s.onHold(r.Fingerprint):
		return suspected(), true
	case s.outOfUpstreams(svc):
		return result.New(result.NoUpstream, ""), true
	}
	return result.Result{}, false
}

// outOfUpstreams reports whether a service has had no usable upstream for
// longer than the grace. Then queueing would only turn a refusal now into one
// at the deadline.
func (s *Scheduler) outOfUpstreams(svc *service) bool {
	return !svc.unusableSince.IsZero() && s.now.Sub(svc.unusableSince) > s.opts.NoUpstreamGrace
}

func (s *Scheduler) deadline(svc *service) time.Duration {
	if d := svc.settings.Limits.Deadline(); d > 0 {
		return d
	}
	return s.opts.Deadline
}

func quarantined() result.Result {
	return result.New(result.Quarantined, "")
}

func suspected() result.Result {
	return result.New(result.Suspected, "")
}

// onHold reports whether a request may have taken down as many upstreams as
// quarantine allows, some of it still unconfirmed.
func (s *Scheduler) onHold(f state.Fingerprint) bool {
	unsettled := s.losses.Count(s.now, f)
	return unsettled > 0 && unsettled+s.quarantine.Fallen(f) >= quarantine.Threshold
}

// refuse gives a request its final answer, with the time to come back where
// the table of results has one.
func (s *Scheduler) refuse(it *queue.Item, r result.Result) {
	entry := result.Lookup(r.Code)
	if r.Detail == "" {
		r.Detail = entry.Meaning
	}
	if it.Sent && r.Ran == result.RanNo {
		r = r.WithRan(result.RanUnknown)
	}
	if entry.Retry {
		wait := s.queues.Wait(s.now, it.Service, it.Workspace)
		r = r.After(min(max(wait, minRetryAfter), maxRetryAfter))
	}
	s.do(Refuse{ID: it.ID, Result: r})
}

// leave forgets a waiting request whose caller went away.
func (s *Scheduler) leave(id state.RequestID) {
	if it := s.queues.Remove(id); it != nil {
		s.dequeued(it)
	}
}

func (s *Scheduler) dequeued(it *queue.Item) {
	if svc := s.services[it.Service]; svc != nil {
		s.syncOwn(svc, demandKey(it.Key))
	}
}

// expire answers requests whose deadline has come and frees unused grants.
func (s *Scheduler) expire() {
	for _, it := range s.queues.Expired(s.now) {
		s.dequeued(it)
		code := result.DeadlinePassed
		if it.Sent {
			code = result.UpstreamLost
		}
		s.refuse(it, result.New(code, ""))
	}
	for _, g := range s.given.Expired(s.now) {
		s.withdraw(g)
	}
}

func (s *Scheduler) dispatch(it *queue.Item, sequence uint64, owner Peer, u state.Upstream) {
	it.Dispatches++
	it.Last = u
	s.running[it.ID] = &run{item: it, sequence: sequence, owner: owner, upstream: u}
	s.do(Dispatch{ID: it.ID, Upstream: u, Attempt: it.Dispatches})
}

// progress reports cost of a running request to the owner of its upstream.
func (s *Scheduler) progress(id state.RequestID, cost state.Cost) {
	r := s.running[id]
	if r == nil {
		return
	}
	r.cost += cost
	to, sequence := s.reportTo(r)
	if to == s.self.Router {
		s.hearProgress(ProgressHeard{
			From: to, Sequence: sequence, Upstream: r.upstream,
			Service: r.item.Service, Workspace: r.item.Workspace, Cost: cost,
		})
		return
	}
	s.do(SendProgress{
		To: to, Sequence: sequence, Upstream: r.upstream,
		Service: r.item.Service, Workspace: r.item.Workspace, Cost: cost,
	})
}

// reportTo names the router to charge a run to: the granting one, or if that
// incarnation is gone, the present owner of the upstream, which knows no such
// grant. With neither, this router charges the cost itself, or it would count
// for nobody.
func (s *Scheduler) reportTo(r *run) (state.Router, uint64) {
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

// end settles a dispatch with the owner and, if the caller has no answer yet,
// tries again or refuses.
func (s *Scheduler) end(e Ended) {
	r := s.running[e.ID]
	if r == nil {
		return
	}
	delete(s.running, e.ID)
	it := r.item
	s.estimates.Learn(estimate.Key{Service: it.Service, Workspace: it.Workspace}, r.cost+e.Cost)
	s.reportEnd(r, e)
	s.suspect(r, e.Outcome)
	switch e.Outcome {
	case OutcomeServed:
		s.quarantine.Absolve(it.Fingerprint)
		s.losses.Forget(it.Fingerprint)
	case OutcomeNotSent:
		s.retry(it, result.UpstreamUnreachable)
	case OutcomeLost:
		it.Sent = true
		s.retry(it, result.UpstreamLost)
	}
	s.touch(it.Service)
}

func (s *Scheduler) reportEnd(r *run, e Ended) {
	to, sequence := s.reportTo(r)
	if to == s.self.Router {
		s.ended(EndedHeard{
			From: to, Sequence: sequence, Upstream: r.upstream,
			Service: r.item.Service, Workspace: r.item.Workspace, Cost: e.Cost, Outcome: e.Outcome,
		})
		return
	}
	s.do(SendEnded{
		To: to, Sequence: sequence, Upstream: r.upstream,
		Service: r.item.Service, Workspace: r.item.Workspace, Cost: e.Cost, Outcome: e.Outcome,
	})
}

// retry queues a request once more, at the head, if it may run twice and the
// workspace's budget allows. Otherwise its caller hears at once what is known.
func (s *Scheduler) retry(it *queue.Item, code result.Code) {
	svc := s.services[it.Service]
	switch {
	case s.quarantine.Blocked(s.now, it.Fingerprint):
		s.refuse(it, quarantined())
	case s.onHold(it.Fingerprint):
		s.refuse(it, result.New(code, ""))
	case svc != nil && it.Deadline.After(s.now) && s.retries.Allow(s.now, it.Workspace, it.Repeatable, it.Dispatches):
		s.queues.Requeue(s.now, it)
		s.syncOwn(svc, demandKey(it.Key))
	case it.Sent:
		s.refuse(it, result.New(result.UpstreamLost, ""))
	default:
		s.refuse(it, result.New(code, ""))
	}
}
