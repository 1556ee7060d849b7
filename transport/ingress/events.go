package ingress

import "bytes"

// eventSplitter splits a stream into events at the empty lines that end them.
type eventSplitter struct {
	// partial is the beginning of an event whose end was not received yet.
	partial []byte
	// complete is the result of the last call of add. Its memory is reused.
	complete []byte
	// lastID is the id of the last complete event that has one, or empty.
	lastID string
}

var idField = []byte("id:")

// add adds received bytes and returns the events that they complete. The result
// is valid until the next call.
func (s *eventSplitter) add(p []byte) []byte {
	end := lastEventEnd(s.partial, p)
	if end < 0 {
		s.partial = append(s.partial, p...)
		return nil
	}
	s.complete = append(s.complete[:0], s.partial...)
	s.complete = append(s.complete, p[:end]...)
	s.partial = append(s.partial[:0], p[end:]...)
	s.recordID(s.complete)
	return s.complete
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
