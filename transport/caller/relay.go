package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/endtoend"
	"github.com/figstile/figstile/transport/problem"
	"github.com/figstile/figstile/transport/upstream"
)

// relayBufferBytes is the size of a relay's buffer. An answer that fits is
// buffered until it is complete, so that its headers can state the result, and
// a failure can still be answered with a problem document. Most web pages and
// JSON answers fit. A slow answer below this size is delayed by buffering; that
// would matter only for event streams, which are never buffered.
const relayBufferBytes = 32 << 10

// answerTailBytes is the length of the end of a long JSON answer that is kept.
// It is long enough for the engine's usage member and all that follows it.
const answerTailBytes = 1 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// errAnswerTooLong ends an answer that exceeds the service's limit.
var errAnswerTooLong = errors.New("caller: answer exceeds the limit")

// errCallerLeft ends an answer that its caller no longer reads.
var errCallerLeft = errors.New("caller: caller closed the connection")

// errMissingDone ends an engine's stream that stops without its terminating
// event.
var errMissingDone = errors.New("caller: stream ended without [DONE]")

// answerRelay copies one answer of an upstream to the caller.
type answerRelay struct {
	x           *exchange
	answer      *upstream.Answer
	meter       *meter
	events      *eventScanner
	isStream    bool
	passedBytes int64
	tail        []byte
	// lastTokenAt is the time of the last part that contained tokens; zero
	// before the first.
	lastTokenAt time.Time
	// headSent is set once the head of the answer was sent, hasTrailers if the
	// head announced trailers.
	headSent    bool
	hasTrailers bool
}

// relayAnswer copies the answer to the caller and ends the dispatch.
func (x *exchange) relayAnswer(answer *upstream.Answer, m *meter) result.Result {
	buffer := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	relay := &answerRelay{x: x, answer: answer, meter: m}
	relay.isStream = answer.MediaType() == upstream.EventStream
	if x.job.isEngine() && answer.Status == http.StatusOK {
		relay.events = &eventScanner{}
	}
	var err error
	if relay.isStream {
		err = relay.copyStream(buffer[:])
	} else {
		err = relay.copyBuffered(buffer[:])
	}
	return relay.finishAnswer(err)
}

// copyBuffered collects the answer in the buffer, and switches to streaming if
// it does not fit.
func (a *answerRelay) copyBuffered(buffer []byte) error {
	buffered := 0
	for buffered < len(buffer) {
		n, err := a.answer.Read(buffer[buffered:])
		buffered += n
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
		a.readUsage(buffer[:buffered])
		return a.writeWhole(buffer[:buffered])
	}
	a.sendHead()
	if err := a.writePart(buffer[:buffered]); err != nil {
		return err
	}
	return a.copyRest(buffer)
}

// readUsage counts the tokens of a complete JSON answer of an engine.
func (a *answerRelay) readUsage(body []byte) {
	if a.events == nil {
		return
	}
	a.events.usage = lastUsage(body)
	a.events.tokens = int64(len(body)) / bytesPerToken
}

// appendTail keeps the end of a long JSON answer, which contains the usage.
func (a *answerRelay) appendTail(part []byte) {
	part = part[max(len(part)-answerTailBytes, 0):]
	a.tail = append(a.tail, part...)
	if extra := len(a.tail) - answerTailBytes; extra > 0 {
		a.tail = append(a.tail[:0], a.tail[extra:]...)
	}
}

// writeWhole writes a complete answer at once.
func (a *answerRelay) writeWhole(body []byte) error {
	if int64(len(body)) > a.x.job.answerLimit() {
		return errAnswerTooLong
	}
	header := a.x.w.Header()
	endtoend.Copy(header, a.answer.Header)
	problem.SetResult(header, a.result())
	a.setLength(header, len(body))
	a.headSent = true
	a.x.extendWriteDeadline()
	a.x.w.WriteHeader(a.answer.Status)
	if _, err := a.x.w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return errCallerLeft
	}
	// The answer is flushed here and not by the server, so that a caller that
	// does not read it is noticed and the request is not counted as served.
	if a.x.control.Flush() != nil {
		return errCallerLeft
	}
	return nil
}

