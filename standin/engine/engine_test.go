package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
)

// waitTimeout limits how long tests wait for a condition; no result depends on
// its value.
const waitTimeout = 20 * time.Second

func startEngine(t *testing.T, opts engine.Options) (*engine.Engine, string) {
	t.Helper()
	opts.Name = "engine"
	e := engine.New(opts)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server.URL
}

func post(t *testing.T, url, body string) *http.Response {
	t.Helper()
	response, err := upstream.Call{Attempt: "r1.1.1", Body: body}.Post(t.Context(), http.DefaultClient, url)
	require.NoError(t, err)
	return response
}

func TestCompletions(t *testing.T) {
	cases := []struct {
		name, body string
		tokens     int
		finish     string
	}{
		{"streamed", `{"stream":true,"max_tokens":3}`, 3, "length"},
		{"whole", `{"max_tokens":30,"figstile_tokens":2}`, 2, "stop"},
		{"of no given length", `{"messages":[{"role":"user","content":"12345"}]}`, 16, "stop"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, url := startEngine(t, engine.Options{})
			response := post(t, url+"/v1/chat/completions", c.body)
			answer, err := engine.Read(response)
			require.NoError(t, err)
			require.True(t, answer.BelongsTo([]byte(c.body)))
			require.Equal(t, "r1.1.1", answer.Attempt)
			require.Equal(t, c.finish, answer.FinishReason)
			require.Equal(t, c.tokens, answer.Usage.CompletionTokens)
			require.Eventually(t, func() bool {
				return e.Ledger().Entries()[0].Outcome == upstream.Finished
			}, waitTimeout, time.Millisecond)
			require.Equal(t, c.tokens, e.Ledger().Entries()[0].Units)
		})
	}
}

func TestRequestForUnknownModelIsRejectedUnstarted(t *testing.T) {
	e, url := startEngine(t, engine.Options{Options: upstream.Options{Models: []state.Model{"held"}}})
	response := post(t, url+"/v1/chat/completions", `{"model":"other"}`)
	_ = response.Body.Close()
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	entry := e.Ledger().Entries()[0]
	require.Equal(t, upstream.Rejected, entry.Outcome)
	require.True(t, entry.Started.IsZero())
}

// If an engine cuts a stream off, the reader must see a broken connection. With
// a normal end of the stream it would take the incomplete answer for a complete
// one.
func TestTruncatedStreamBreaks(t *testing.T) {
	_, url := startEngine(t, engine.Options{Options: upstream.Options{Faults: upstream.Faults{TruncateAnswers: 1}}})
	response := post(t, url+"/v1/chat/completions", `{"stream":true,"max_tokens":4}`)
	answer, err := engine.Read(response)
	require.ErrorIs(t, err, engine.ErrIncomplete)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Contains(t, answer.Text, "-1 ")
	require.NotContains(t, answer.Text, "-2 ")
}

// A former holder of the lease sends an order with a lower fencing number than
// its successor's. An engine that checks fencing numbers must reject it; others
// apply it.
func TestStaleOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e, url := startEngine(t, engine.Options{ChecksFencing: checks})
		for _, order := range []string{
			`{"action":"load_model","model":"m","fencing":2}`,
			`{"action":"unload_model","model":"m","fencing":1}`,
		} {
			response := post(t, url+"/orders", order)
			_ = response.Body.Close()
		}
		require.Equal(t, checks, e.HasModel("m"))
		require.Equal(t, !checks, e.Orders().Orders[1].Applied)
	}
}
