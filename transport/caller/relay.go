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

// relayBufferBytes is the size of a relay's buffer. An answer that fits in is held
// until it is whole, so that its head can state the result and a failure is
// still answered cleanly; kiosk pages and JSON answers mostly do.
// One that trickles in below this size arrives late, which only event streams
// would feel, and those are never held.
const relayBufferBytes = 32 << 10

// answerTailBytes holds an engine's usage and what follows it in a JSON answer.
const answerTailBytes = 1 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// errAnswerTooLong ends an answer above the service's limit.
var errAnswerTooLong = errors.New("caller: answer exceeds the limit")

// errCallerLeft ends an answer that its caller no longer takes.
var errCallerLeft = errors.New("caller: caller went away")

// errMissingDone ends an engine's stream without its terminating event.
var errMissingDone = errors.New("caller: stream ended without [DONE]")

// answerRelay passes one answer to the caller.
type answerRelay struct {
	x           *exchange
	answer      *upstream.Answer
	meter       *meter
	events      *eventScanner
	isStream    bool
	passedBytes int64
	tail        []byte
	// lastTokenAt is when the last part with tokens came; zero before.
	lastTokenAt time.Time
	// headSent is set once the head went out, trailers if it announced them.
	headSent    bool
	hasTrailers bool
}

// relayAnswer delivers the answer and ends the dispatch.
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

// copyBuffered collects a short answer and turns to streaming if it is not short.
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

// readUsage counts a whole JSON answer of an engine.
func (y *answerRelay) readUsage(body []byte) {
	if y.events == nil {
		return
	}
	y.events.usage = lastUsage(body)
	y.events.tokens = int64(len(body)) / bytesPerToken
}

// appendTail keeps the end of a long JSON answer, where the usage stands.
func (y *answerRelay) appendTail(part []byte) {
	part = part[max(len(part)-answerTailBytes, 0):]
	y.tail = append(y.tail, part...)
	if extra := len(y.tail) - answerTailBytes; extra > 0 {
		y.tail = append(y.tail[:0], y.tail[extra:]...)
	}
}

// writeWhole writes a whole answer at once.
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
	// Flushed here and not by the server, so that a caller that does not take
	// it is noticed and not counted as served.
	if y.x.control.Flush() != nil {
		return errCallerLeft
	}
	return nil
}

func (y *answerRelay) setLength(header http.Header, length int) {
	switch {
	case y.x.job.method == http.MethodHead:
		if given := y.answer.Header.Get("Content-Length"); given != "" {
			header.Set("Content-Length", given)
		}
	case y.answer.Status == http.StatusNoContent || y.answer.Status == http.StatusNotModified:
	default:
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// sendHead sends the head of a streamed answer. Its result is only known at the
// end and goes into trailers; without a length the answer is chunked, so the
// caller's HTTP library notices a missing end.
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

// copyRest passes on what arrives until the answer ends.
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

// writePart writes a part of the answer and charges for it.
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

// result states a whole answer's result by its status.
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

// finishAnswer ends the dispatch and, where it can, tells the caller how.
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

// endWhole ends a dispatch whose answer reached the caller to its last byte. Of a
// streamed answer the result becomes a trailer.
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

// abortAnswer makes a truncated answer visible. A stream ends with an error event
// and every begun answer with a broken connection, because a clean end would
// let the caller take a part for the whole.
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

// errorEvent renders a result as the engines' API renders errors in a stream.
// The empty line before it ends an event that was cut.
func errorEvent(res result.Result) []byte {
	var event bytes.Buffer
	event.WriteString("\n\nevent: error\ndata: ")
	_ = json.NewEncoder(&event).Encode(struct {
		Error problem.Document `json:"error"`
	}{problem.NewDocument(res)})
	event.WriteString("\n")
	return event.Bytes()
}
