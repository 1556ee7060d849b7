package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state/routing"
)

var (
	runOnce      = routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 2}
	repeatable   = routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}
	resumable    = routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}
	nonResumable = routing.Route{Kind: routing.Stream, MaxAttempts: 2}
)

func bodyOf(t *testing.T, response *http.Response) (string, error) {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	u := startUpstream(t, writeText(completeAnswer(203, "page")))
	d := newHandlerFixture(t, runOnce, u)
	response := d.post(t)
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, 203, response.StatusCode)
	require.Equal(t, "page", body)
	require.Equal(t, "1", response.Header.Get("Signed"))
	seen := u.receivedRequests()[0]
	require.Equal(t, "/a/p?q=1", seen.RequestURI)
	require.Equal(t, "h", seen.Host)
	require.Equal(t, "w", seen.Header.Get("Workspace"))
	require.Empty(t, seen.Header.Get("Key"), "the key is not the upstream's business")
	d.dispatcher.awaitEnded(t, placement.Answered)
}

// A visitor's page is fetched by a request that publishes something. The worker
// reads it and its connection breaks. Sent again, the office would publish
// twice; so the caller is told that nobody knows.
func TestRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { reset(conn) })
	spare := startUpstream(t, writeText(completeAnswer(200, "second")))
	d := newHandlerFixture(t, runOnce, u, spare)
	response := d.post(t)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get("Figstile-Ran"))
	require.Len(t, u.receivedRequests(), 1)
	require.Empty(t, spare.receivedRequests())
	require.Equal(t, 1, d.dispatcher.lostCount)
}

func TestIdempotentRequestGoesToAnotherUpstream(t *testing.T) {
	for name, script := range map[string]func(net.Conn, *http.Request){
		"reset": func(conn net.Conn, _ *http.Request) { reset(conn) },
		"truncated": func(conn net.Conn, _ *http.Request) {
			_, _ = conn.Write([]byte(completeAnswer(200, "page")[:60]))
			_ = conn.Close()
		},
		"garbage":  func(conn net.Conn, _ *http.Request) { _, _ = conn.Write([]byte("%%%%\r\n\r\n")); _ = conn.Close() },
		"failed":   writeText(completeAnswer(500, "no")),
		"unsigned": writeText("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
		"crossed":  writeText("HTTP/1.1 200 OK\r\nSigned: 1\r\nAttempt: other\r\nContent-Length: 2\r\n\r\nhi"),
		"not run":  writeText("HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			u, spare := startUpstream(t, script), startUpstream(t, writeText(completeAnswer(200, "page")))
			d := newHandlerFixture(t, repeatable, u, spare)
			response := d.post(t)
			body, err := bodyOf(t, response)
			require.NoError(t, err)
			require.Equal(t, "page", body)
			require.Len(t, spare.receivedRequests(), 1)
		})
	}
}

// A fleet in trouble must not multiply its load: once the budget for repeats
// is spent, a failed answer is the final one.
func TestNoRepeatWithoutBudget(t *testing.T) {
	u, spare := startUpstream(t, writeText(completeAnswer(500, "no"))), startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, repeatable, u, spare)
	d.dispatcher.noRetries = true
	response := d.post(t)
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, 500, response.StatusCode)
	require.Equal(t, "no", body, "the upstream's own failure is passed on whole")
	require.Equal(t, "1", response.Header.Get("Signed"))
	require.Empty(t, spare.receivedRequests())
}

