package ingress

import "bytes"

// eventSplitter cuts a stream of events at the empty lines that end them.
type eventSplitter struct {
	// rest is the beginning of an event whose end has not come.
	rest []byte
	// out is what the last call returned; reused.
	out []byte
	// lastID is the id of the last whole event, empty before the first.
	lastID string
}

var idField = []byte("id:")

// add takes bytes and returns the whole events that they complete. The result
// is valid until the next call.
func (s *eventSplitter) add(p []byte) []byte {
	end := lastBoundary(s.rest, p)
	if end < 0 {
		s.rest = append(s.rest, p...)
		return nil
	}
	s.out = append(s.out[:0], s.rest...)
	s.out = append(s.out, p[:end]...)
	s.rest = append(s.rest[:0], p[end:]...)
	s.noteID(s.out)
	return s.out
}

// torn says whether an event has begun and not ended.
func (s *eventSplitter) torn() bool { return len(bytes.TrimSpace(s.rest)) > 0 }

// lastBoundary returns the end, within p, of the last event that ends there,
// or -1. The empty line may begin in rest.
func lastBoundary(rest, p []byte) int {
	for i := len(p) - 1; i >= 0; i-- {
		if p[i] == '\n' && endsEvent(rest, p[:i]) {
			return i + 1
		}
	}
	return -1
}

// endsEvent says whether a newline after rest and p ends an empty line.
func endsEvent(rest, p []byte) bool {
	last, ok := lastByte(rest, p, 0)
	if ok && last == '\r' {
		last, ok = lastByte(rest, p, 1)
	}
	return ok && last == '\n'
}

// lastByte returns the byte that is back places before the end of rest and p.
func lastByte(rest, p []byte, back int) (byte, bool) {
	if back < len(p) {
		return p[len(p)-1-back], true
	}
	back -= len(p)
	if back < len(rest) {
		return rest[len(rest)-1-back], true
	}
	return 0, false
}

// noteID keeps the id of the last event that has one.
func (s *eventSplitter) noteID(events []byte) {
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
