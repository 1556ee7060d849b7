package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
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
	y := &answerRelay{x: x, answer: answer, meter: m}
	y.isStream = isEventStream(answer.Header)
	if x.job.isEngine() && answer.Status == http.StatusOK {
		y.events = &eventScanner{}
	}
	var err error
	if y.isStream {
		err = y.copyStream(buffer[:])
	} else {
		err = y.copyBuffered(buffer[:])
	}
	return y.finishAnswer(err)
}

func isEventStream(header http.Header) bool {
	kind, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// copyBuffered collects the answer in the buffer, and switches to streaming if
// it does not fit.
func (y *answerRelay) copyBuffered(buffer []byte) error {
	buffered := 0
	for buffered < len(buffer) {
		n, err := y.answer.Read(buffer[buffered:])
		buffered += n
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
		y.readUsage(buffer[:buffered])
		return y.writeWhole(buffer[:buffered])
	}
	y.sendHead()
	if err := y.writePart(buffer[:buffered]); err != nil {
		return err
	}
	return y.copyRest(buffer)
}

// readUsage counts the tokens of a complete JSON answer of an engine.
func (y *answerRelay) readUsage(body []byte) {
	if y.events == nil {
		return
	}
	y.events.usage = lastUsage(body)
	y.events.tokens = int64(len(body)) / bytesPerToken
}

// appendTail keeps the end of a long JSON answer, which contains the usage.
func (y *answerRelay) appendTail(part []byte) {
	part = part[max(len(part)-answerTailBytes, 0):]
	y.tail = append(y.tail, part...)
	if extra := len(y.tail) - answerTailBytes; extra > 0 {
		y.tail = append(y.tail[:0], y.tail[extra:]...)
	}
}

// writeWhole writes a complete answer at once.
func (y *answerRelay) writeWhole(body []byte) error {
	if int64(len(body)) > y.x.job.answerLimit() {
		return errAnswerTooLong
	}
	header := y.x.w.Header()
	endtoend.Copy(header, y.answer.Header)
	problem.SetResult(header, y.result())
	y.setLength(header, len(body))
	y.headSent = true
	y.x.extendWriteDeadline()
	y.x.w.WriteHeader(y.answer.Status)
	if _, err := y.x.w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return errCallerLeft
	}
	// The answer is flushed here and not by the server, so that a caller that
	// does not read it is noticed and the request is not counted as served.
	if y.x.control.Flush() != nil {
		return errCallerLeft
	}
	return nil
}