func TestRejectedRequestIsRefusedAsNotRun(t *testing.T) {
	u := startUpstream(t, writeText("HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	d := newHandlerFixture(t, runOnce, u)
	response := d.post(t)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "no", response.Header.Get("Figstile-Ran"))
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

// The first worker's connection breaks while it runs the request, the second
// says that it did not run it. "Not run" would be false for the first.
func TestRefusalAfterALossDoesNotSayNotRun(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { reset(conn) })
	full := startUpstream(t, writeText("HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	d := newHandlerFixture(t, repeatable, u, full)
	response := d.post(t)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get("Figstile-Ran"))
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(d *handlerFixture, r *http.Request)
		status int
	}{
		"overload":        {func(d *handlerFixture, _ *http.Request) { d.dispatcher.verdict.Reason = admission.Overload }, 503},
		"beyond share":    {func(d *handlerFixture, _ *http.Request) { d.dispatcher.verdict.Reason = admission.OverShare }, 429},
		"no key":          {func(_ *handlerFixture, r *http.Request) { r.Header.Del("Key") }, 401},
		"no route":        {func(_ *handlerFixture, r *http.Request) { r.Host = "other" }, 404},
		"no table":        {func(d *handlerFixture, _ *http.Request) { d.dispatcher.table = nil }, 503},
		"stale, no key":   {func(d *handlerFixture, r *http.Request) { d.dispatcher.configStale = true; r.Header.Del("Key") }, 503},
		"stale, no route": {func(d *handlerFixture, r *http.Request) { d.dispatcher.configStale = true; r.Host = "other" }, 503},
		"long head":       {func(_ *handlerFixture, r *http.Request) { r.Header.Set("Filler", strings.Repeat("x", 2000)) }, 431},
		"blocked":         {func(d *handlerFixture, _ *http.Request) { d.dispatcher.quarantined = true }, 503},
		"full":            {func(d *handlerFixture, _ *http.Request) { d.dispatcher.atCapacity = true }, 429},
		"no room for it":  {func(d *handlerFixture, _ *http.Request) { d.dispatcher.atCapacityFor = "w" }, 429},
		"closing":         {func(d *handlerFixture, _ *http.Request) { d.dispatcher.draining = true }, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, writeText(completeAnswer(200, "page")))
			d := newHandlerFixture(t, runOnce, u)
			request := d.request(t, context.Background(), "hello")
			c.change(d, request)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, c.status, response.StatusCode)
			require.Empty(t, u.receivedRequests(), "what is refused does not run")
			require.Equal(t, name == "closing", response.Close)
		})
	}
}

// An engine breaks off within the third event of a guide. The caller must get
// each event once: the torn one is dropped, and another engine goes on after
// the last whole one, under the first engine's head.
func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	partial := event(3)[:7]
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(streamHead + chunk(event(1)) + chunk(event(2)+partial)))
		reset(conn)
	})
	spare := startUpstream(t, writeText("HTTP/1.1 200 OK\r\nSigned: second\r\nAttempt: x\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(event(3))+chunk(event(4))+"0\r\n\r\n"))
	d := newHandlerFixture(t, resumable, u, spare)
	response := d.post(t)
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, event(1)+event(2)+event(3)+event(4), body)
	require.Equal(t, "first", response.Header.Get("Signed"))
	require.Equal(t, "2", spare.receivedRequests()[0].Header.Get("Last-Event"))
}

// A stream that cannot be resumed breaks. The caller's library has to see
// that it is not complete, and no second run may begin.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	for name, script := range map[string]func(net.Conn, *http.Request){
		"reset": func(conn net.Conn, _ *http.Request) {
			_, _ = conn.Write([]byte(streamHead + chunk(event(1))))
			reset(conn)
		},
		"torn": writeText(streamHead + chunk(event(1)+"id: 2\nda") + "0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			u, spare := startUpstream(t, script), startUpstream(t, writeText(streamHead+"0\r\n\r\n"))
			d := newHandlerFixture(t, nonResumable, u, spare)
			response := d.post(t)
			body, err := bodyOf(t, response)
			require.Error(t, err)
			require.Equal(t, event(1), body)
			require.Empty(t, spare.receivedRequests())
		})
	}
}

func TestStreamBrokenBeforeItsFirstEventIsAnsweredCleanly(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { _, _ = conn.Write([]byte(streamHead)); reset(conn) })
	d := newHandlerFixture(t, nonResumable, u)
	response := d.post(t)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, response.Header.Get("Signed"), "a failure of the router's own bears no signature")
}

// A worker takes a request and its answer is lost: the connection stays open
// and silent. The dispatcher sees that later requests were answered and gives it up;
// the caller gets the page from another worker instead of waiting.
func TestStalledAttemptIsRepeated(t *testing.T) {
	reached := make(chan struct{})
	u := startUpstream(t, func(net.Conn, *http.Request) { close(reached) })
	spare := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, repeatable, u, spare)
	go func() {
		<-reached
		d.dispatcher.cancelStalled(0)
	}()
	body, err := bodyOf(t, d.post(t))
	require.NoError(t, err)
	require.Equal(t, "page", body)
}

