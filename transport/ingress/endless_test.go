package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/memory"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state/routing"
)

const (
	// endlessBytes is what an endless answer sends at most, if it is not cut
	// off.
	endlessBytes = 16 << 20
	endlessPart  = 64 << 10
)

// endlessUpstream answers with a beginning and then the same part again and
// again, until the router closes the connection.
type endlessUpstream struct {
	*rawUpstream
	sent atomic.Int64
	// ended is closed when the router has closed the connection, or after
	// endlessBytes.
	ended chan struct{}
}

func startEndless(t *testing.T, beginning, part string) *endlessUpstream {
	t.Helper()
	u := &endlessUpstream{ended: make(chan struct{})}
	parts := []byte(strings.Repeat(part, endlessPart/len(part)+1))
	u.rawUpstream = startUpstream(t, func(conn net.Conn, _ *http.Request) {
		defer close(u.ended)
		defer conn.Close()
		if _, err := conn.Write([]byte(beginning)); err != nil {
			return
		}
		for u.sent.Load() < endlessBytes {
			n, err := conn.Write(parts)
			u.sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return u
}

// requireCutOff fails if the router received the whole of what the upstream
// would send.
func (u *endlessUpstream) requireCutOff(t *testing.T) {
	t.Helper()
	<-u.ended
	require.Less(t, u.sent.Load(), int64(endlessBytes), "the answer was not cut off")
}

func completeStream(ids ...int) string {
	text := streamHead
	for _, id := range ids {
		text += chunk(event(id))
	}
	return text + "0\r\n\r\n"
}

// oneChunk is the size line of a chunk that never ends.
const oneChunk = "7fffffff\r\n"

// An upstream sends bytes without the end of an event. The router held them all
// until it was killed for its memory, with all other requests.
func TestStreamWithEndlessEventResumesElsewhere(t *testing.T) {
	for name, part := range map[string]string{
		"zeros": "\x00", "one line": "data: x", "lines without an empty one": "data: x\n", "carriage returns": "\r",
		"events without a number": "data: x\n\n", "the same event": event(1),
	} {
		t.Run(name, func(t *testing.T) {
			endless := startEndless(t, streamHead+chunk(event(1))+oneChunk, part)
			next := startUpstream(t, writeText(completeStream(2, 3)))
			d := newHandlerFixture(t, resumableRoute, endless.rawUpstream, next)
			body, err := bodyOf(t, d.post(t))
			require.NoError(t, err)
			require.Equal(t, event(1)+event(2)+event(3), body)
			endless.requireCutOff(t)
			require.Equal(t, "1", next.receivedRequests()[0].Header.Get("Last-Event"))
			require.Zero(t, d.dispatcher.lostCount, "the request is not suspected of crashing the upstream")
			require.Equal(t, placement.Failed, d.dispatcher.endedOutcomes()[0])
		})
	}
}

// The same with lines that servers may send to keep a connection open: a few of
// them are passed on.
func TestStreamWithEndlessCommentsResumesElsewhere(t *testing.T) {
	for name, part := range map[string]string{"empty lines": "\n", "comments": ":\n\n"} {
		t.Run(name, func(t *testing.T) {
			endless := startEndless(t, streamHead+chunk(event(1))+oneChunk, part)
			next := startUpstream(t, writeText(completeStream(2, 3)))
			d := newHandlerFixture(t, resumableRoute, endless.rawUpstream, next)
			body, err := bodyOf(t, d.post(t))
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(body, event(1)))
			require.True(t, strings.HasSuffix(body, event(2)+event(3)))
			require.Empty(t, strings.Trim(body[len(event(1)):len(body)-len(event(2)+event(3))], ":\n"))
			endless.requireCutOff(t)
			require.Zero(t, d.dispatcher.lostCount)
		})
	}
}

// The same where the stream must not run twice: its caller sees it break off.
func TestStreamWithEndlessEventBreaksOff(t *testing.T) {
	endless := startEndless(t, streamHead+chunk(event(1))+oneChunk, "\x00")
	d := newHandlerFixture(t, nonResumableRoute, endless.rawUpstream)
	body, err := bodyOf(t, d.post(t))
	require.Error(t, err)
	require.Equal(t, event(1), body)
	endless.requireCutOff(t)
	require.Zero(t, d.dispatcher.lostCount)
}

// Whatever an upstream sends without end, in place of any part of its answer,
// is cut off, is not passed on as a part of an answer, and does not count
// against the request.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nSigned: 1\r\nAttempt: x\r\n"
	const page = signed + "Transfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]struct{ beginning, part string }{
		"before the head":        {"", "\x00"},
		"status line":            {"HTTP/1.1 200 ", "O"},
		"header line":            {signed + "A: ", "a"},
		"header lines":           {signed, "A: b\r\n"},
		"informational answers":  {"", "HTTP/1.1 103 Early\r\n\r\n"},
		"chunk size":             {page, "0"},
		"chunk extension":        {page + "1;", "e"},
		"chunks with extensions": {page, "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n"},
		"trailer line":           {page + "1\r\nx\r\n0\r\n", "a"},
		"trailer lines":          {page + "1\r\nx\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			endless := startEndless(t, answer.beginning, answer.part)
			next := startUpstream(t, writeText(completeAnswer(200, "page")))
			d := newHandlerFixture(t, idempotentRoute, endless.rawUpstream, next)
			body, err := bodyOf(t, d.post(t))
			require.NoError(t, err)
			require.Equal(t, "page", body)
			endless.requireCutOff(t)
			require.Zero(t, d.dispatcher.lostCount)
			require.Equal(t, placement.Failed, d.dispatcher.endedOutcomes()[0])
		})
	}
}

