package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
)

// HeaderTokens sets the output length, as the field figstile_tokens does; it
// stands for what the model happens to write, which max_tokens bounds.
const HeaderTokens = "Figstile-Tokens"

// message is one turn of the chat.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// request is the body of a chat completion.
type request struct {
	Model     state.Model `json:"model"`
	Messages  []message   `json:"messages"`
	MaxTokens int         `json:"max_tokens"`
	Stream    bool        `json:"stream"`
	Tokens    int         `json:"figstile_tokens"`
}

// Usage counts the tokens of one completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// choice is the one answer of a completion; streams fill Delta.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// completion is a whole answer or one chunk of a stream.
type completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Model   state.Model `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *Usage      `json:"usage,omitempty"`
}

// bytesPerToken is the usual rough size of a token.
const bytesPerToken = 4

// Token returns token i of the answer to a body with this digest, so that a
// reader can tell whose answer it holds.
func Token(digest string, i int) string { return fmt.Sprintf("%.8s-%d ", digest, i) }

// AnswerText returns the whole answer to a body with this digest.
func AnswerText(digest string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(digest, i))
	}
	return text.String()
}

// plan reads a chat completion.
func (e *Engine) plan(job *upstream.Job) (upstream.Work, *upstream.Rejection) {
	var req request
	if err := json.Unmarshal(job.Body, &req); err != nil {
		return nil, &upstream.Rejection{Status: http.StatusBadRequest, Message: err.Error()}
	}
	if req.Model != "" && !e.HasModel(req.Model) {
		return nil, &upstream.Rejection{Status: http.StatusNotFound, Message: "model is not loaded"}
	}
	g := generation{engine: e, req: req}
	g.tokens, g.finishReason = e.outputLength(req, job.Header)
	if req.Stream {
		return g.writeStream, nil
	}
	return g.writeWhole, nil
}

// outputLength chooses the output length and the reason for stopping there.
func (e *Engine) outputLength(req request, header http.Header) (tokens int, finishReason string) {
	naturalLength := req.Tokens
	if n, err := strconv.Atoi(header.Get(HeaderTokens)); err == nil {
		naturalLength = n
	}
	switch {
	case naturalLength > 0 && (req.MaxTokens <= 0 || naturalLength <= req.MaxTokens):
		return naturalLength, "stop"
	case req.MaxTokens > 0:
		return req.MaxTokens, "length"
	default:
		return e.opts.DefaultTokens, "stop"
	}
}

// generation is one completion being written.
type generation struct {
	engine       *Engine
	req          request
	tokens       int
	finishReason string
}

func (g generation) usage() *Usage {
	prompt := 0
	for _, m := range g.req.Messages {
		prompt += len(m.Content)
	}
	prompt = (prompt + bytesPerToken - 1) / bytesPerToken
	return &Usage{PromptTokens: prompt, CompletionTokens: g.tokens, TotalTokens: prompt + g.tokens}
}

func (g generation) newCompletion(job *upstream.Job, object string, c choice) completion {
	return completion{
		ID:      "chatcmpl-" + job.AnswerEntry().Attempt,
		Object:  object,
		Model:   g.req.Model,
		Choices: []choice{c},
	}
}

// writeWhole generates every token and then answers at once.
func (g generation) writeWhole(w http.ResponseWriter, job *upstream.Job) error {
	if err := job.Sleep(g.engine.opts.PrefillDelay); err != nil {
		return err
	}
	for range g.tokens {
		if err := job.Sleep(g.engine.opts.TokenDelay); err != nil {
			return err
		}
		job.AddUnits(1)
	}
	text := AnswerText(job.AnswerEntry().Digest, g.tokens)
	answer := g.newCompletion(job, "chat.completion", choice{
		Message:      &message{Role: "assistant", Content: text},
		FinishReason: &g.finishReason,
	})
	answer.Usage = g.usage()
	return job.WriteAnswer(w, answer)
}

// writeStream sends each token as it is generated.
func (g generation) writeStream(w http.ResponseWriter, job *upstream.Job) error {
	if err := job.Sleep(g.engine.opts.PrefillDelay); err != nil {
		return err
	}
	w.Header().Set("Content-Type", streamType)
	for i := range g.tokens {
		if err := g.streamToken(w, job, i); err != nil {
			return err
		}
	}
	last := g.newCompletion(job, chunkObject, choice{Delta: &message{}, FinishReason: &g.finishReason})
	last.Usage = g.usage()
	if err := sendEvent(w, last); err != nil {
		return err
	}
	return sendDone(w)
}

// The fixed parts of a stream.
const (
	streamType  = "text/event-stream"
	chunkObject = "chat.completion.chunk"
	doneMarker  = "[DONE]"
)

func (g generation) streamToken(w http.ResponseWriter, job *upstream.Job, i int) error {
	if err := job.Sleep(g.engine.opts.TokenDelay); err != nil {
		return err
	}
	if job.TruncateAnswer && i >= g.tokens/2 {
		return upstream.ErrTruncated
	}
	job.AddUnits(1)
	delta := &message{Content: Token(job.AnswerEntry().Digest, i)}
	if i == 0 {
		delta.Role = "assistant"
	}
	return sendEvent(w, g.newCompletion(job, chunkObject, choice{Delta: delta}))
}

// sendEvent writes one server-sent event and flushes it.
func sendEvent(w http.ResponseWriter, chunk completion) error {
	text, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", text); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func sendDone(w http.ResponseWriter) error {
	if _, err := fmt.Fprintf(w, "data: %s\n\n", doneMarker); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
