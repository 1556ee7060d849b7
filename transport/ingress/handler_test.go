package ingress

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/state/routing"
)

var (
	nonIdempotentRoute = routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 2}
	idempotentRoute    = routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}
	resumableRoute     = routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}
	nonResumableRoute  = routing.Route{Kind: routing.Stream, MaxAttempts: 2}
)

func bodyOf(t *testing.T, response *http.Response) (string, error) {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	u := startUpstream(t, writeText(completeAnswer(203, "page")))
	d := newHandlerFixture(t, nonIdempotentRoute, u)
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
	require.Empty(t, seen.Header.Get("Key"), "the key is not sent to the upstream")
	d.dispatcher.awaitEnded(t, placement.Answered)
}

// A request that publishes something reaches a worker, and its connection
// breaks. Sending it again would publish twice, so the caller must receive an
// error which states that the outcome is unknown.
func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { reset(conn) })
	spare := startUpstream(t, writeText(completeAnswer(200, "second")))
	d := newHandlerFixture(t, nonIdempotentRoute, u, spare)
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
			d := newHandlerFixture(t, idempotentRoute, u, spare)
			response := d.post(t)
			body, err := bodyOf(t, response)
			require.NoError(t, err)
			require.Equal(t, "page", body)
			require.Len(t, spare.receivedRequests(), 1)
		})
	}
}

// An upstream sends bytes that are no answer, and goes on running. The request
// that waited was suspected of crashing upstreams, and was refused in the whole
// fleet once two such upstreams had left.
func TestBytesThatAreNoAnswerDoNotCountAgainstTheRequest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: 1\r\nAttempt: x\r\n"
	for name, text := range map[string]string{
		"before the head": "%%%%\r\n\r\n",
		"in the head":     head + "%%%%\r\n\r\n",
		"in the framing":  head + "Transfer-Encoding: chunked\r\n\r\n5\r\npages%%%%",
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, writeText(text))
			d := newHandlerFixture(t, nonIdempotentRoute, u)
			require.Equal(t, http.StatusBadGateway, d.post(t).StatusCode)
			require.Zero(t, d.dispatcher.lostCount)
			d.dispatcher.awaitEnded(t, placement.Failed)
		})
	}
}

// An upstream sends additional bytes after a complete answer, which arrive when
// the next request is under way. If they name no request they prove nothing about
// this one. Before, a request that ran was refused as not run.
func TestAnswerThatNamesNoRequestProvesNothing(t *testing.T) {
	for name, extra := range map[string]string{
		"rejection":        "HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"answer":           "HTTP/1.1 200 S\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nalien",
		"another's answer": "HTTP/1.1 200 S\r\nSigned: 1\r\nAttempt: y\r\nContent-Length: 5\r\n\r\nalien",
	} {
		t.Run(name, func(t *testing.T) {
			requests := 0
			u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
				requests++
				if requests == 2 {
					_, _ = conn.Write([]byte(extra))
				}
				_, _ = conn.Write([]byte(completeAnswer(200, "page")))
			})
			d := newHandlerFixture(t, nonIdempotentRoute, u)
			for i, want := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
				response := d.post(t)
				body, err := bodyOf(t, response)
				require.NoError(t, err)
				require.Equal(t, want, response.StatusCode, "request %d", i)
				require.NotContains(t, body, "alien")
				if want != http.StatusOK {
					require.Equal(t, "unknown", response.Header.Get("Figstile-Ran"))
				}
			}
			require.Zero(t, d.dispatcher.lostCount)
		})
	}
}

// An upstream whose answers do not name the request is believed where nothing
// else can have sent bytes: on a new connection.
func TestAnswerThatNamesNoRequestOnANewConnection(t *testing.T) {
	for text, want := range map[string]int{
		"HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n":               http.StatusServiceUnavailable,
		"HTTP/1.1 200 S\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nalien":           http.StatusOK,
		"HTTP/1.1 500 S\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nalien":           http.StatusInternalServerError,
		"HTTP/1.1 503 S\r\nNot-Run: 1\r\nAttempt: x\r\nConnection: close\r\n\r\n": http.StatusServiceUnavailable,
	} {
		u := startUpstream(t, writeText(text))
		require.Equal(t, want, newHandlerFixture(t, nonIdempotentRoute, u).post(t).StatusCode, text)
	}
}