// A stream stalls after its first event. The dispatcher has spent a retry on it when
// it gives it up, so that the stream goes on at another engine even if nobody
// else gets a retry now; asked again for one, its caller saw it break off.
func TestStalledStreamResumesWithoutAnotherRetry(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(streamHead + chunk(event(1))))
		_, _ = conn.Read(make([]byte, 1))
	})
	spare := startUpstream(t, writeText(streamHead+chunk(event(2))+"0\r\n\r\n"))
	d := newHandlerFixture(t, resumable, u, spare)
	d.dispatcher.noRetries = true
	response := d.post(t)
	d.dispatcher.cancelStalled(0)
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, event(1)+event(2), body)
}

// A caller leaves while its request runs. The worker notices by its connection
// and stops; nothing is sent anywhere else.
func TestCallerDisconnectCancelsTheAttempt(t *testing.T) {
	reached, closed := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		close(reached)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	spare := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, repeatable, u, spare)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-reached
		cancel()
	}()
	_, err := http.DefaultClient.Do(d.request(t, ctx, "hello")) //nolint:bodyclose // There is no answer.
	require.ErrorIs(t, err, context.Canceled)
	<-closed
	require.Empty(t, spare.receivedRequests())
}

// A fault of the router's own ends the handling of a page that an upstream has
// answered. Its caller saw the connection close and the router's log had no line
// of the request, and the upstream counted as busy with it for good.
func TestPanicWhileHandlingIsAnswered(t *testing.T) {
	d := newHandlerFixture(t, repeatable, startUpstream(t, writeText(completeAnswer(200, "page"))))
	d.dispatcher.panicOnServed = true
	require.Equal(t, http.StatusInternalServerError, d.post(t).StatusCode)
	d.dispatcher.awaitEnded(t, placement.Withdrawn)
}

// A caller gave up while its request waited for the processor. Nothing has read
// its close yet, but the kernel has it: the request goes to no upstream, and the
// connection ends without anything that could be taken for an answer.
func TestRequestOfADisconnectedCallerIsNotSent(t *testing.T) {
	u := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, repeatable, u)
	d.dispatcher.callerClosed = true
	_, err := http.DefaultClient.Do(d.request(t, context.Background(), "hello")) //nolint:bodyclose // There is no answer.
	require.Error(t, err)
	require.Empty(t, u.receivedRequests())
	d.dispatcher.awaitEnded(t, placement.Withdrawn)
}

// The operator's timeout passes while a worker is at it. The caller gets an
// answer then, one that does not say that the request did not run.
func TestTimeoutWhileRunning(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) })
	route := runOnce
	route.Timeout = 20 * time.Millisecond
	response := newHandlerFixture(t, route, u).post(t)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}

// A worker is gone and its address refuses connections. Nothing was sent, so
// any request may go elsewhere, one that must not run twice as well.
func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	closed := startUpstream(t, writeText(""))
	require.NoError(t, closed.listener.Close())
	spare := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, runOnce, closed, spare)
	body, err := bodyOf(t, d.post(t))
	require.NoError(t, err)
	require.Equal(t, "page", body)
	require.Equal(t, placement.Unconnected, d.dispatcher.endedOutcomes()[0])
}

// An answer without a length ends with its connection. Closed in order it is
// whole; reset on the way it is not.
func TestAnswerWithoutLength(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nSigned: 1\r\nAttempt: x\r\n\r\npage"
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { _, _ = conn.Write([]byte(unframed)); _ = conn.Close() })
	body, err := bodyOf(t, newHandlerFixture(t, runOnce, u).post(t))
	require.NoError(t, err)
	require.Equal(t, "page", body)

	gate := make(chan struct{})
	broken := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(unframed))
		<-gate
		reset(conn)
	})
	d := newHandlerFixture(t, runOnce, broken)
	close(gate)
	require.Equal(t, http.StatusBadGateway, d.post(t).StatusCode)
}
