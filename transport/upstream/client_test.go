package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

var attemptID = state.AttemptID{Router: "laredo-1", Incarnation: 3, Sequence: 7}

// flakyServer answers all requests except those for /drop. After reading one of
// these, it counts the request and closes the connection without an answer.
type flakyServer struct {
	url     string
	dropped atomic.Int64
}

func startFlakyServer(t *testing.T) *flakyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	f := &flakyServer{url: "http://" + listener.Addr().String()}
	go f.accept(listener)
	return f
}

func (f *flakyServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *flakyServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/drop" {
			f.dropped.Add(1)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// A kept-alive connection breaks after the upstream has read the request.
// net/http takes the request for idempotent and sends it again by itself, so
// that one booking was charged twice. The control run with a plain transport
// shows the second copy.
func TestExactlyOneCopyIsSent(t *testing.T) {
	cases := map[string]Attempt{
		"get":            {Method: http.MethodGet},
		"empty keyed":    {Method: http.MethodPost, Header: http.Header{"Idempotency-Key": {"k"}}},
		"keyed booking":  {Method: http.MethodPost, Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("seat")},
		"new connection": {Method: http.MethodPost, Body: []byte("seat"), NewConnection: true},
	}
	for name, attempt := range cases {
		t.Run(name, func(t *testing.T) {
			server := startFlakyServer(t)
			client := NewClient(ClientOptions{})
			defer client.Close()
			first := attempt
			first.BaseURL, first.Target = server.url, "/warm"
			answer, err := client.Send(context.Background(), first)
			require.NoError(t, err)
			_, err = io.ReadAll(answer)
			require.NoError(t, err)
			answer.Close()

			attempt.BaseURL, attempt.Target = server.url, "/drop"
			_, err = client.Send(context.Background(), attempt)
			require.Equal(t, StageSent, StageOf(err))
			require.EqualValues(t, 1, server.dropped.Load())
		})
	}
	t.Run("control: a plain transport replays", func(t *testing.T) {
		server := startFlakyServer(t)
		plain := &http.Transport{}
		defer plain.CloseIdleConnections()
		for _, path := range []string{"/warm", "/drop"} {
			req, err := http.NewRequest(http.MethodPost, server.url+path, strings.NewReader("seat"))
			require.NoError(t, err)
			req.Header.Set("Idempotency-Key", "k")
			resp, err := plain.RoundTrip(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}
		require.EqualValues(t, 2, server.dropped.Load())
	})
}

// undeliveredConn accepts one write without delivering it. Read blocks until
// that write has begun, and then returns io.EOF.
type undeliveredConn struct {
	net.Conn
	reached chan struct{}
}

func (c *undeliveredConn) Write(p []byte) (int, error) {
	close(c.reached)
	return len(p), nil
}

func (c *undeliveredConn) Read([]byte) (int, error) {
	<-c.reached
	return 0, io.EOF
}

// The router gives up while net/http still holds the request in a buffer, and
// the buffer is written afterwards. The caller received "not run" although its
// booking was processed.
func TestNotSentIsReportedOnlyIfNothingLeaves(t *testing.T) {
	t.Run("dial fails", func(t *testing.T) {
		client := NewClient(ClientOptions{Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}})
		_, err := client.Send(context.Background(), Attempt{BaseURL: "http://127.0.0.1:1", Target: "/", Method: http.MethodPost})
		require.Equal(t, StageNotSent, StageOf(err))
	})
	t.Run("a begun write counts as sent", func(t *testing.T) {
		client := NewClient(ClientOptions{Dial: func(context.Context, string, string) (net.Conn, error) {
			inner, _ := net.Pipe()
			return &undeliveredConn{Conn: inner, reached: make(chan struct{})}, nil
		}})
		_, err := client.Send(context.Background(), Attempt{BaseURL: "http://127.0.0.1:1", Target: "/", Method: http.MethodPost, Body: []byte("x")})
		require.Equal(t, StageSent, StageOf(err))
	})
	t.Run("no write begins after the attempt has ended", func(t *testing.T) {
		inner, _ := net.Pipe()
		conn := &fencedConn{Conn: inner}
		tracker := &sendTracker{conn: conn}
		stage, _, _ := tracker.finish()
		require.Equal(t, StageNotSent, stage)
		_, err := conn.Write([]byte("late"))
		require.ErrorIs(t, err, errFenced)
	})
}

// An engine stops within an answer, and the missing end is not detected. The
// caller took half of the text for the complete one.
func TestTruncatedAnswers(t *testing.T) {
	cases := map[string]struct {
		raw   string
		stage Stage
		cause error
	}{
		"whole by length": {"Content-Length: 2\r\n\r\nok", StageComplete, nil},
		"whole by chunks": {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", StageComplete, nil},
		"short of length": {"Content-Length: 9\r\n\r\nok", StageTruncated, io.ErrUnexpectedEOF},
		"no final chunk":  {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", StageTruncated, io.ErrUnexpectedEOF},
		"no framing":      {"Connection: close\r\n\r\nok", StageTruncated, ErrUnframed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			answer, err := sendRaw(t, "HTTP/1.1 200 OK\r\n"+c.raw)
			require.NoError(t, err)
			defer answer.Close()
			body, err := io.ReadAll(answer)
			require.Equal(t, "ok", string(body))
			require.Equal(t, c.stage, answer.Stage())
			require.ErrorIs(t, err, c.cause)
		})
	}
	t.Run("crossed", func(t *testing.T) {
		_, err := sendRaw(t, "HTTP/1.1 200 OK\r\nFigstile-Attempt: laredo-1.3.6\r\nContent-Length: 2\r\n\r\nok")
		require.ErrorIs(t, err, ErrCrossed)
		require.Equal(t, StageSent, StageOf(err))
	})
	t.Run("echoed", func(t *testing.T) {
		answer, err := sendRaw(t, "HTTP/1.1 200 OK\r\nFigstile-Attempt: laredo-1.3.7\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		answer.Close()
	})
}

// sendRaw sends one attempt to a server that answers with raw bytes and closes
// the connection.
func sendRaw(t *testing.T, raw string) (*Answer, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	client := NewClient(ClientOptions{})
	t.Cleanup(client.Close)
	return client.Send(context.Background(), Attempt{ID: attemptID, BaseURL: server.URL, Target: "/", Method: http.MethodGet})
}
