package ingress

import (
	"bytes"
	"errors"

	"github.com/figstile/figstile/coordination/memory"
)

// maxEventBytes limits the size in bytes of an event whose end was not received
// yet. Events have a few hundred bytes.
const maxEventBytes = 64 << 10

var (
	// errEventTooLong ends a stream whose event exceeds maxEventBytes.
	errEventTooLong = errors.New("ingress: an event of the stream is too long")
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
	// lastID is the id of the last complete event that has one, or empty.
	lastID string
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
	s.recordID(s.complete)
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

// recordID records the id of the last event that has one.
func (s *eventSplitter) recordID(events []byte) {
	for len(events) > 0 {
		line, before := events, []byte(nil)
		if i := bytes.LastIndexByte(events[:len(events)-1], '\n'); i >= 0 {
			line, before = events[i+1:], events[:i+1]
		}
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.lastID = string(bytes.TrimSpace(id))
			return
		}
		events = before
	}
}