func (a *answerRelay) setLength(header http.Header, length int) {
	switch {
	case a.x.job.method == http.MethodHead:
		if contentLength := a.answer.Header.Get("Content-Length"); contentLength != "" {
			header.Set("Content-Length", contentLength)
		}
	case a.answer.Status == http.StatusNoContent || a.answer.Status == http.StatusNotModified:
	default:
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// sendHead sends the head of a streamed answer. The result is known only at the
// end, so it is sent in trailers. The head has no Content-Length, so that the
// answer is chunked and the caller's HTTP library notices a missing end.
func (a *answerRelay) sendHead() {
	header := a.x.w.Header()
	endtoend.Copy(header, a.answer.Header)
	header.Set("Trailer", problem.HeaderResult+", "+problem.HeaderRan)
	a.headSent = true
	a.hasTrailers = true
	a.x.extendWriteDeadline()
	a.x.w.WriteHeader(a.answer.Status)
	_ = a.x.control.Flush()
}

func (a *answerRelay) copyStream(buffer []byte) error {
	a.sendHead()
	err := a.copyRest(buffer)
	if a.events == nil {
		return err
	}
	if errors.Is(err, upstream.ErrUnframed) && a.events.doneSeen {
		return nil
	}
	if err == nil && !a.events.doneSeen {
		return errMissingDone
	}
	return err
}

// copyRest copies the answer to the caller until it ends.
func (a *answerRelay) copyRest(buffer []byte) error {
	for {
		n, err := a.answer.Read(buffer)
		if n > 0 {
			if err := a.writePart(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writePart writes a part of the answer and charges its cost.
func (a *answerRelay) writePart(part []byte) error {
	a.passedBytes += int64(len(part))
	if a.passedBytes > a.x.job.answerLimit() {
		return errAnswerTooLong
	}
	a.chargePart(part)
	a.x.extendWriteDeadline()
	if _, err := a.x.w.Write(part); err != nil {
		return errCallerLeft
	}
	if a.x.control.Flush() != nil {
		return errCallerLeft
	}
	return nil
}

func (a *answerRelay) chargePart(part []byte) {
	if a.events == nil {
		return
	}
	now := a.x.h.opts.Now()
	if a.isStream {
		before := a.events.tokens
		a.events.feed(part)
		a.observeGap(now, a.events.tokens > before)
	} else {
		a.events.tokens = a.passedBytes / bytesPerToken
		a.appendTail(part)
	}
	total := a.meter.streamedCost(a.events.tokens)
	if cost, due := a.meter.dueReport(total, now); due {
		a.x.h.opts.Scheduler.ReportProgress(a.x.id, cost)
	}
}

func (a *answerRelay) observeGap(now time.Time, hasTokens bool) {
	if !hasTokens || a.x.h.opts.Observer == nil {
		return
	}
	if !a.lastTokenAt.IsZero() {
		a.x.h.opts.Observer.ObserveEventGap(a.x.record.Workspace, a.x.record.Class, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}

// result returns the result of a complete answer according to its status.
func (a *answerRelay) result() result.Result {
	switch status := a.answer.Status; {
	case isRejection(status):
		return result.New(result.UpstreamRefused, "")
	case status >= http.StatusInternalServerError:
		return result.New(result.UpstreamFailed, "")
	default:
		return result.New(result.OK, "")
	}
}

// finishAnswer ends the dispatch and, where possible, reports the result to the
// caller.
func (a *answerRelay) finishAnswer(err error) result.Result {
	if err == nil && len(a.tail) > 0 {
		a.events.usage = lastUsage(a.tail)
	}
	total := a.meter.totalCost(a.events, a.answer.Header, a.x.h.opts.Now())
	if err != nil && a.x.ctx.Err() != nil && !a.x.isCancelledByStop() {
		err = errCallerLeft
	}
	switch {
	case err == nil:
		return a.endWhole(total)
	case a.x.isCancelledByStop():
		a.x.endAttempt(a.meter, total, scheduler.OutcomeAbandoned)
		return a.abortAnswer(a.x.stopResult())
	case errors.Is(err, errCallerLeft):
		a.x.endAttempt(a.meter, total, scheduler.OutcomeAbandoned)
		return a.x.endAbandoned()
	case errors.Is(err, errAnswerTooLong):
		a.x.endAttempt(a.meter, total, scheduler.OutcomeFailed)
		return a.abortAnswer(result.New(result.AnswerTooLong, ""))
	case errors.Is(err, upstream.ErrMalformed):
		a.x.endAttempt(a.meter, total, scheduler.OutcomeFailed)
		return a.abortAnswer(result.New(result.AnswerTruncated, ""))
	default:
		a.x.endAttempt(a.meter, total, scheduler.OutcomeTruncated)
		return a.abortAnswer(result.New(result.AnswerTruncated, ""))
	}
}

// endWhole ends a dispatch whose complete answer was delivered to the caller.
// The result of a streamed answer is sent as a trailer.
func (a *answerRelay) endWhole(total state.Cost) result.Result {
	res := a.result()
	if a.hasTrailers {
		problem.SetResult(a.x.w.Header(), res)
	}
	outcome := scheduler.OutcomeServed
	if res.Code != result.OK {
		outcome = scheduler.OutcomeFailed
	}
	a.x.endAttempt(a.meter, total, outcome)
	return res
}

// abortAnswer makes a truncated answer visible to the caller. An event stream
// ends with an error event. The connection of any answer that has begun is
// broken, because a caller would take a truncated answer with a clean end for a
// complete one.
func (a *answerRelay) abortAnswer(res result.Result) result.Result {
	if !a.headSent {
		return a.x.refuse(res)
	}
	if a.isStream {
		a.x.extendWriteDeadline()
		_, _ = a.x.w.Write(errorEvent(res))
		_ = a.x.control.Flush()
	}
	a.x.abortConnection = true
	return res
}

// errorEvent encodes a result in the form in which the engines' API reports
// errors in a stream. The leading empty line terminates an event that was cut
// off.
func errorEvent(res result.Result) []byte {
	var event bytes.Buffer
	event.WriteString("\n\nevent: error\ndata: ")
	_ = json.NewEncoder(&event).Encode(struct {
		Error problem.Document `json:"error"`
	}{problem.NewDocument(res)})
	event.WriteString("\n")
	return event.Bytes()
}