// A body without end, of any framing and on any route, is received up to the
// limit of an answer. Its caller sees that the answer is not complete.
func TestEndlessBodyBreaksOff(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nSigned: 1\r\nAttempt: x\r\n"
	for kind, route := range map[string]routing.Route{"page": nonIdempotentRoute, "repeatable page": idempotentRoute, "stream": nonResumableRoute, "resumable stream": resumableRoute} {
		for name, answer := range map[string]struct{ beginning, part string }{
			"one chunk":        {signed + "Transfer-Encoding: chunked\r\n\r\n" + oneChunk, "\x00"},
			"chunks of a byte": {signed + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
			"empty lines":      {signed + "Transfer-Encoding: chunked\r\n\r\n" + oneChunk, "\n"},
			"length":           {signed + "Content-Length: 999999999\r\n\r\n", "\x00"},
			"no framing":       {signed + "\r\n", "\x00"},
		} {
			t.Run(kind+"/"+name, func(t *testing.T) {
				endless := startEndless(t, answer.beginning, answer.part)
				d := newHandlerFixture(t, route, endless.rawUpstream)
				response, err := http.DefaultClient.Do(d.request(t, context.Background(), "hello"))
				require.NoError(t, err)
				defer response.Body.Close()
				_, err = bodyOf(t, response)
				require.True(t, err != nil || response.StatusCode == http.StatusBadGateway, "status %d", response.StatusCode)
				endless.requireCutOff(t)
				require.Zero(t, d.dispatcher.lostCount)
			})
		}
	}
}

// Many upstreams send long beginnings of events at the same time. Each is within
// its own limit; together they must stay within the memory for answers.
func TestUnfinishedEventsShareTheMemoryForAnswers(t *testing.T) {
	const streams = 40
	waiting := make(chan struct{})
	defer close(waiting)
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(streamHead + chunk(event(1)) + chunk(strings.Repeat("x", maxEventBytes-1))))
		<-waiting
	})
	d := newHandlerFixture(t, nonResumableRoute, u)
	limit := int64(20 * maxEventBytes)
	budget := memory.NewBudget(limit)
	d.handler.AnswerMemory = budget
	ended := make(chan error, streams)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range streams {
		go func() {
			response, err := http.DefaultClient.Do(d.request(t, ctx, "hello"))
			if err == nil {
				_, err = bodyOf(t, response)
				_ = response.Body.Close()
			}
			ended <- err
		}()
	}
	for range streams - int(limit/(3*(maxEventBytes-1))) {
		require.Error(t, <-ended)
	}
	require.LessOrEqual(t, budget.Held(), limit)
	require.Zero(t, d.dispatcher.lostCount)
	cancel()
	require.Eventually(t, func() bool { return budget.Held() == 0 }, 10*time.Second, time.Millisecond)
}

// Without memory for answers an answer is passed on as it arrives, instead of
// being refused.
func TestAnswerIsRelayedWithoutMemoryToHoldIt(t *testing.T) {
	text := strings.Repeat("page ", 10_000)
	u := startUpstream(t, writeText(completeAnswer(200, text)))
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	d.handler.AnswerMemory = memory.NewBudget(1)
	body, err := bodyOf(t, d.post(t))
	require.NoError(t, err)
	require.True(t, bytes.Equal([]byte(text), []byte(body)))
	require.Zero(t, d.handler.AnswerMemory.Held())
}

// The last part of a long answer arrives when no memory is left to hold more of
// it. The answer was complete, and broke off.
func TestLongAnswerThatEndsWithoutMemoryIsComplete(t *testing.T) {
	text := strings.Repeat("x", maxBufferedBytes+1)
	u := startUpstream(t, writeText(completeAnswer(200, text)))
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	d.handler.AnswerMemory = memory.NewBudget(1)
	body, err := bodyOf(t, d.post(t))
	require.NoError(t, err)
	require.Len(t, body, len(text))
}
