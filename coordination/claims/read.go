package claims

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// errGap is returned if segments of a chain are missing, in the wrong slot or
// not sealed. Missing segments may hold claims, so no claim is granted.
var errGap = errors.New("claims: a segment of the chain is missing or out of place")

// errOvertaken is returned if a slot holds a much later segment: this router
// was inactive for so long that the slots of the segments in between were
// reused.
var errOvertaken = errors.New("claims: the slot was reused for a later segment")

// errStale is returned for a read that is older than the state this router
// already knows.
var errStale = errors.New("claims: the read is older than the known state")

// errNoSlot is returned if the slot of the next segment holds claims within the
// retention.
var errNoSlot = errors.New("claims: the next slot still holds claims within the retention")

func (m *Machine) handleReadDone(now time.Time, e ReadDone) {
	s := &m.shards[e.Shard]
	m.endCall(s)
	if e.Outcome != ReadOK {
		m.markUnavailable(now, s)
		return
	}
	err := m.applyRead(now, s, e)
	if errors.Is(err, errStale) {
		// A stale read does not contain the latest writes of this router. A
		// release that does not find its claim in it would be dropped, and the
		// key would stay blocked.
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

// applyRead adds the content of a read to the known state. If it returns no
// error and lastSegment is nil, there is more to read: claims are decided only
// by a router that knows the whole chain from its start to its unsealed end.
// Otherwise it could miss another router's claim in a segment that it skipped,
// and grant the same key again.
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
	// If the segment does not exist yet, that does not show that other routers
	// have stopped writing.
	s.contended = s.contended && (e.Version == 0 || e.Version != s.lastPosition.version)
	s.setLast(segment, e.Version)
	return nil
}

// setLast makes a segment the last one, or continues with the next one if it is
// sealed.
func (s *shardState) setLast(segment *Segment, version Version) {
	s.lastPosition.version = version
	s.lastSegment = segment
	s.lastSegmentAsOf = s.callStarted
	if segment.Sealed {
		s.advance()
	}
}

// advance merges the sealed last segment into the chain and continues with the
// next one.
func (s *shardState) advance() {
	s.chain.merge(s.lastSegment, s.lastPosition.version)
	s.lastPosition = position{number: s.lastPosition.number + 1}
	s.lastSegment = nil
}

// checkSegment checks that a read returned the requested segment. A segment
// that does not exist is empty, and so is one whose slot still holds the
// expired segment that used the slot before.
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

// versionedSegment is a segment of a whole chain with its version in the
// platform.
type versionedSegment struct {
	segment *Segment
	version Version
}

// rebuildChain builds the chain from a read of the whole chain, when nothing of
// it is known.
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

// orderedSegments returns the segments of a whole chain, oldest first, and
// checks that none is missing. A chain without objects has an empty first
// segment.
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

// checkGaps checks that a chain begins with segment 0, or occupies all slots if
// its oldest segments were overwritten; that the numbers are consecutive; and
// that all segments except the last are sealed.
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

// finishEmptying completes the emptying of the oldest segment. After a
// conflict, another router has emptied it. After a lost answer, the segment may
// still be stored; its slot can be reused nevertheless, because its entries
// have expired.
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
