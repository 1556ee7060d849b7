package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
)

// patience bounds waits on conditions; no outcome depends on it.
const patience = 20 * time.Second

func serve(t *testing.T, opts engine.Options) (*engine.Engine, string) {
	t.Helper()
	opts.Name = "engine"
	e := engine.New(opts)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server.URL
}

func post(ctx context.Context, url, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(upstream.HeaderAttempt, "r1.1.1")
	return http.DefaultClient.Do(req)
}

// chunk is what a caller reads of a completion or of one event of a stream.
type chunk struct {
	Choices []struct {
		Message, Delta struct{ Content string }
		FinishReason   *string `json:"finish_reason"`
	}
	Usage *engine.Usage
}

func TestStreamedCompletion(t *testing.T) {
	_, url := serve(t, engine.Options{})
	body := `{"stream":true,"max_tokens":3,"messages":[{"role":"user","content":"12345"}]}`
	response, err := post(t.Context(), url+"/v1/chat/completions", body)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, "r1.1.1", response.Header.Get(upstream.HeaderAttempt))
	var text string
	var last chunk
	events := bufio.NewScanner(response.Body)
	for events.Scan() {
		data, ok := strings.CutPrefix(events.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		last = chunk{}
		require.NoError(t, json.Unmarshal([]byte(data), &last))
		text += last.Choices[0].Delta.Content
	}
	require.NoError(t, events.Err())
	require.Equal(t, engine.Answer(upstream.Digest([]byte(body)), 3), text)
	require.Equal(t, "length", *last.Choices[0].FinishReason)
	require.Equal(t, &engine.Usage{PromptTokens: 2, CompletionTokens: 3, TotalTokens: 5}, last.Usage)
}

func TestWholeCompletion(t *testing.T) {
	e, url := serve(t, engine.Options{})
	body := `{"max_tokens":30,"figstile_tokens":2}`
	response, err := post(t.Context(), url+"/v1/chat/completions", body)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var answer chunk
	require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
	require.Equal(t, engine.Answer(upstream.Digest([]byte(body)), 2), answer.Choices[0].Message.Content)
	require.Equal(t, "stop", *answer.Choices[0].FinishReason)
	require.Eventually(t, func() bool {
		return e.Ledger().Entries()[0].Outcome == upstream.Finished
	}, patience, time.Millisecond)
	require.Equal(t, 2, e.Ledger().Entries()[0].Units)
}

func TestUnknownModelIsRefusedUnstarted(t *testing.T) {
	e, url := serve(t, engine.Options{Options: upstream.Options{Models: []state.Model{"held"}}})
	response, err := post(t.Context(), url+"/v1/chat/completions", `{"model":"other"}`)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	entry := e.Ledger().Entries()[0]
	require.Equal(t, upstream.Refused, entry.Outcome)
	require.True(t, entry.Started.IsZero())
}

// A stream breaks off in the middle of an answer. The reader must see a broken
// connection, for a clean end would pass half an answer off as a whole one.
func TestTruncatedStreamBreaks(t *testing.T) {
	_, url := serve(t, engine.Options{Options: upstream.Options{Faults: upstream.Faults{Truncate: 1}}})
	response, err := post(t.Context(), url+"/v1/chat/completions", `{"stream":true,"max_tokens":4}`)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Contains(t, string(text), "-1 ")
	require.NotContains(t, string(text), "-2 ")
}

// A holder of an old fencing number sends an order after a newer holder has.
// An engine that checks numbers refuses it; one that ignores them obeys.
func TestStaleOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e, url := serve(t, engine.Options{ChecksFencing: checks})
		for _, order := range []string{
			`{"action":"load_model","model":"m","fencing":2}`,
			`{"action":"unload_model","model":"m","fencing":1}`,
		} {
			response, err := post(t.Context(), url+"/orders", order)
			require.NoError(t, err)
			_ = response.Body.Close()
		}
		require.Equal(t, checks, e.Holds("m"))
		require.Equal(t, !checks, e.Orders().Orders[1].Applied)
	}
}