// A rejection that names the request counts at any time, also on a connection
// that was used before.
func TestRejectionThatNamesTheRequestOnAKeptConnection(t *testing.T) {
	answers := []string{completeAnswer(200, "page"), "HTTP/1.1 503 S\r\nNot-Run: 1\r\nAttempt: x\r\nContent-Length: 0\r\n\r\n"}
	requests := 0
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(answers[requests]))
		requests++
	})
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	response := d.post(t)
	_, err := bodyOf(t, response)
	require.NoError(t, err)
	response = d.post(t)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "no", response.Header.Get("Figstile-Ran"))
}

// A request was routed by its decoded path, in which an escaped slash ends a
// prefix, and was forwarded with another one.
func TestEscapedSlashDoesNotEndAPrefix(t *testing.T) {
	u := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	for path, want := range map[string]int{"/a%2Fp": http.StatusNotFound, "/a/%2Fp": http.StatusOK, "/a/p%20q": http.StatusOK} {
		request, err := http.NewRequest(http.MethodPost, d.url+path, strings.NewReader("hello"))
		require.NoError(t, err)
		request.Host = "h"
		request.Header.Set("Key", "secret")
		request.Header.Set("Attempt", "x")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, want, response.StatusCode, path)
	}
}

// A caller stops reading a long answer and keeps its connection open. The router
// held the connection, and what had arrived of the answer, for as long.
func TestCallerThatDoesNotReadIsLeftAfterTheDeadline(t *testing.T) {
	u := startUpstream(t, writeText(completeAnswer(200, strings.Repeat("page", 8<<20))))
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	request := d.request(t, context.Background(), "")
	request.Header.Set("Deadline", "100ms")
	caller, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	require.NoError(t, err)
	defer caller.Close()
	require.NoError(t, request.Write(caller))
	require.Eventually(t, func() bool { return d.handler.Running() == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return d.handler.Running() == 0 }, 10*time.Second, time.Millisecond)
}

// The limit for one answer must not end the next one on the connection.
func TestWriteDeadlineEndsWithItsRequest(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Wait") != "" {
			time.Sleep(unreadLimit + 200*time.Millisecond)
		}
		_, _ = conn.Write([]byte(completeAnswer(200, "page")))
	})
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	for _, wait := range []string{"", "1"} {
		request := d.request(t, context.Background(), "hello")
		request.Header.Set("Deadline", "100ms")
		if wait != "" {
			request.Header.Set("Deadline", "10s")
			request.Header.Set("Wait", wait)
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		body, err := bodyOf(t, response)
		require.NoError(t, err)
		require.Equal(t, "page", body)
		_ = response.Body.Close()
	}
}

// A route whose streams cannot resume begins at the first event, whatever event
// its caller names.
func TestCallersLastEventOnARouteThatCannotResume(t *testing.T) {
	u := startUpstream(t, writeText(completeStream(1, 2)))
	d := newHandlerFixture(t, nonResumableRoute, u)
	request := d.request(t, context.Background(), "hello")
	request.Header.Set("Last-Event", "7")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, event(1)+event(2), body)
}

// Retries must not multiply the load of an overloaded fleet: once the retry
// budget is spent, a failed answer is final.
func TestNoRetryWithoutBudget(t *testing.T) {
	u, spare := startUpstream(t, writeText(completeAnswer(500, "no"))), startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, idempotentRoute, u, spare)
	d.dispatcher.noRetries = true
	response := d.post(t)
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, 500, response.StatusCode)
	require.Equal(t, "no", body, "the upstream's own error answer is relayed completely")
	require.Equal(t, "1", response.Header.Get("Signed"))
	require.Empty(t, spare.receivedRequests())
}

