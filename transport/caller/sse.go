package caller

import (
	"bytes"
	"encoding/json"
)

// maxEventBytes limits the length of a stream's line that is kept for parsing.
// A longer line is relayed in full but counted as one token without being
// parsed.
const maxEventBytes = 64 << 10

var (
	dataField   = []byte("data:")
	doneMarker  = []byte("[DONE]")
	usageMember = []byte(`"usage"`)
)

// usage is the engine's own count of tokens, as in OpenAI's API.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// eventScanner parses a stream of server-sent events while it is relayed. It
// copies only lines that are split over two reads.
type eventScanner struct {
	partialLine  []byte
	skippingLine bool
	// tokens counts data events; engines send one for each token.
	tokens int64
	// usage is the last usage received; nil if there is none.
	usage *usage
	// doneSeen is set once the terminating event has been read to the end of
	// its line.
	doneSeen bool
}

// feed scans the next bytes of the stream.
func (s *eventScanner) feed(p []byte) {
	for len(p) > 0 {
		end := bytes.IndexAny(p, "\r\n")
		if end < 0 {
			s.keepPartial(p)
			return
		}
		s.endLine(p[:end])
		p = p[end+1:]
	}
}

func (s *eventScanner) keepPartial(p []byte) {
	if s.skippingLine || len(s.partialLine)+len(p) > maxEventBytes {
		s.skippingLine = true
		s.partialLine = s.partialLine[:0]
		return
	}
	s.partialLine = append(s.partialLine, p...)
}

func (s *eventScanner) endLine(rest []byte) {
	if s.skippingLine {
		s.skippingLine = false
		s.countToken()
		return
	}
	if len(s.partialLine) == 0 {
		s.eventLine(rest)
		return
	}
	s.partialLine = append(s.partialLine, rest...)
	s.eventLine(s.partialLine)
	s.partialLine = s.partialLine[:0]
}

func (s *eventScanner) eventLine(eventLine []byte) {
	data, ok := bytes.CutPrefix(eventLine, dataField)
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMarker) {
		s.doneSeen = true
		return
	}
	if u := lastUsage(data); u != nil {
		s.usage = u
		if u.CompletionTokens > s.tokens {
			s.tokens = u.CompletionTokens
		}
		return
	}
	s.countToken()
}

func (s *eventScanner) countToken() {
	if !s.doneSeen {
		s.tokens++
	}
}

// lastUsage decodes the last usage member in an event, an answer or the tail of
// an answer. The quotes of "usage" are escaped within generated text, so text
// is never taken for the member.
func lastUsage(data []byte) *usage {
	at := bytes.LastIndex(data, usageMember)
	if at < 0 {
		return nil
	}
	value := bytes.TrimLeft(data[at+len(usageMember):], " \t\r\n:")
	if len(value) == 0 || value[0] != '{' {
		return nil
	}
	var u usage
	if json.NewDecoder(bytes.NewReader(value)).Decode(&u) != nil || !u.valid() {
		return nil
	}
	return &u
}

// valid reports whether the counts are within bounds. Others would corrupt the
// cost counters, which can only grow.
func (u *usage) valid() bool {
	return u.PromptTokens >= 0 && u.CompletionTokens >= 0 &&
		u.PromptTokens <= maxTokens && u.CompletionTokens <= maxTokens
}
