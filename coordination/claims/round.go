package claims

import (
	"time"

	"github.com/figstile/figstile/state/result"
)

// applySettlement applies a completion or a release to the draft.
func (m *Machine) applySettlement(s *shardState, d *draft, o *op) {
	e := d.lookup(o.digest)
	isOwn := e != nil && e.Claim == o.claim
	switch {
	case isOwn && o.kind == opRelease:
		d.release(*e)
	case isOwn:
		updated := *e
		updated.Status = o.status
		d.put(updated)
	case o.cannotTakeEffect(s.lastPosition):
		m.pendingSettlements--
		return
	default:
		// The write that included the claim may still take effect. Any other
		// write changes the version, after which it cannot.
		d.forceWrite = true
	}
	s.round = append(s.round, o)
}

// applyClaim applies a claim to the draft. It returns false if the shard must
// be read before the claim can be decided.
func (m *Machine) applyClaim(now time.Time, s *shardState, d *draft, o *op) bool {
	e := d.lookup(o.digest)
	if e == nil && m.isFull(now, s) {
		m.refuseShardFull(now, s, o)
		return true
	}
	if e == nil {
		d.put(Entry{Digest: o.digest, Claim: o.claim, Status: StatusRunning, ClaimedAt: now})
		s.round = append(s.round, o)
		return true
	}
	if e.Claim == o.claim {
		// An earlier write whose answer was lost has taken effect.
		m.grantClaim(now, s, o)
		return true
	}
	if e.Status == StatusRunning && s.lastSegmentAsOf.Before(o.arrived) && d.edits[o.digest] == nil {
		// The claimer may have released the key since the last segment was
		// read.
		return false
	}
	m.decide(o, m.duplicateResult(now, e))
	m.releaseIfFenced(now, s, o)
	return true
}

// duplicateResult returns the result for a request whose key is blocked. It
// never states that the request did not run.
func (m *Machine) duplicateResult(now time.Time, e *Entry) result.Result {
	switch {
	case e.Status == StatusCompleted:
		return result.New(result.KeyCompleted, "")
	case e.Status == StatusUnknown, m.isOwnEarlierClaim(e), now.Sub(e.ClaimedAt) > maxInProgressTime:
		return result.New(result.KeyUnknown, "")
	default:
		return result.New(result.KeyInProgress, "").WithRetryAfter(progressRetry)
	}
}

// isOwnEarlierClaim reports whether a claim was made by an earlier incarnation
// of this router. Such a claim will never be completed, so waiting does not
// help the caller.
func (m *Machine) isOwnEarlierClaim(e *Entry) bool {
	return e.Claim.Router == m.self.router && e.Claim.Incarnation < m.self.incarnation
}

// grantClaim grants the right to run, unless the claimer was paused for so long
// that its caller no longer waits for the answer.
func (m *Machine) grantClaim(now time.Time, s *shardState, o *op) {
	late := now.Sub(o.arrived) > maxDecisionTime
	if !o.withdrawn && !late {
		m.decide(o, result.New(result.OK, ""))
		return
	}
	m.decide(o, m.unavailableResult(now, s))
	m.enqueue(s, &op{kind: opRelease, digest: o.digest, claim: o.claim, arrived: now})
}

// isFull reports whether a shard accepts no more claims.
func (m *Machine) isFull(now time.Time, s *shardState) bool {
	slotsOverLimit := len(s.chain.sealed) + m.limits.reservedSlots - int(m.limits.slots)
	if slotsOverLimit >= 0 && slotsOverLimit >= s.chain.expiredSegments(now) {
		return true
	}
	keys := len(s.chain.entries) + len(s.lastSegment.Entries)
	return keys >= m.limits.maxKeys && keys-s.lastSegment.expiredEntries(now) >= m.limits.maxKeys
}

// endCall records the end of the call in flight.
func (m *Machine) endCall(s *shardState) {
	s.callInFlight = callNone
	m.callsInFlight--
}

// markUnavailable records that the platform did not answer. Waiting claims are
// refused at once.
func (m *Machine) markUnavailable(now time.Time, s *shardState) {
	m.platformSuspect = true
	m.unavailableUntil = now.Add(unavailableRetry)
	m.refuseClaims(now, s)
	m.queueShard(s)
}

func (m *Machine) handleWriteDone(now time.Time, e WriteDone) {
	s := &m.shards[e.Shard]
	m.endCall(s)
	if s.emptying {
		m.finishEmptying(now, s, e.Outcome)
		return
	}
	round := s.round
	s.round = nil
	switch e.Outcome {
	case WriteOK:
		m.finishWrite(now, s, round, e.Version)
	case WriteConflict:
		m.platformSuspect = false
		s.contended = true
		s.urgent = true
		s.lastSegment = nil
		m.requeueRound(now, s, round)
	case WriteUnavailable:
		m.requeueRound(now, s, round)
		m.markUnavailable(now, s)
	default:
		// The answer was lost. Reading the segment again shows whether the
		// write took effect; until then, nothing runs on its claims.
		fenceAll(round, s.lastPosition)
		s.urgent = true
		s.lastSegment = nil
		m.requeueRound(now, s, round)
	}
	s.nextSegment = nil
	m.queueShard(s)
}

func fenceAll(round []*op, expected position) {
	for _, o := range round {
		o.fence = expected
		o.fenced = true
	}
}

// finishWrite makes the written segment the last segment and decides its
// claims.
func (m *Machine) finishWrite(now time.Time, s *shardState, round []*op, v Version) {
	m.platformSuspect = false
	s.lastSegment = s.nextSegment
	s.lastPosition.version = v
	s.lastSegmentAsOf = s.callStarted
	if s.lastSegment.Sealed {
		// No router can have created the next segment before this write took
		// effect, so the known state was current when the write began.
		s.advance()
		s.lastSegment = &Segment{Number: s.lastPosition.number}
	}
	for _, o := range round {
		if o.kind == opClaim {
			m.grantClaim(now, s, o)
			continue
		}
		m.pendingSettlements--
	}
}

// requeueRound puts the ops of a failed round back before those that arrived
// since. A claim that was withdrawn in the meantime is replaced by its release.
func (m *Machine) requeueRound(now time.Time, s *shardState, round []*op) {
	arrivedSince := s.waiting
	s.waiting = nil
	for _, o := range round {
		if o.kind == opClaim && o.withdrawn {
			m.releaseIfFenced(now, s, o)
			continue
		}
		s.waiting = append(s.waiting, o)
	}
	s.waiting = append(s.waiting, arrivedSince...)
}