func TestRejectedRequestIsRefusedAsNotRun(t *testing.T) {
	u := startUpstream(t, writeText("HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	d := newHandlerFixture(t, nonIdempotentRoute, u)
	response := d.post(t)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "no", response.Header.Get("Figstile-Ran"))
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

// The first worker's connection breaks while it runs the request, and the
// second worker states that it did not run it. An answer that the request did
// not run would be wrong for the first one.
func TestRefusalAfterALossDoesNotSayNotRun(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { reset(conn) })
	full := startUpstream(t, writeText("HTTP/1.1 503 S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	d := newHandlerFixture(t, idempotentRoute, u, full)
	response := d.post(t)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get("Figstile-Ran"))
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(d *handlerFixture, r *http.Request)
		status int
	}{
		"overload":                      {func(d *handlerFixture, _ *http.Request) { d.dispatcher.verdict.Reason = admission.Overload }, 503},
		"over share":                    {func(d *handlerFixture, _ *http.Request) { d.dispatcher.verdict.Reason = admission.OverShare }, 429},
		"no key":                        {func(_ *handlerFixture, r *http.Request) { r.Header.Del("Key") }, 401},
		"no route":                      {func(_ *handlerFixture, r *http.Request) { r.Host = "other" }, 404},
		"no table":                      {func(d *handlerFixture, _ *http.Request) { d.dispatcher.table = nil }, 503},
		"stale, no key":                 {func(d *handlerFixture, r *http.Request) { d.dispatcher.configStale = true; r.Header.Del("Key") }, 503},
		"stale, no route":               {func(d *handlerFixture, r *http.Request) { d.dispatcher.configStale = true; r.Host = "other" }, 503},
		"long head":                     {func(_ *handlerFixture, r *http.Request) { r.Header.Set("Filler", strings.Repeat("x", 2000)) }, 431},
		"request quarantined":           {func(d *handlerFixture, _ *http.Request) { d.dispatcher.suspect = quarantine.Blocked }, 503},
		"at capacity":                   {func(d *handlerFixture, _ *http.Request) { d.dispatcher.atCapacity = true }, 429},
		"at capacity for the workspace": {func(d *handlerFixture, _ *http.Request) { d.dispatcher.atCapacityFor = "w" }, 429},
		"router draining":               {func(d *handlerFixture, _ *http.Request) { d.dispatcher.draining = true }, 503},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, writeText(completeAnswer(200, "page")))
			d := newHandlerFixture(t, nonIdempotentRoute, u)
			request := d.request(t, context.Background(), "hello")
			c.change(d, request)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, c.status, response.StatusCode)
			require.Empty(t, u.receivedRequests(), "a refused request is not sent to an upstream")
			require.Equal(t, name == "router draining", response.Close)
		})
	}
}

// A blocked request is tried again and crashes the upstream that runs it. It must
// not be sent to a second one.
func TestTrialOfASuspectIsNotRetried(t *testing.T) {
	crashed := startUpstream(t, func(conn net.Conn, _ *http.Request) { reset(conn) })
	other := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, idempotentRoute, crashed, other)
	d.dispatcher.suspect = quarantine.Trial
	require.NotEqual(t, http.StatusOK, d.post(t).StatusCode)
	require.Empty(t, other.receivedRequests())
	d.dispatcher.suspect = quarantine.Free
	require.Equal(t, http.StatusOK, d.post(t).StatusCode)
}

// A blocked request that may be tried again is refused for its workspace's share.
// Its trial must be left for the next one, and only one request may use it.
func TestRefusedRequestDoesNotUseItsTrial(t *testing.T) {
	u := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, idempotentRoute, u)
	d.dispatcher.suspect = quarantine.Trial
	d.dispatcher.verdict = admission.Verdict{Reason: admission.OverShare, RetryAfter: time.Second}
	require.Equal(t, http.StatusTooManyRequests, d.post(t).StatusCode)
	require.Zero(t, d.dispatcher.trials)
	d.dispatcher.verdict = admission.Verdict{}
	require.Equal(t, http.StatusOK, d.post(t).StatusCode)
	require.NotEqual(t, http.StatusOK, d.post(t).StatusCode, "a second trial")
	require.Len(t, u.receivedRequests(), 1)
	require.Equal(t, []placement.Outcome{placement.Answered, placement.Withdrawn}, d.dispatcher.endedOutcomes())
}

// An engine's connection breaks within the third event. The caller must receive
// each event once: the partial event is dropped, and another engine resumes
// after the last complete one, under the head of the first engine's answer.
func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	partial := event(3)[:7]
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(streamHead + chunk(event(1)) + chunk(event(2)+partial)))
		reset(conn)
	})
	spare := startUpstream(t, writeText("HTTP/1.1 200 OK\r\nSigned: second\r\nAttempt: x\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(event(3))+chunk(event(4))+"0\r\n\r\n"))
	d := newHandlerFixture(t, resumableRoute, u, spare)
	response := d.post(t)
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, event(1)+event(2)+event(3)+event(4), body)
	require.Equal(t, "first", response.Header.Get("Signed"))
	require.Equal(t, "2", spare.receivedRequests()[0].Header.Get("Last-Event"))
}

