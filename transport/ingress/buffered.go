package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/endtoend"
	"github.com/figstile/figstile/transport/upstream"
)

// maxBufferedBytes is the size in bytes up to which an answer is read
// completely before any of it is sent to the caller. If such an answer breaks
// off, the caller can still get a proper error or the answer of another
// upstream. Pages and JSON answers are far shorter.
const maxBufferedBytes = 256 << 10

// bufferedAnswer is an upstream's answer with its complete body.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered relays an answer that is not a stream.
func (x *exchange) relayBuffered(answer *upstream.Answer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes))
	if err != nil {
		return attemptEnd{attemptFailed, result.New(result.AnswerTruncated, err.Error())}, x.reportBroken(err, ticket)
	}
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Stage() != upstream.StageComplete {
		return x.relayUnbuffered(answer, buffered, ticket)
	}
	outcome := placement.Answered
	if answer.Status >= http.StatusInternalServerError {
		outcome = placement.Failed
		if x.route.Repeatable() && !x.headSent {
			x.fallback = buffered
			return attemptEnd{attemptFailed, result.New(result.UpstreamFailed, "The upstream answered with an error of its own.")}, outcome
		}
	}
	if x.headSent {
		// A stream was to be resumed, but the upstream sent a different answer.
		return attemptEnd{attemptFailed, result.New(result.AnswerTruncated, "The stream could not be resumed.")}, placement.Failed
	}
	x.h.Dispatcher.ReportServed(x.fingerprint)
	return attemptEnd{attemptDelivered, x.deliver(buffered)}, outcome
}

// deliver writes a complete answer to the caller.
func (x *exchange) deliver(buffered *bufferedAnswer) result.Result {
	x.beginAnswer(buffered)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	x.w.WriteHeader(buffered.status)
	_, err := x.w.Write(buffered.body)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.abortConn = true
		return result.New(result.AnswerTruncated, err.Error())
	}
	if buffered.status >= http.StatusInternalServerError {
		return result.New(result.UpstreamFailed, "")
	}
	return result.New(result.OK, "")
}

// beginAnswer prepares the head of an upstream's answer.
func (x *exchange) beginAnswer(buffered *bufferedAnswer) {
	x.headSent = true
	x.record.FirstOutput = x.h.Now().Sub(x.arrivedAt)
	connection := x.w.Header().Get("Connection")
	endtoend.Copy(x.w.Header(), buffered.header)
	if connection != "" {
		x.w.Header().Set("Connection", connection)
	}
}

// relayUnbuffered relays an answer that is too long to be buffered.
func (x *exchange) relayUnbuffered(answer *upstream.Answer, buffered *bufferedAnswer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	// No further output of this answer is reported to the dispatcher. The
	// attempt must not be cancelled as stalled from here on, or the answer
	// would break off.
	x.h.Dispatcher.OnStall(ticket, func() {})
	x.beginAnswer(buffered)
	if length := answer.Header.Get("Content-Length"); length != "" {
		x.w.Header().Set("Content-Length", length)
	}
	x.w.WriteHeader(buffered.status)
	if _, err := x.w.Write(buffered.body); err != nil {
		x.abortConn = true
		return attemptEnd{attemptDelivered, result.New(result.AnswerTruncated, err.Error())}, placement.Withdrawn
	}
	if _, err := io.Copy(x.w, answer); err != nil {
		x.abortConn = true
		return attemptEnd{attemptDelivered, result.New(result.AnswerTruncated, err.Error())}, x.reportBroken(err, ticket)
	}
	x.h.Dispatcher.ReportServed(x.fingerprint)
	return attemptEnd{attemptDelivered, result.New(result.OK, "")}, placement.Answered
}
