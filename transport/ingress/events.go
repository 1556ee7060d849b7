package ingress

import (
	"bytes"
	"errors"
	"strconv"
	"unicode/utf8"

	"github.com/figstile/figstile/coordination/memory"
)

// maxEventBytes limits the size in bytes of an event whose end was not received
// yet. Events have a few hundred bytes.
const maxEventBytes = 64 << 10

var (
	// errEventTooLong ends a stream whose event exceeds maxEventBytes.
	errEventTooLong = errors.New("ingress: an event of the stream is too long")
	// errNoEvent ends a stream with bytes that are no event: events are text.
	errNoEvent = errors.New("ingress: the stream contains bytes that are no event")
	// errEventOrder ends a stream whose event does not follow the one before it.
	errEventOrder = errors.New("ingress: an event of the stream is out of order")
	// errAnswerMemory ends a stream for whose event no memory is left.
	errAnswerMemory = errors.New("ingress: too much of other answers is held")
)

// eventSplitter splits a stream into events at the empty lines that end them.
type eventSplitter struct {
	// held is the reservation for partial.
	held memory.Reservation
	// partial is the beginning of an event whose end was not received yet.
	partial []byte
	// complete is the result of the last call of add. Its memory is reused.
	complete []byte
	// lastID is the id of the last complete event, or that after which the
	// stream resumes. It is empty if the stream does not number its events.
	lastID string
	// idleBytes is the size of the comments and empty lines since the last
	// event.
	idleBytes int
}

var idField = []byte("id:")

// add adds received bytes and returns the events that they complete. The result
// is valid until the next call. An error means that the stream is not usable any
// further.
func (s *eventSplitter) add(p []byte) ([]byte, error) {
	end := lastEventEnd(s.partial, p)
	if end < 0 {
		return nil, s.hold(p)
	}
	s.complete = append(s.complete[:0], s.partial...)
	s.complete = append(s.complete, p[:end]...)
	s.partial = s.partial[:0]
	valid, err := s.checkEvents(s.complete)
	if err != nil {
		return s.complete[:valid], err
	}
	return s.complete, s.hold(p[end:])
}

// hold appends the beginning of an event to partial.
func (s *eventSplitter) hold(p []byte) error {
	size := len(s.partial) + len(p)
	if size > maxEventBytes {
		return errEventTooLong
	}
	// Growing a slice holds the old and the new one at once, and complete holds
	// the event once more.
	if !s.held.TryGrow(int64(3 * size)) {
		return errAnswerMemory
	}
	s.partial = append(s.partial, p...)
	return nil
}

// hasPartial reports whether the beginning of an event was received, but not
// its end.
func (s *eventSplitter) hasPartial() bool { return len(bytes.TrimSpace(s.partial)) > 0 }

// lastEventEnd returns the index in p after the last event that ends in p, or
// -1 if none does. The empty line may begin in rest.
func lastEventEnd(rest, p []byte) int {
	for i := len(p) - 1; i >= 0; i-- {
		if p[i] == '\n' && endsEvent(rest, p[:i]) {
			return i + 1
		}
	}
	return -1
}

// endsEvent reports whether a newline after rest and p ends an empty line.
func endsEvent(rest, p []byte) bool {
	last, ok := byteFromEnd(rest, p, 0)
	if ok && last == '\r' {
		last, ok = byteFromEnd(rest, p, 1)
	}
	return ok && last == '\n'
}

// byteFromEnd returns the byte that is back positions before the last byte of
// rest followed by p.
func byteFromEnd(rest, p []byte, back int) (byte, bool) {
	if back < len(p) {
		return p[len(p)-1-back], true
	}
	back -= len(p)
	if back < len(rest) {
		return rest[len(rest)-1-back], true
	}
	return 0, false
}

// checkEvents checks complete events and records the id of the last one. It
// returns the length of those before the first that no upstream in order sends.
func (s *eventSplitter) checkEvents(events []byte) (int, error) {
	checked := 0
	for checked < len(events) {
		size := eventSize(events[checked:])
		if err := s.checkEvent(events[checked : checked+size]); err != nil {
			return checked, err
		}
		checked += size
	}
	return checked, nil
}

// eventSize returns the size of the first of complete events, with the empty
// line that ends it.
func eventSize(events []byte) int {
	size := 0
	for size < len(events) {
		line := lineSize(events[size:])
		size += line
		if len(bytes.TrimRight(events[size-line:size], "\r\n")) == 0 {
			return size
		}
	}
	return size
}

// lineSize returns the size of the first line, with its end.
func lineSize(text []byte) int {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return end + 1
	}
	return len(text)
}

// checkEvent checks one event. Streams number either all of their events or
// none, in increasing order. Comments and empty lines, which some servers send
// to keep a connection open, are no events.
func (s *eventSplitter) checkEvent(event []byte) error {
	if !utf8.Valid(event) || bytes.IndexByte(event, 0) >= 0 {
		return errNoEvent
	}
	id, hasField := scanEvent(event)
	if !hasField {
		s.idleBytes += len(event)
		if s.idleBytes > maxEventBytes {
			return errEventTooLong
		}
		return nil
	}
	if id == "" && s.lastID != "" || !follows(s.lastID, id) {
		return errEventOrder
	}
	s.lastID, s.idleBytes = id, 0
	return nil
}

// scanEvent returns the id of an event and whether the event has any field.
func scanEvent(event []byte) (id string, hasField bool) {
	for len(event) > 0 {
		size := lineSize(event)
		line := bytes.TrimRight(event[:size], "\r\n")
		event = event[size:]
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		hasField = true
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id, hasField
}

// follows reports whether an event with the id may follow the one with the id
// last. Only numbers have an order.
func follows(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	return err != nil || number > before
}
