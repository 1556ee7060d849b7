package claims

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state/result"
)

// startRounds starts the rounds that may start now and requests a Tick for the
// others.
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

// startAt returns the time at which the next round of a shard may start. A
// shard with a call in flight must not start another round: the claims of the
// second round would be mixed with those of the first, and the answer to the
// first would grant all of them. Such a shard can be in the queue, because
// composing a round may add a release to it. It is queued again when the call
// ends.
func (m *Machine) startAt(now time.Time, s *shardState) (at time.Time, hasWork bool) {
	if len(s.waiting) == 0 || s.callInFlight != callNone {
		return time.Time{}, false
	}
	at = latest(m.nextRound, m.unavailableUntil, s.notBefore, m.workDue(s))
	if m.platformSuspect && m.callsInFlight > 0 {
		// While the platform does not answer, only one round at a time tries
		// it.
		at = latest(at, now.Add(m.interval))
	}
	return at, true
}

// workDue returns the time at which the changes of a shard should be written.
// If there are only completions, they wait for a claim to share the write with.
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

// refuseIfUnavailable refuses waiting claims at once while the platform is
// unavailable. Otherwise every keyed request would wait for a timeout before it
// is refused.
func (m *Machine) refuseIfUnavailable(now time.Time, s *shardState) {
	probing := m.platformSuspect && m.callsInFlight > 0
	if probing || now.Before(m.unavailableUntil) || now.Before(s.notBefore) {
		m.refuseClaims(now, s)
	}
}

// refuseClaims refuses every waiting claim of a shard. Claims that were part of
// a write with an unknown outcome are released later.
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

// startRound begins a round, with a read if lastSegment is missing or probably
// out of date.
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

// composeWrite applies the waiting ops to the last segment and writes the
// changes.
func (m *Machine) composeWrite(now time.Time, s *shardState) {
	d := newDraft(s.lastSegment, s.chain, now)
	waiting := s.waiting
	s.waiting = nil
	needsRead := false
	// Releases and completions are applied first, so that a new claim for a key
	// that this router released finds the key free in the same write.
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

// writeDraft sends the changes of a round. If they do not fit, the segment is
// sealed without them: claims within the retention are never dropped to free
// space.
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

// sealUnchanged seals the last segment without other changes. The changes of
// the round wait for the next segment.
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

// postponeRound requeues a round that cannot be written.
func (m *Machine) postponeRound(now time.Time, s *shardState) {
	s.waiting = append(s.round, s.waiting...)
	s.round = nil
	s.notBefore = now.Add(unavailableRetry)
}

// encode encodes a segment and seals it if it has reached its size. Sealing
// needs no call of its own, because the write that fills the segment also seals
// it. Since that write is conditional, every writer with an older version of
// the segment gets a conflict and continues with the next segment.
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

// emptyOldest replaces the oldest sealed segment with an empty one once all its
// entries have expired. Otherwise the storage and the list that a router reads
// at its start would grow without bound. Emptying takes a round of its own and
// frees no key, because expired entries block none. Claims have priority for
// some rounds after it, since a router that starts after 24 hours of little
// traffic finds hundreds of such segments.
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
// draft with the remaining changes.
func (m *Machine) refuseRound(now time.Time, s *shardState, d *draft) *draft {
	round := s.round
	s.round = nil
	remaining := newDraft(d.base, d.chain, now)
	for _, o := range round {
		if o.kind != opClaim {
			m.applySettlement(s, remaining, o)
			continue
		}
		m.refuseShardFull(now, s, o)
	}
	return remaining
}

func (m *Machine) refuseShardFull(now time.Time, s *shardState, o *op) {
	res := result.New(result.ClaimUnavailable, "The shard of this key is full.")
	m.decide(o, res.WithRetryAfter(unavailableRetry))
	m.releaseIfFenced(now, s, o)
}
