package claims

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// errGap says that segments of a chain are missing, out of place or not sealed.
// Claims may stand in what is missing, so none is made.
var errGap = errors.New("claims: chain has a gap")

// errLapped says that a slot holds a segment far ahead: this router was away
// for so long that the segments between are gone from their slots.
var errLapped = errors.New("claims: chain has gone round")

// errStale says that a read is older than what this router has seen.
var errStale = errors.New("claims: stale read")

// errNoSlot says that the next segment's slot holds claims inside the retention.
var errNoSlot = errors.New("claims: no slot is free")

func (m *Machine) readDone(now time.Time, e ReadDone) {
	s := &m.shards[e.Shard]
	m.land(s)
	if e.Outcome != ReadOK {
		m.fail(now, s)
		return
	}
	err := m.take(now, s, e)
	if errors.Is(err, errStale) {
		// A stale read lacks what this router wrote. A release that finds
		// nothing in it would be dropped, and its key stay taken.
		m.fail(now, s)
		return
	}
	m.suspect = false
	if errors.Is(err, errLapped) {
		s.chain, s.copy = nil, nil
		err = nil
	}
	if err != nil {
		s.notBefore = now.Add(awayFor)
		m.refuseClaims(now, s)
		m.queueShard(s)
		return
	}
	if s.copy == nil {
		m.read(now, s)
		return
	}
	m.compose(now, s)
	m.queueShard(s)
}

// take adds what was read to what is known. Without error and without a copy
// there is more to read: claims are decided only by a router that knows the
// chain from its start to its unsealed end. With less it would miss the claim
// of another router in a segment that it skipped, and grant the key again.
func (m *Machine) take(now time.Time, s *shardState, e ReadDone) error {
	if s.chain == nil {
		return m.takeWhole(now, s, e)
	}
	if e.Version < s.last.version {
		return errStale
	}
	segment, err := m.expect(now, s.last.number, e)
	if err != nil {
		return err
	}
	// A segment that does not exist yet is no sign that others have stopped.
	s.contended = s.contended && (e.Version == 0 || e.Version != s.last.version)
	s.takeLast(segment, e.Version)
	return nil
}

// takeLast makes a segment the last one, or goes past it if it is sealed.
func (s *shardState) takeLast(segment *Segment, version Version) {
	s.last.version = version
	s.copy = segment
	s.asOf = s.begun
	if segment.Sealed {
		s.advance()
	}
}

// advance folds the sealed copy and goes on to the next segment.
func (s *shardState) advance() {
	s.chain.fold(s.copy, s.last.version)
	s.last = position{number: s.last.number + 1}
	s.copy = nil
}

// expect checks that a read returned the segment asked for. One that does not
// exist is empty, and so is one whose slot still has the expired segment of the
// round before.
func (m *Machine) expect(now time.Time, number uint64, e ReadDone) (*Segment, error) {
	if e.Version == 0 && len(e.Value) == 0 {
		return &Segment{Number: number}, nil
	}
	segment, err := Decode(e.Value)
	switch {
	case err != nil:
		return nil, err
	case segment.Number == number:
		return segment, nil
	case m.slot(segment.Number) != m.slot(number):
		return nil, errGap
	case segment.Number > number:
		return nil, errLapped
	case segment.Number+m.limits.slots != number || !segment.Sealed:
		return nil, errGap
	case !segment.expired(now):
		return nil, errNoSlot
	}
	return &Segment{Number: number}, nil
}

// found is a segment of a whole chain.
type found struct {
	segment *Segment
	version Version
}

// takeWhole builds the chain of a router that knows nothing of it.
func (m *Machine) takeWhole(now time.Time, s *shardState, e ReadDone) error {
	segments, err := m.ordered(e)
	if err != nil {
		return err
	}
	end := segments[len(segments)-1]
	if s.last.after(position{end.segment.Number, end.version}) {
		return errStale
	}
	s.chain = newChain()
	for _, f := range segments {
		s.last = position{number: f.segment.Number}
		s.takeLast(f.segment, f.version)
	}
	s.chain.sweep(now)
	return nil
}

// ordered returns the segments of a whole chain, oldest first, after checking
// that none is missing. A chain without objects has an empty first segment.
func (m *Machine) ordered(e ReadDone) ([]found, error) {
	stored := append([]Stored{{Version: e.Version, Value: e.Value}}, e.Others...)
	var segments []found
	for _, object := range stored {
		if object.Version == 0 && len(object.Value) == 0 {
			continue
		}
		segment, err := Decode(object.Value)
		if err != nil {
			return nil, err
		}
		if m.slot(segment.Number) != object.Slot {
			return nil, errGap
		}
		segments = append(segments, found{segment, object.Version})
	}
	slices.SortFunc(segments, func(a, b found) int { return cmp.Compare(a.segment.Number, b.segment.Number) })
	if len(segments) == 0 {
		return []found{{segment: &Segment{}}}, nil
	}
	return segments, m.checkGaps(segments)
}

// checkGaps holds that a chain begins with its first segment, or with the one
// that a full round of slots leaves, that numbers follow each other and that
// all but the last are sealed.
func (m *Machine) checkGaps(segments []found) error {
	first := segments[0].segment.Number
	if first > 0 && uint64(len(segments)) != m.limits.slots {
		return errGap
	}
	for i, f := range segments {
		last := i == len(segments)-1
		if f.segment.Number != first+uint64(i) || !last && !f.segment.Sealed {
			return errGap
		}
	}
	return nil
}

// emptied ends the emptying of the oldest segment. After a conflict another
// router has emptied it. After a lost answer it may still stand; its slot is
// then reused all the same, because its entries have expired.
func (m *Machine) emptied(now time.Time, s *shardState, outcome WriteOutcome) {
	s.emptying = false
	if outcome == WriteUnavailable {
		m.fail(now, s)
		return
	}
	m.suspect = false
	s.chain.sealed = slices.Delete(s.chain.sealed, 0, 1)
	s.chain.sweep(now)
	m.queueShard(s)
}
