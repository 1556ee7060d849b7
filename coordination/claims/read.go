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

// errOvertaken says that a slot holds a segment far ahead: this router was away
// for so long that the segments between are gone from their slots.
var errOvertaken = errors.New("claims: chain has gone round")

// errStale says that a read is older than what this router has seen.
var errStale = errors.New("claims: stale read")

// errNoSlot says that the next segment's slot holds claims inside the retention.
var errNoSlot = errors.New("claims: no slot is free")

func (m *Machine) readDone(now time.Time, e ReadDone) {
	s := &m.shards[e.Shard]
	m.endCall(s)
	if e.Outcome != ReadOK {
		m.markUnavailable(now, s)
		return
	}
	err := m.applyRead(now, s, e)
	if errors.Is(err, errStale) {
		// A stale read lacks what this router wrote. A release that finds
		// nothing in it would be dropped, and its key stay taken.
		m.markUnavailable(now, s)
		return
	}
	m.platformSuspect = false
	if errors.Is(err, errOvertaken) {
		s.chain, s.lastSegment = nil, nil
		err = nil
	}
	if err != nil {
		s.notBefore = now.Add(unavailableRetry)
		m.refuseClaims(now, s)
		m.queueShard(s)
		return
	}
	if s.lastSegment == nil {
		m.sendRead(now, s)
		return
	}
	m.composeWrite(now, s)
	m.queueShard(s)
}

// applyRead adds what was read to what is known. Without error and without a copy
// there is more to read: claims are decided only by a router that knows the
// chain from its start to its unsealed end. With less it would miss the claim
// of another router in a segment that it skipped, and grant the key again.
func (m *Machine) applyRead(now time.Time, s *shardState, e ReadDone) error {
	if s.chain == nil {
		return m.rebuildChain(now, s, e)
	}
	if e.Version < s.lastPosition.version {
		return errStale
	}
	segment, err := m.checkSegment(now, s.lastPosition.number, e)
	if err != nil {
		return err
	}
	// A segment that does not exist yet is no sign that others have stopped.
	s.contended = s.contended && (e.Version == 0 || e.Version != s.lastPosition.version)
	s.setLast(segment, e.Version)
	return nil
}

// setLast makes a segment the last one, or goes past it if it is sealed.
func (s *shardState) setLast(segment *Segment, version Version) {
	s.lastPosition.version = version
	s.lastSegment = segment
	s.lastSegmentAsOf = s.callStarted
	if segment.Sealed {
		s.advance()
	}
}

// advance folds the sealed copy and goes on to the next segment.
func (s *shardState) advance() {
	s.chain.merge(s.lastSegment, s.lastPosition.version)
	s.lastPosition = position{number: s.lastPosition.number + 1}
	s.lastSegment = nil
}

// checkSegment checks that a read returned the segment asked for. One that does not
// exist is empty, and so is one whose slot still has the expired segment of the
// round before.
func (m *Machine) checkSegment(now time.Time, number uint64, e ReadDone) (*Segment, error) {
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
		return nil, errOvertaken
	case segment.Number+m.limits.slots != number || !segment.Sealed:
		return nil, errGap
	case !segment.expired(now):
		return nil, errNoSlot
	}
	return &Segment{Number: number}, nil
}

// versionedSegment is a segment of a whole chain.
type versionedSegment struct {
	segment *Segment
	version Version
}

// rebuildChain builds the chain of a router that knows nothing of it.
func (m *Machine) rebuildChain(now time.Time, s *shardState, e ReadDone) error {
	segments, err := m.orderedSegments(e)
	if err != nil {
		return err
	}
	end := segments[len(segments)-1]
	if s.lastPosition.after(position{end.segment.Number, end.version}) {
		return errStale
	}
	s.chain = newChain()
	for _, f := range segments {
		s.lastPosition = position{number: f.segment.Number}
		s.setLast(f.segment, f.version)
	}
	s.chain.dropExpired(now)
	return nil
}

// orderedSegments returns the segments of a whole chain, oldest first, after checking
// that none is missing. A chain without objects has an empty first segment.
func (m *Machine) orderedSegments(e ReadDone) ([]versionedSegment, error) {
	stored := append([]StoredSegment{{Version: e.Version, Value: e.Value}}, e.Others...)
	var segments []versionedSegment
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
		segments = append(segments, versionedSegment{segment, object.Version})
	}
	slices.SortFunc(segments, func(a, b versionedSegment) int { return cmp.Compare(a.segment.Number, b.segment.Number) })
	if len(segments) == 0 {
		return []versionedSegment{{segment: &Segment{}}}, nil
	}
	return segments, m.checkGaps(segments)
}

// checkGaps holds that a chain begins with its first segment, or with the one
// that a full round of slots leaves, that numbers follow each other and that
// all but the last are sealed.
func (m *Machine) checkGaps(segments []versionedSegment) error {
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

// finishEmptying ends the emptying of the oldest segment. After a conflict another
// router has emptied it. After a lost answer it may still stand; its slot is
// then reused all the same, because its entries have expired.
func (m *Machine) finishEmptying(now time.Time, s *shardState, outcome WriteOutcome) {
	s.emptying = false
	if outcome == WriteUnavailable {
		m.markUnavailable(now, s)
		return
	}
	m.platformSuspect = false
	s.chain.sealed = slices.Delete(s.chain.sealed, 0, 1)
	s.chain.dropExpired(now)
	m.queueShard(s)
}
