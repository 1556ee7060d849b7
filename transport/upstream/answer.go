package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is an answer that is being received. Read returns io.EOF only after
// the complete body.
type Answer struct {
	Status int
	Header http.Header
	// Attributed is set if the answer certainly belongs to this attempt: it
	// names the attempt, or it is the first answer on its connection and came
	// after the whole request was sent. Anything else may be bytes that were
	// left over by an earlier answer.
	Attributed bool

	body         io.ReadCloser
	framed       bool
	stage        Stage
	ctx          context.Context
	cancel       context.CancelCauseFunc
	conn         *fencedConn
	silenceTimer *time.Timer
	idleTimeout  time.Duration
}

func newAnswer(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response, idleTimeout time.Duration) *Answer {
	return &Answer{
		Status:       resp.StatusCode,
		Header:       resp.Header,
		body:         resp.Body,
		framed:       isFramed(resp),
		stage:        StageBegan,
		ctx:          ctx,
		cancel:       cancel,
		silenceTimer: time.AfterFunc(idleTimeout, func() { cancel(ErrSilent) }),
		idleTimeout:  idleTimeout,
	}
}

// isFramed reports whether the end of the body can be distinguished from a
// broken connection.
func isFramed(resp *http.Response) bool {
	if resp.Body == http.NoBody || resp.ContentLength >= 0 {
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// MediaType returns the type of the answer's body in lower case and without its
// parameters, or an empty string if the upstream states none.
func (a *Answer) MediaType() string {
	mediaType, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(mediaType))
}

// EventStream is the media type of a stream of events.
const EventStream = "text/event-stream"

// Stage returns how far the answer was received.
func (a *Answer) Stage() Stage { return a.stage }

// Read reads the body. If the body is incomplete, its error is an *Error. An
// *Error that wraps ErrUnframed means that the connection was closed in order.
func (a *Answer) Read(p []byte) (int, error) {
	a.silenceTimer.Reset(a.idleTimeout)
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && a.framed {
		a.stage = StageComplete
		return n, io.EOF
	}
	a.stage = StageTruncated
	return n, &Error{Stage: StageTruncated, Err: a.endCause(err)}
}

func (a *Answer) endCause(err error) error {
	if err == io.EOF {
		return ErrUnframed
	}
	return receiveCause(a.ctx, a.conn, err)
}

// Close ends the attempt. Before the end of the answer it closes the
// connection, by which upstreams detect a cancelled request.
func (a *Answer) Close() {
	a.silenceTimer.Stop()
	if a.stage != StageComplete {
		a.cancel(context.Canceled)
	}
	_ = a.body.Close()
	a.cancel(nil)
}