// The upstream that shall resume a stream sends something else. It was written
// into the stream, if it was long, and the stream ended as if it were complete.
func TestOnlyTheRestOfAStreamFollowsItsBeginning(t *testing.T) {
	page := strings.Repeat("error ", 2*maxBufferedBytes/6)
	const signed = "S\r\nSigned: 1\r\nAttempt: x\r\n"
	for name, second := range map[string]string{
		"error page":                 completeAnswer(500, "no"),
		"long error page":            completeAnswer(500, page),
		"long error page, chunked":   "HTTP/1.1 500 " + signed + "Transfer-Encoding: chunked\r\n\r\n" + chunk(page) + "0\r\n\r\n",
		"long error page, broken":    completeAnswer(500, page)[:len(page)-100],
		"long page without a length": "HTTP/1.1 200 " + signed + "Content-Type: text/html\r\n\r\n" + page,
		"page":                       "HTTP/1.1 200 " + signed + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		"page without a type":        completeAnswer(200, page),
		"redirect":                   "HTTP/1.1 302 " + signed + "Location: /\r\nContent-Length: 0\r\n\r\n",
		"no content":                 "HTTP/1.1 204 " + signed + "\r\n" + event(2),
		"not modified":               "HTTP/1.1 304 " + signed + "\r\n" + event(2),
		"another protocol":           "HTTP/1.1 101 " + signed + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n" + event(2),
		"part of a range":            "HTTP/1.1 206 " + signed + "Content-Length: 19\r\n\r\n" + event(2),
		"the stream from its start":  completeStream(1, 2, 3),
		"unsigned stream":            "HTTP/1.1 200 S\r\nAttempt: x\r\nContent-Length: 19\r\n\r\n" + event(2),
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, writeAndClose(streamHead+chunk(event(1))))
			next := startUpstream(t, writeAndClose(second))
			d := newHandlerFixture(t, resumableRoute, u, next)
			response := d.post(t)
			body, err := bodyOf(t, response)
			require.Error(t, err, "a stream without its end must not look complete")
			require.Equal(t, event(1), body)
			require.Equal(t, "first", response.Header.Get("Signed"))
			require.Equal(t, placement.Failed, d.dispatcher.endedOutcomes()[1])
		})
	}
}

// The rest of a stream may have another framing than its beginning.
func TestRestOfAStreamOfAnotherFraming(t *testing.T) {
	rest := event(2) + event(3)
	const signed = "HTTP/1.1 200 S\r\nSigned: 1\r\nAttempt: x\r\n"
	for name, second := range map[string]string{
		"chunks":       completeStream(2, 3),
		"length":       completeAnswer(200, rest),
		"until closed": signed + "Content-Type: text/event-stream; charset=utf-8\r\n\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, writeAndClose(streamHead+chunk(event(1))))
			next := startUpstream(t, writeAndClose(second))
			body, err := bodyOf(t, newHandlerFixture(t, resumableRoute, u, next).post(t))
			require.NoError(t, err)
			require.Equal(t, event(1)+rest, body)
		})
	}
}

// A page on a route of streams is an answer like any other.
func TestPageOnARouteOfStreams(t *testing.T) {
	u := startUpstream(t, writeText("HTTP/1.1 200 S\r\nSigned: 1\r\nAttempt: x\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"))
	body, err := bodyOf(t, newHandlerFixture(t, resumableRoute, u).post(t))
	require.NoError(t, err)
	require.Equal(t, "{}", body)
}

// A stream that cannot be resumed breaks off. The caller's HTTP library must
// detect that it is incomplete, and the request must not run again.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	for name, script := range map[string]func(net.Conn, *http.Request){
		"reset": func(conn net.Conn, _ *http.Request) {
			_, _ = conn.Write([]byte(streamHead + chunk(event(1))))
			reset(conn)
		},
		"partial event": writeText(streamHead + chunk(event(1)+"id: 2\nda") + "0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			u, spare := startUpstream(t, script), startUpstream(t, writeText(streamHead+"0\r\n\r\n"))
			d := newHandlerFixture(t, nonResumableRoute, u, spare)
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
	d := newHandlerFixture(t, nonResumableRoute, u)
	response := d.post(t)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, response.Header.Get("Signed"), "an error of the router itself is not signed")
}

// A worker receives a request and its answer is lost, while the connection
// stays open without data. The dispatcher sees that later requests were
// answered and cancels the attempt. The caller gets the answer of another
// worker.
func TestStalledAttemptIsRetried(t *testing.T) {
	reached := make(chan struct{})
	u := startUpstream(t, func(net.Conn, *http.Request) { close(reached) })
	spare := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, idempotentRoute, u, spare)
	go func() {
		<-reached
		d.dispatcher.cancelStalled(0)
	}()
	body, err := bodyOf(t, d.post(t))
	require.NoError(t, err)
	require.Equal(t, "page", body)
}

