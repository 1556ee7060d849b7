package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/figstile/figstile/standin/upstream"
)

// ErrNotWhole is returned for an answer that ended before its end.
var ErrNotWhole = errors.New("engine: answer is not whole")

// Answered is a whole completion as its caller reads it.
type Answered struct {
	// Attempt is the id that the engine repeated on the answer.
	Attempt string
	Text    string
	Finish  string
	Usage   Usage
}

// Belongs reports whether the answer is the whole answer to a body.
func (a Answered) Belongs(body []byte) bool {
	return a.Text == Answer(upstream.Digest(body), a.Usage.CompletionTokens)
}

// Read reads the answer to a chat completion, streamed or not, and closes it. A
// stream is whole if it has its usage and its end mark.
func Read(response *http.Response) (Answered, error) {
	defer func() { _ = response.Body.Close() }()
	answer := Answered{Attempt: response.Header.Get(upstream.HeaderAttempt)}
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil {
		return answer, err
	}
	if kind == streamType {
		return answer, answer.readStream(response.Body)
	}
	var whole completion
	if err := json.NewDecoder(response.Body).Decode(&whole); err != nil {
		return answer, errors.Join(ErrNotWhole, err)
	}
	answer.take(whole)
	return answer, nil
}

func (a *Answered) readStream(body io.Reader) error {
	events := bufio.NewScanner(body)
	for events.Scan() {
		data, ok := strings.CutPrefix(events.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneMark {
			return nil
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return errors.Join(ErrNotWhole, err)
		}
		a.take(chunk)
	}
	return errors.Join(ErrNotWhole, events.Err())
}

// take adds a chunk or a whole completion.
func (a *Answered) take(c completion) {
	if c.Usage != nil {
		a.Usage = *c.Usage
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			a.Finish = *choice.FinishReason
		}
		for _, m := range []*message{choice.Message, choice.Delta} {
			if m != nil {
				a.Text += m.Content
			}
		}
	}
}
