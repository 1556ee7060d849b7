package claims

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state/result"
)

// startRounds starts the rounds that may start now and asks to be woken for the rest.
func (m *Machine) startRounds(now time.Time) {
	var wake time.Time
	postponed := m.spareQueue[:0]
	for i := 0; i < len(m.queue); i++ {
		s := m.queue[i]
		m.refuseIfUnavailable(now, s)
		at, hasWork := m.startAt(now, s)
		if hasWork && at.After(now) {
			postponed = append(postponed, s)
			wake = earlier(wake, at)
			continue
		}
		s.queued = false
		if hasWork {
			m.startRound(now, s)
		}
	}
	m.queue, m.spareQueue = postponed, m.queue
	if !wake.IsZero() {
		m.emit(Wake{At: wake})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// startAt returns when a shard's next round may start. A shard with a call in
// flight has no round to start: a second one would mix its claims with those of
// the first and grant them all by one answer. Such a shard can be in the queue,
// since composing a round may add a release to it; landing queues it again.
func (m *Machine) startAt(now time.Time, s *shardState) (at time.Time, hasWork bool) {
	if len(s.waiting) == 0 || s.callInFlight != callNone {
		return time.Time{}, false
	}
	at = latest(m.nextRound, m.unavailableUntil, s.notBefore, m.workDue(s))
	if m.platformSuspect && m.callsInFlight > 0 {
		// One round at a time tries a platform that did not answer.
		at = latest(at, now.Add(m.interval))
	}
	return at, true
}

// workDue returns when a shard's work should start: completions alone wait for
// a claim to ride with.
func (m *Machine) workDue(s *shardState) time.Time {
	var due time.Time
	for _, o := range s.waiting {
		if o.kind != opComplete || m.flushing {
			return time.Time{}
		}
		due = earlier(due, o.arrived.Add(completionDelay))
	}
	return due
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// refuseIfUnavailable answers waiting claims at once while the platform is away.
// Otherwise every booking would wait for a time-out to hear the same.
func (m *Machine) refuseIfUnavailable(now time.Time, s *shardState) {
	probing := m.platformSuspect && m.callsInFlight > 0
	if probing || now.Before(m.unavailableUntil) || now.Before(s.notBefore) {
		m.refuseClaims(now, s)
	}
}

// refuseClaims gives every waiting claim of a shard its refusal. What was
// written with an unknown outcome is released later.
func (m *Machine) refuseClaims(now time.Time, s *shardState) {
	waiting := s.waiting
	s.waiting = nil
	for _, o := range waiting {
		if o.kind != opClaim {
			s.waiting = append(s.waiting, o)
			continue
		}
		m.decide(o, m.unavailableResult(now, s))
		m.releaseIfFenced(now, s, o)
	}
}

func (m *Machine) unavailableResult(now time.Time, s *shardState) result.Result {
	retryAfter := latest(m.unavailableUntil, s.notBefore).Sub(now)
	return result.New(result.ClaimUnavailable, "").WithRetryAfter(max(retryAfter, progressRetry))
}

// startRound begins with a read where the copy is missing or likely stale.
func (m *Machine) startRound(now time.Time, s *shardState) {
	m.nextRound = latest(m.nextRound, now).Add(m.interval)
	s.urgent = false
	if m.emptyOldest(now, s) {
		return
	}
	if s.lastSegment == nil || s.contended {
		m.sendRead(now, s)
		return
	}
	m.composeWrite(now, s)
}

func (m *Machine) sendRead(now time.Time, s *shardState) {
	s.callInFlight = callRead
	s.callStarted = now
	m.callsInFlight++
	if s.chain == nil {
		m.emit(Read{Shard: s.index, WholeChain: true})
		return
	}
	m.emit(Read{Shard: s.index, Slot: m.slot(s.lastPosition.number)})
}

// slot returns the index of the object that a segment uses.
func (m *Machine) slot(number uint64) int { return int(number % m.limits.slots) }

// composeWrite applies the waiting ops to the copy and writes what changed.
func (m *Machine) composeWrite(now time.Time, s *shardState) {
	d := newDraft(s.lastSegment, s.chain, now)
	waiting := s.waiting
	s.waiting = nil
	needsRead := false
	// Releases and completions come first: a resend of a claim that this
	// router gave up then finds the key free in the same write.
	for _, o := range waiting {
		if o.kind != opClaim {
			m.applySettlement(s, d, o)
		}
	}
	for _, o := range waiting {
		if o.kind == opClaim && !m.applyClaim(now, s, d, o) {
			s.waiting = append(s.waiting, o)
			needsRead = true
		}
	}
	if d.changed() && m.writeDraft(now, s, d) {
		return
	}
	if needsRead {
		m.sendRead(now, s)
	}
	m.queueShard(s)
}

// writeDraft sends the draft. Where it does not fit, the segment is sealed without
// it: claims inside the retention are never forgotten to make room.
func (m *Machine) writeDraft(now time.Time, s *shardState, d *draft) bool {
	next := d.build()
	value, err := m.encode(next)
	if err != nil && len(d.base.Entries) > 0 {
		return m.sealUnchanged(now, s)
	}
	if err != nil {
		d = m.refuseRound(now, s, d)
		next = d.build()
		value, err = m.encode(next)
	}
	if err != nil {
		m.postponeRound(now, s)
		return false
	}
	if !d.changed() {
		return false
	}
	s.nextSegment = next
	m.sendWrite(now, s, s.lastPosition, value)
	return true
}

// sealUnchanged seals the last segment unchanged. The round waits for the next one.
func (m *Machine) sealUnchanged(now time.Time, s *shardState) bool {
	sealed := &Segment{Number: s.lastSegment.Number, Sealed: true, Entries: s.lastSegment.Entries}
	value, err := sealed.Encode()
	if err != nil {
		m.postponeRound(now, s)
		return false
	}
	s.waiting = append(s.round, s.waiting...)
	s.round = nil
	s.nextSegment = sealed
	m.sendWrite(now, s, s.lastPosition, value)
	return true
}

// postponeRound puts a round back that cannot be written.
func (m *Machine) postponeRound(now time.Time, s *shardState) {
	s.waiting = append(s.round, s.waiting...)
	s.round = nil
	s.notBefore = now.Add(unavailableRetry)
}

// encode renders a segment and seals it if it has reached its size. The seal
// rides in the write that fills the segment: it costs no call, and as that
// write is conditional, every writer with an older version of the segment
// meets a conflict and goes on to the next one.
func (m *Machine) encode(next *Segment) ([]byte, error) {
	value, err := next.Encode()
	if err != nil || len(value) < m.limits.segmentBytes {
		return value, err
	}
	next.Sealed = true
	return next.Encode()
}

func (m *Machine) sendWrite(now time.Time, s *shardState, at position, value []byte) {
	s.callInFlight = callWrite
	s.callStarted = now
	m.callsInFlight++
	m.emit(Write{Shard: s.index, Slot: m.slot(at.number), Expected: at.version, Value: value})
}

// emptyOldest replaces the oldest sealed segment once all its entries have
// expired; storage and a cold start's list would grow without end otherwise. It
// takes a round of its own and frees no key: expired entries count for nothing.
// Claims go first for some rounds after it, since a router that starts after a
// quiet day finds hundreds of such segments.
func (m *Machine) emptyOldest(now time.Time, s *shardState) bool {
	s.roundsSinceEmptying++
	if s.roundsSinceEmptying < roundsPerEmptying || s.chain == nil || s.chain.expiredSegments(now) == 0 {
		return false
	}
	oldest := s.chain.sealed[0]
	emptied := Segment{Number: oldest.number, Sealed: true}
	value, err := emptied.Encode()
	if err != nil {
		return false
	}
	s.roundsSinceEmptying = 0
	s.emptying = true
	m.sendWrite(now, s, position{oldest.number, oldest.version}, value)
	return true
}

// refuseRound refuses the claims of a draft that does not fit and returns a
// draft of what remains.
func (m *Machine) refuseRound(now time.Time, s *shardState, d *draft) *draft {
	round := s.round
	s.round = nil
	remaining := newDraft(d.base, d.chain, now)
	for _, o := range round {
		if o.kind != opClaim {
			m.applySettlement(s, remaining, o)
			continue
		}
		m.refuseFull(now, s, o)
	}
	return remaining
}

func (m *Machine) refuseFull(now time.Time, s *shardState, o *op) {
	res := result.New(result.ClaimUnavailable, "The shard of this key is full.")
	m.decide(o, res.WithRetryAfter(unavailableRetry))
	m.releaseIfFenced(now, s, o)
}