func (y *answerRelay) setLength(header http.Header, length int) {
	switch {
	case y.x.job.method == http.MethodHead:
		if contentLength := y.answer.Header.Get("Content-Length"); contentLength != "" {
			header.Set("Content-Length", contentLength)
		}
	case y.answer.Status == http.StatusNoContent || y.answer.Status == http.StatusNotModified:
	default:
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// sendHead sends the head of a streamed answer. The result is known only at the
// end, so it is sent in trailers. The head has no Content-Length, so that the
// answer is chunked and the caller's HTTP library notices a missing end.
func (y *answerRelay) sendHead() {
	header := y.x.w.Header()
	endtoend.Copy(header, y.answer.Header)
	header.Set("Trailer", problem.HeaderResult+", "+problem.HeaderRan)
	y.headSent = true
	y.hasTrailers = true
	y.x.extendWriteDeadline()
	y.x.w.WriteHeader(y.answer.Status)
	_ = y.x.control.Flush()
}

func (y *answerRelay) copyStream(buffer []byte) error {
	y.sendHead()
	err := y.copyRest(buffer)
	if y.events == nil {
		return err
	}
	if errors.Is(err, upstream.ErrUnframed) && y.events.doneSeen {
		return nil
	}
	if err == nil && !y.events.doneSeen {
		return errMissingDone
	}
	return err
}

// copyRest copies the answer to the caller until it ends.
func (y *answerRelay) copyRest(buffer []byte) error {
	for {
		n, err := y.answer.Read(buffer)
		if n > 0 {
			if err := y.writePart(buffer[:n]); err != nil {
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
func (y *answerRelay) writePart(part []byte) error {
	y.passedBytes += int64(len(part))
	if y.passedBytes > y.x.job.answerLimit() {
		return errAnswerTooLong
	}
	y.chargePart(part)
	y.x.extendWriteDeadline()
	if _, err := y.x.w.Write(part); err != nil {
		return errCallerLeft
	}
	if y.x.control.Flush() != nil {
		return errCallerLeft
	}
	return nil
}

func (y *answerRelay) chargePart(part []byte) {
	if y.events == nil {
		return
	}
	now := y.x.h.opts.Now()
	if y.isStream {
		before := y.events.tokens
		y.events.feed(part)
		y.observeGap(now, y.events.tokens > before)
	} else {
		y.events.tokens = y.passedBytes / bytesPerToken
		y.appendTail(part)
	}
	total := y.meter.streamedCost(y.events.tokens)
	if cost, due := y.meter.dueReport(total, now); due {
		y.x.h.opts.Scheduler.ReportProgress(y.x.id, cost)
	}
}

func (y *answerRelay) observeGap(now time.Time, hasTokens bool) {
	if !hasTokens || y.x.h.opts.Observer == nil {
		return
	}
	if !y.lastTokenAt.IsZero() {
		y.x.h.opts.Observer.ObserveEventGap(y.x.record.Workspace, y.x.record.Class, now.Sub(y.lastTokenAt))
	}
	y.lastTokenAt = now
}

// result returns the result of a complete answer according to its status.
func (y *answerRelay) result() result.Result {
	switch status := y.answer.Status; {
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
func (y *answerRelay) finishAnswer(err error) result.Result {
	if err == nil && len(y.tail) > 0 {
		y.events.usage = lastUsage(y.tail)
	}
	total := y.meter.totalCost(y.events, y.answer.Header, y.x.h.opts.Now())
	if err != nil && y.x.ctx.Err() != nil && !y.x.isCutOff() {
		err = errCallerLeft
	}
	switch {
	case err == nil:
		return y.endWhole(total)
	case y.x.isCutOff():
		y.x.endAttempt(y.meter, total, scheduler.OutcomeAbandoned)
		return y.abortAnswer(y.x.stoppedResult())
	case errors.Is(err, errCallerLeft):
		y.x.endAttempt(y.meter, total, scheduler.OutcomeAbandoned)
		return y.x.endAbandoned()
	case errors.Is(err, errAnswerTooLong):
		y.x.endAttempt(y.meter, total, scheduler.OutcomeTruncated)
		return y.abortAnswer(result.New(result.AnswerTooLong, ""))
	default:
		y.x.endAttempt(y.meter, total, scheduler.OutcomeTruncated)
		return y.abortAnswer(result.New(result.AnswerTruncated, ""))
	}
}

// endWhole ends a dispatch whose complete answer was delivered to the caller.
// The result of a streamed answer is sent as a trailer.
func (y *answerRelay) endWhole(total state.Cost) result.Result {
	res := y.result()
	if y.hasTrailers {
		problem.SetResult(y.x.w.Header(), res)
	}
	outcome := scheduler.OutcomeServed
	if res.Code != result.OK {
		outcome = scheduler.OutcomeFailed
	}
	y.x.endAttempt(y.meter, total, outcome)
	return res
}

// abortAnswer makes a truncated answer visible to the caller. An event stream
// ends with an error event. The connection of any answer that has begun is
// broken, because a caller would take a truncated answer with a clean end for a
// complete one.
func (y *answerRelay) abortAnswer(res result.Result) result.Result {
	if !y.headSent {
		return y.x.refuse(res)
	}
	if y.isStream {
		y.x.extendWriteDeadline()
		_, _ = y.x.w.Write(errorEvent(res))
		_ = y.x.control.Flush()
	}
	y.x.abortConnection = true
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
