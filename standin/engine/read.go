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

// ErrIncomplete is returned for an answer that breaks off before its end.
var ErrIncomplete = errors.New("engine: answer is not whole")

// ReceivedCompletion is a completion as its caller reads it.
type ReceivedCompletion struct {
	// Attempt is the id of the attempt that the engine repeated in the answer.
	Attempt      string
	Text         string
	FinishReason string
	Usage        Usage
}

// BelongsTo reports whether the text is the complete answer to a request with
// the given body.
func (a ReceivedCompletion) BelongsTo(body []byte) bool {
	return a.Text == AnswerText(upstream.Digest(body), a.Usage.CompletionTokens)
}

// Read reads the answer to a chat completion, streamed or not, and closes it. A
// stream is complete if it ends with the end marker; otherwise Read returns
// ErrIncomplete.
func Read(response *http.Response) (ReceivedCompletion, error) {
	defer func() { _ = response.Body.Close() }()
	answer := ReceivedCompletion{Attempt: response.Header.Get(upstream.HeaderAttempt)}
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil {
		return answer, err
	}
	if kind == streamType {
		return answer, answer.readStream(response.Body)
	}
	var whole completion
	if err := json.NewDecoder(response.Body).Decode(&whole); err != nil {
		return answer, errors.Join(ErrIncomplete, err)
	}
	answer.add(whole)
	return answer, nil
}

func (a *ReceivedCompletion) readStream(body io.Reader) error {
	events := bufio.NewScanner(body)
	for events.Scan() {
		data, ok := strings.CutPrefix(events.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneMarker {
			return nil
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return errors.Join(ErrIncomplete, err)
		}
		a.add(chunk)
	}
	return errors.Join(ErrIncomplete, events.Err())
}

// add adds the contents of a chunk or of a complete answer.
func (a *ReceivedCompletion) add(c completion) {
	if c.Usage != nil {
		a.Usage = *c.Usage
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			a.FinishReason = *choice.FinishReason
		}
		for _, m := range []*message{choice.Message, choice.Delta} {
			if m != nil {
				a.Text += m.Content
			}
		}
	}
}
