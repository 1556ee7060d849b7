package caller

import (
	"bytes"
	"encoding/json"
)

// maxEventBytes bounds what is kept of one line of a stream. A longer line is
// passed on whole but counted as one token without being read.
const maxEventBytes = 1 << 20

var (
	dataField   = []byte("data:")
	doneMarker  = []byte("[DONE]")
	usageMember = []byte(`"usage"`)
)

// usage is the engine's own count, as in OpenAI's API.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// eventScanner reads a stream of server-sent events as it passes through. It
// copies only lines that are split over two reads.
type eventScanner struct {
	partialLine  []byte
	skippingLine bool
	// tokens counts data events, of which engines send one for each token.
	tokens int64
	// usage is the last one seen, nil if there is none.
	usage *usage
	// doneSeen is set once the terminating line has been read to its end.
	doneSeen bool
}

// feed reads the next bytes of the stream.
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
		s.scanLine(rest)
		return
	}
	s.partialLine = append(s.partialLine, rest...)
	s.scanLine(s.partialLine)
	s.partialLine = s.partialLine[:0]
}

func (s *eventScanner) scanLine(scanLine []byte) {
	data, ok := bytes.CutPrefix(scanLine, dataField)
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

// lastUsage decodes the last usage member in an event, an answer or the end of
// one. Within generated text the quotes of "usage" are escaped, so text never
// passes for the member.
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

// valid refuses counts that would corrupt counters which only grow.
func (u *usage) valid() bool {
	return u.PromptTokens >= 0 && u.CompletionTokens >= 0 &&
		u.PromptTokens <= maxTokens && u.CompletionTokens <= maxTokens
}
