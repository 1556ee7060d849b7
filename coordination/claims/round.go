package claims

import (
	"time"

	"github.com/figstile/figstile/state/result"
)

// settle applies a completion or a release to the draft.
func (m *Machine) settle(s *shardState, d *draft, o *op) {
	e := d.lookup(o.digest)
	own := e != nil && e.Claim == o.claim
	switch {
	case own && o.kind == opRelease:
		d.release(*e)
	case own:
		done := *e
		done.Status = o.status
		d.put(done)
	case o.settled(s.last):
		m.settling--
		return
	default:
		// The write that carried the claim may yet land. Any write moves
		// the version on, after which it cannot.
		d.touch = true
	}
	s.round = append(s.round, o)
}

// claim applies a claim to the draft. It returns false if the shard must be
// read before the claim can be decided.
func (m *Machine) claim(now time.Time, s *shardState, d *draft, o *op) bool {
	e := d.lookup(o.digest)
	if e == nil && m.full(now, s) {
		m.refuseFull(now, s, o)
		return true
	}
	if e == nil {
		d.put(Entry{Digest: o.digest, Claim: o.claim, Status: StatusRunning, At: now})
		s.round = append(s.round, o)
		return true
	}
	if e.Claim == o.claim {
		// An earlier write whose answer was lost did land.
		m.grant(now, s, o)
		return true
	}
	if e.Status == StatusRunning && s.asOf.Before(o.arrived) && d.edits[o.digest] == nil {
		// The claimer may have released the key since the copy was read.
		return false
	}
	m.decide(o, m.duplicate(now, e))
	m.release(now, s, o)
	return true
}

// duplicate answers a request whose key is taken. It never says that the
// request did not run.
func (m *Machine) duplicate(now time.Time, e *Entry) result.Result {
	switch {
	case e.Status == StatusCompleted:
		return result.New(result.KeyCompleted, "")
	case e.Status == StatusUnknown, m.claimerGone(e), now.Sub(e.At) > inProgressFor:
		return result.New(result.KeyUnknown, "")
	default:
		return result.New(result.KeyInProgress, "").After(progressRetry)
	}
}

// claimerGone recognises claims of this router's own earlier runs: nobody will
// complete them, so waiting does not help the caller.
func (m *Machine) claimerGone(e *Entry) bool {
	return e.Claim.Router == m.self.router && e.Claim.Incarnation < m.self.incarnation
}

// grant gives the right to run, unless the claimer was paused for so long that
// the answer comes too late to be used.
func (m *Machine) grant(now time.Time, s *shardState, o *op) {
	late := now.Sub(o.arrived) > decideWithin
	if !o.withdrawn && !late {
		m.decide(o, result.New(result.OK, ""))
		return
	}
	m.decide(o, m.unavailable(now, s))
	m.enqueue(s, &op{kind: opRelease, digest: o.digest, claim: o.claim, arrived: now})
}

// full says whether a shard takes no more claims.
func (m *Machine) full(now time.Time, s *shardState) bool {
	slots := len(s.chain.sealed) + m.limits.reserved - int(m.limits.slots)
	if slots >= 0 && slots >= s.chain.expiredSegments(now) {
		return true
	}
	keys := len(s.chain.records) + len(s.copy.Entries)
	return keys >= m.limits.keys && keys-s.copy.expiredEntries(now) >= m.limits.keys
}

// land ends the call in flight.
func (m *Machine) land(s *shardState) {
	s.flight = flightNone
	m.flights--
}

// fail notes that the platform did not answer. Claims hear so at once.
func (m *Machine) fail(now time.Time, s *shardState) {
	m.suspect = true
	m.awayUntil = now.Add(awayFor)
	m.refuseClaims(now, s)
	m.queueShard(s)
}

func (m *Machine) writeDone(now time.Time, e WriteDone) {
	s := &m.shards[e.Shard]
	m.land(s)
	if s.emptying {
		m.emptied(now, s, e.Outcome)
		return
	}
	round := s.round
	s.round = nil
	switch e.Outcome {
	case WriteOK:
		m.written(now, s, round, e.Version)
	case WriteConflict:
		m.suspect = false
		s.contended = true
		s.urgent = true
		s.copy = nil
		m.retry(now, s, round)
	case WriteUnavailable:
		m.retry(now, s, round)
		m.fail(now, s)
	default:
		// The answer was lost. Reading back tells whether the write
		// landed; until then nothing is run on it.
		fenceAll(round, s.last)
		s.urgent = true
		s.copy = nil
		m.retry(now, s, round)
	}
	s.next = nil
	m.queueShard(s)
}

func fenceAll(round []*op, expected position) {
	for _, o := range round {
		o.fence = expected
		o.fenced = true
	}
}

// written makes the write's content the copy and decides its claims.
func (m *Machine) written(now time.Time, s *shardState, round []*op, v Version) {
	m.suspect = false
	s.copy = s.next
	s.last.version = v
	s.asOf = s.begun
	if s.copy.Sealed {
		// Nobody can have created the next segment before this write took
		// effect, so what is known was current when it began.
		s.advance()
		s.copy = &Segment{Number: s.last.number}
	}
	for _, o := range round {
		if o.kind == opClaim {
			m.grant(now, s, o)
			continue
		}
		m.settling--
	}
}

// retry puts the ops of a failed round back before those that came since. A
// claim withdrawn meanwhile becomes its own release.
func (m *Machine) retry(now time.Time, s *shardState, round []*op) {
	since := s.waiting
	s.waiting = nil
	for _, o := range round {
		if o.kind == opClaim && o.withdrawn {
			m.release(now, s, o)
			continue
		}
		s.waiting = append(s.waiting, o)
	}
	s.waiting = append(s.waiting, since...)
}
