package claims

import (
	"slices"
	"time"

	"github.com/figstile/figstile/state/result"
)

// pump starts the rounds that may start now and asks to be woken for the rest.
func (m *Machine) pump(now time.Time) {
	var wake time.Time
	later := m.spare[:0]
	for i := 0; i < len(m.queue); i++ {
		s := m.queue[i]
		m.refuseIfAway(now, s)
		at, work := m.startAt(now, s)
		if work && at.After(now) {
			later = append(later, s)
			wake = earlier(wake, at)
			continue
		}
		s.queued = false
		if work {
			m.startRound(now, s)
		}
	}
	m.queue, m.spare = later, m.queue
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
func (m *Machine) startAt(now time.Time, s *shardState) (at time.Time, work bool) {
	if len(s.waiting) == 0 || s.flight != flightNone {
		return time.Time{}, false
	}
	at = latest(m.nextRound, m.awayUntil, s.notBefore, m.workDue(s))
	if m.suspect && m.flights > 0 {
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

// refuseIfAway answers waiting claims at once while the platform is away.
// Otherwise every booking would wait for a time-out to hear the same.
func (m *Machine) refuseIfAway(now time.Time, s *shardState) {
	probing := m.suspect && m.flights > 0
	if probing || now.Before(m.awayUntil) || now.Before(s.notBefore) {
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
		m.decide(o, m.unavailable(now, s))
		m.release(now, s, o)
	}
}

func (m *Machine) unavailable(now time.Time, s *shardState) result.Result {
	back := latest(m.awayUntil, s.notBefore).Sub(now)
	return result.New(result.ClaimUnavailable, "").After(max(back, progressRetry))
}

// startRound begins with a read where the copy is missing or likely stale.
func (m *Machine) startRound(now time.Time, s *shardState) {
	m.nextRound = latest(m.nextRound, now).Add(m.interval)
	s.urgent = false
	if s.copy == nil || s.contended {
		m.read(now, s)
		return
	}
	m.compose(now, s)
}

func (m *Machine) read(now time.Time, s *shardState) {
	s.flight = flightRead
	s.begun = now
	m.flights++
	m.emit(Read{Shard: s.index})
}

// compose applies the waiting ops to the copy and writes what changed.
func (m *Machine) compose(now time.Time, s *shardState) {
	d := newDraft(s.copy, now)
	waiting := s.waiting
	s.waiting = nil
	reread := false
	// Releases and completions come first: a resend of a claim that this
	// router gave up then finds the key free in the same write.
	for _, o := range waiting {
		if o.kind != opClaim {
			m.settle(s, d, o)
		}
	}
	for _, o := range waiting {
		if o.kind == opClaim && !m.claim(now, s, d, o) {
			s.waiting = append(s.waiting, o)
			reread = true
		}
	}
	if d.changed() && m.write(now, s, d) {
		return
	}
	if reread {
		m.read(now, s)
	}
	m.queueShard(s)
}

// write sends the draft. If it does not fit, its claims are refused and the
// rest is tried without them: claims inside the retention are never forgotten
// to make room.
func (m *Machine) write(now time.Time, s *shardState, d *draft) bool {
	next := d.build()
	value, err := next.Encode()
	if err != nil {
		d = m.refuseRound(now, s, d)
		next = d.build()
		value, err = next.Encode()
	}
	if err != nil {
		s.waiting = append(s.round, s.waiting...)
		s.round = nil
		s.notBefore = now.Add(awayFor)
		return false
	}
	if !d.changed() {
		return false
	}
	s.flight = flightWrite
	s.begun = now
	s.next = next
	m.flights++
	m.emit(Write{Shard: s.index, Expected: s.version, Value: value})
	return true
}

// refuseRound refuses the claims of a draft that does not fit and returns a
// draft of what remains.
func (m *Machine) refuseRound(now time.Time, s *shardState, d *draft) *draft {
	round := s.round
	s.round = nil
	rest := newDraft(d.base, now)
	for _, o := range round {
		if o.kind != opClaim {
			m.settle(s, rest, o)
			continue
		}
		res := result.New(result.ClaimUnavailable, "The shard of this key is full.")
		m.decide(o, res.After(awayFor))
		m.release(now, s, o)
	}
	return rest
}
