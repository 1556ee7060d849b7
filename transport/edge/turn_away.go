package edge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/ingress"
	"github.com/figstile/figstile/transport/problem"
)

const (
	// turnAwayTimeout limits the time to read a request that is turned away. A
	// caller that needs longer is disconnected.
	turnAwayTimeout = time.Second
	// turnAwayBufferBytes is the size of the read buffers. It holds the head of
	// a usual request.
	turnAwayBufferBytes = 2 << 10
)

// turnAway reads the requests of connections for which the router has no
// capacity and answers each with the same refusal. It does far less than the
// HTTP server: no routes, no decision, no log line for each request. The whole
// request is read, since closing a connection with unread data would reset it
// and destroy the answer.
type turnAway struct {
	answer  []byte
	readers sync.Pool
}

func newTurnAway(dialect ingress.Dialect) *turnAway {
	return &turnAway{
		answer:  refusalBytes(dialect),
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, turnAwayBufferBytes) }},
	}
}

// refusalBytes returns the encoded answer that refuses a request because the
// router is at capacity.
func refusalBytes(dialect ingress.Dialect) []byte {
	answer := &answerBuffer{header: make(http.Header)}
	dialect.SetRetryAfter(answer.header, admission.OtherRouterRetryAfter)
	problem.Write(answer, result.New(result.TooManyRequests, "").WithRetryAfter(admission.OtherRouterRetryAfter))
	response := http.Response{
		StatusCode: answer.status, ProtoMajor: 1, ProtoMinor: 1, Header: answer.header,
		Body: io.NopCloser(&answer.body), ContentLength: int64(answer.body.Len()), Close: true,
	}
	var encoded bytes.Buffer
	// Writing to a buffer cannot fail.
	_ = response.Write(&encoded)
	return encoded.Bytes()
}

// answerBuffer is a http.ResponseWriter that keeps the answer in memory.
type answerBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answerBuffer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answerBuffer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answerBuffer) Write(p []byte) (int, error) { return a.body.Write(p) }

// start handles a connection in the background.
func (t *turnAway) start(conn net.Conn) { go t.serve(conn) }

func (t *turnAway) serve(conn net.Conn) {
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(turnAwayTimeout)) != nil {
		return
	}
	reader := t.readers.Get().(*bufio.Reader)
	defer t.readers.Put(reader)
	reader.Reset(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = conn.Write(t.answer)
}
