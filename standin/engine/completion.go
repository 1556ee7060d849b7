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

// HeaderTokens is the request header that sets the number of tokens that the
// model would generate if max_tokens didn't limit it. It overrides the body's
// field figstile_tokens.
const HeaderTokens = "Figstile-Tokens"

// message is one message of the chat.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// request is the body of a request for a chat completion.
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

// choice is the only answer of a completion. Complete answers set Message,
// chunks of a stream set Delta.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// completion is a complete answer or one chunk of a stream.
type completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Model   state.Model `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *Usage      `json:"usage,omitempty"`
}

// bytesPerToken is the approximate size of a token in bytes.
const bytesPerToken = 4

// Token returns the token with index i of the answer to a request whose body
// has the given digest. The digest in the token shows a reader which request
// the answer belongs to.
func Token(digest string, i int) string { return fmt.Sprintf("%.8s-%d ", digest, i) }

// AnswerText returns the complete text of the answer to a request whose body
// has the given digest.
func AnswerText(digest string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(digest, i))
	}
	return text.String()
}

// plan reads a request for a chat completion and rejects it if it is invalid or
// its model is not loaded.
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

// outputLength returns the number of tokens to generate and the reason for
// stopping there.
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

// generation is a completion that is being generated.
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

// writeWhole generates all tokens and then writes the answer at once.
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

// writeStream sends each token as soon as it is generated.
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

// The fixed texts of a stream.
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
