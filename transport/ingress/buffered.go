package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

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

// ReceiveBufferBytes is the size in bytes of the kernel's receive buffer of a
// connection to an upstream. It is full while an answer arrives faster than it
// is relayed.
const ReceiveBufferBytes = 128 << 10

// longBufferBytes is the size of the buffer through which a long answer is
// relayed. Such answers wait for the rate that they share, and larger parts wake
// the process less often.
const longBufferBytes = 64 << 10

var longBufferPool = sync.Pool{New: func() any { return new([longBufferBytes]byte) }}

// initialBufferBytes is the size of the buffer that an answer begins with. Most
// answers fit.
const initialBufferBytes = 4 << 10

// bufferedAnswer is an upstream's answer with its complete body.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered relays an answer that is not a stream.
func (x *exchange) relayBuffered(answer *upstream.Answer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	body, err := x.readBuffered(answer)
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
		if x.route.Repeatable() {
			x.fallback = buffered
			return attemptEnd{attemptFailed, result.New(result.UpstreamFailed, "The upstream answered with an error of its own.")}, outcome
		}
	}
	x.h.Dispatcher.ReportServed(x.fingerprint)
	return attemptEnd{attemptDelivered, x.deliver(buffered)}, outcome
}

// readBuffered reads an answer's body, up to maxBufferedBytes and as far as the
// memory for answers allows. While the body grows, its old and its new buffer
// are held at once.
func (x *exchange) readBuffered(answer *upstream.Answer) ([]byte, error) {
	body := make([]byte, 0, initialBufferBytes)
	for {
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		case len(body) >= maxBufferedBytes || !x.answerHeld.TryGrow(int64(3*cap(body)+x.fallbackBytes())):
			return body, nil
		}
		body = append(make([]byte, 0, min(2*cap(body), maxBufferedBytes)), body...)
	}
}

// fallbackBytes returns the size of the error answer that is held while the
// request runs at another upstream.
func (x *exchange) fallbackBytes() int {
	if x.fallback == nil {
		return 0
	}
	return cap(x.fallback.body)
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

// relayUnbuffered relays an answer that is too long to be buffered. Its size and
// its rate are limited by the client.
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
		return x.callerLost(err)
	}
	buffer := longBufferPool.Get().(*[longBufferBytes]byte)
	defer longBufferPool.Put(buffer)
	relayed := len(buffered.body)
	buffered.body, x.fallback = nil, nil
	x.answerHeld.Release()
	for {
		n, err := answer.Read(buffer[:])
		relayed += n
		if err == nil && relayed > maxBufferedBytes && !x.answerHeld.TryGrow(ReceiveBufferBytes+longBufferBytes) {
			err = errAnswerMemory
		}
		if _, writeErr := x.w.Write(buffer[:n]); writeErr != nil {
			return x.callerLost(writeErr)
		}
		if err == io.EOF {
			x.h.Dispatcher.ReportServed(x.fingerprint)
			return attemptEnd{attemptDelivered, result.New(result.OK, "")}, placement.Answered
		}
		if err != nil {
			x.abortConn = true
			return attemptEnd{attemptDelivered, result.New(result.AnswerTruncated, err.Error())}, x.reportBroken(err, ticket)
		}
	}
}

// callerLost ends an attempt whose answer its caller does not receive any
// further.
func (x *exchange) callerLost(err error) (attemptEnd, placement.Outcome) {
	x.abortConn = true
	return attemptEnd{attemptDelivered, result.New(result.AnswerTruncated, err.Error())}, placement.Withdrawn
}