// A stream stalls after its first event. The dispatcher spends a retry when it
// cancels the attempt, so the stream resumes at another engine even if the
// budget has no retry left. When a second retry was required, the stream broke
// off.
func TestStalledStreamResumesWithoutAnotherRetry(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(streamHead + chunk(event(1))))
		_, _ = conn.Read(make([]byte, 1))
	})
	spare := startUpstream(t, writeText(streamHead+chunk(event(2))+"0\r\n\r\n"))
	d := newHandlerFixture(t, resumableRoute, u, spare)
	d.dispatcher.noRetries = true
	response := d.post(t)
	d.dispatcher.cancelStalled(0)
	body, err := bodyOf(t, response)
	require.NoError(t, err)
	require.Equal(t, event(1)+event(2), body)
}

// A caller disconnects while its request runs. The worker detects the closed
// connection and stops, and the request is not sent to another upstream.
func TestCallerDisconnectCancelsTheAttempt(t *testing.T) {
	reached, closed := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		close(reached)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	spare := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, idempotentRoute, u, spare)
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

// A fault of the router made a handler panic after the upstream had answered.
// The caller's connection was closed, the log had no line for the request, and
// the upstream counted as busy with it forever.
func TestPanicWhileHandlingIsAnswered(t *testing.T) {
	d := newHandlerFixture(t, idempotentRoute, startUpstream(t, writeText(completeAnswer(200, "page"))))
	d.dispatcher.panicOnServed = true
	require.Equal(t, http.StatusInternalServerError, d.post(t).StatusCode)
	d.dispatcher.awaitEnded(t, placement.Withdrawn)
}

// A caller disconnects while its request waits for the CPU. The kernel has
// received the close, but the process has not read it. The request must not be
// sent to an upstream, and the connection must end without any answer.
func TestRequestOfADisconnectedCallerIsNotSent(t *testing.T) {
	u := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, idempotentRoute, u)
	d.dispatcher.callerClosed = true
	_, err := http.DefaultClient.Do(d.request(t, context.Background(), "hello")) //nolint:bodyclose // There is no answer.
	require.Error(t, err)
	require.Empty(t, u.receivedRequests())
	d.dispatcher.awaitEnded(t, placement.Withdrawn)
}

// The route's timeout ends while a worker runs the request. The caller must get
// an answer that does not state that the request did not run.
func TestTimeoutWhileRunning(t *testing.T) {
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) })
	route := nonIdempotentRoute
	route.Timeout = 20 * time.Millisecond
	response := newHandlerFixture(t, route, u).post(t)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}

// A worker has stopped and its address refuses connections. Nothing was sent,
// so any request may go to another worker, also a request that must not run
// twice.
func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	closed := startUpstream(t, writeText(""))
	require.NoError(t, closed.listener.Close())
	spare := startUpstream(t, writeText(completeAnswer(200, "page")))
	d := newHandlerFixture(t, nonIdempotentRoute, closed, spare)
	body, err := bodyOf(t, d.post(t))
	require.NoError(t, err)
	require.Equal(t, "page", body)
	require.Equal(t, placement.Unconnected, d.dispatcher.endedOutcomes()[0])
}

// An answer without a length ends with its connection. It is complete after an
// orderly close, and incomplete after a reset.
func TestAnswerWithoutLength(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nSigned: 1\r\nAttempt: x\r\n\r\npage"
	u := startUpstream(t, func(conn net.Conn, _ *http.Request) { _, _ = conn.Write([]byte(unframed)); _ = conn.Close() })
	body, err := bodyOf(t, newHandlerFixture(t, nonIdempotentRoute, u).post(t))
	require.NoError(t, err)
	require.Equal(t, "page", body)

	gate := make(chan struct{})
	broken := startUpstream(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Write([]byte(unframed))
		<-gate
		reset(conn)
	})
	d := newHandlerFixture(t, nonIdempotentRoute, broken)
	close(gate)
	require.Equal(t, http.StatusBadGateway, d.post(t).StatusCode)
}

// A refusal of an unknown route could not be explained afterwards. Its log line
// must name the request and the configuration that decided.
func TestLogLineOfAnUnknownRouteTellsWhatDecided(t *testing.T) {
	for _, stale := range []bool{false, true} {
		d := newHandlerFixture(t, idempotentRoute)
		d.dispatcher.configStale = stale
		var log bytes.Buffer
		handler := NewHandler(Options{Dialect: plainDialect{}, Dispatcher: d.dispatcher, Log: zerolog.New(&log), Now: time.Now})
		request := d.request(t, context.Background(), "hello")
		request.Host = "other"
		handler.ServeHTTP(httptest.NewRecorder(), request)
		var line map[string]any
		require.NoError(t, json.Unmarshal(log.Bytes(), &line))
		require.Equal(t, "x", line["id"])
		require.Equal(t, !stale, line["config_current"])
		require.EqualValues(t, -1, line["config_confirmed_ms"])
	}
}
