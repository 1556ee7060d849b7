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

// relayBytes is the size of a relay's buffer. An answer that fits in is held
// until it is whole, so that its head can state the result and a failure is
// still answered cleanly; kiosk pages and JSON answers mostly do.
// One that trickles in below this size arrives late, which only event streams
// would feel, and those are never held.
const relayBytes = 32 << 10

// tailBytes holds an engine's usage and what follows it in a JSON answer.
const tailBytes = 1 << 10

var buffers = sync.Pool{New: func() any { return new([relayBytes]byte) }}

// errTooLong ends an answer above the service's limit.
var errTooLong = errors.New("caller: answer exceeds the limit")

// errCallerGone ends an answer that its caller no longer takes.
var errCallerGone = errors.New("caller: caller went away")

// errNoDone ends an engine's stream without its terminating event.
var errNoDone = errors.New("caller: stream ended without [DONE]")

// relay passes one answer to the caller.
type relay struct {
	x      *exchange
	answer *upstream.Answer
	meter  *meter
	events *eventScanner
	stream bool
	passed int64
	tail   []byte
	// lastToken is when the last part with tokens came; zero before.
	lastToken time.Time
	// begun is set once the head went out, trailers if it announced them.
	begun    bool
	trailers bool
}

// relay delivers the answer and ends the dispatch.
func (x *exchange) relay(answer *upstream.Answer, m *meter) result.Result {
	buffer := buffers.Get().(*[relayBytes]byte)
	defer buffers.Put(buffer)
	y := &relay{x: x, answer: answer, meter: m}
	y.stream = isEventStream(answer.Header)
	if x.job.engine() && answer.Status == http.StatusOK {
		y.events = &eventScanner{}
	}
	var err error
	if y.stream {
		err = y.copyStream(buffer[:])
	} else {
		err = y.copyHeld(buffer[:])
	}
	return y.finish(err)
}

func isEventStream(header http.Header) bool {
	kind, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// copyHeld collects a short answer and turns to streaming if it is not short.
func (y *relay) copyHeld(buffer []byte) error {
	held := 0
	for held < len(buffer) {
		n, err := y.answer.Read(buffer[held:])
		held += n
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
		y.readUsage(buffer[:held])
		return y.deliver(buffer[:held])
	}
	y.begin()
	if err := y.pass(buffer[:held]); err != nil {
		return err
	}
	return y.copyRest(buffer)
}

// readUsage counts a whole JSON answer of an engine.
func (y *relay) readUsage(body []byte) {
	if y.events == nil {
		return
	}
	y.events.usage = usageOf(body)
	y.events.tokens = int64(len(body)) / bytesPerToken
}

// keepTail keeps the end of a long JSON answer, where the usage stands.
func (y *relay) keepTail(part []byte) {
	part = part[max(len(part)-tailBytes, 0):]
	y.tail = append(y.tail, part...)
	if extra := len(y.tail) - tailBytes; extra > 0 {
		y.tail = append(y.tail[:0], y.tail[extra:]...)
	}
}

// deliver writes a whole answer at once.
func (y *relay) deliver(body []byte) error {
	if int64(len(body)) > y.x.job.answerLimit() {
		return errTooLong
	}
	header := y.x.w.Header()
	endtoend.Copy(header, y.answer.Header)
	problem.SetResult(header, y.result())
	y.setLength(header, len(body))
	y.begun = true
	y.x.extendWrite()
	y.x.w.WriteHeader(y.answer.Status)
	if _, err := y.x.w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return errCallerGone
	}
	// Flushed here and not by the server, so that a caller that does not take
	// it is noticed and not counted as served.
	if y.x.control.Flush() != nil {
		return errCallerGone
	}
	return nil
}

func (y *relay) setLength(header http.Header, length int) {
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

// begin sends the head of a streamed answer. Its result is only known at the
// end and goes into trailers; without a length the answer is chunked, so the
// caller's HTTP library notices a missing end.
func (y *relay) begin() {
	header := y.x.w.Header()
	endtoend.Copy(header, y.answer.Header)
	header.Set("Trailer", problem.HeaderResult+", "+problem.HeaderRan)
	y.begun = true
	y.trailers = true
	y.x.extendWrite()
	y.x.w.WriteHeader(y.answer.Status)
	_ = y.x.control.Flush()
}

func (y *relay) copyStream(buffer []byte) error {
	y.begin()
	err := y.copyRest(buffer)
	if y.events == nil {
		return err
	}
	if errors.Is(err, upstream.ErrUnframed) && y.events.done {
		return nil
	}
	if err == nil && !y.events.done {
		return errNoDone
	}
	return err
}

// copyRest passes on what arrives until the answer ends.
func (y *relay) copyRest(buffer []byte) error {
	for {
		n, err := y.answer.Read(buffer)
		if n > 0 {
			if err := y.pass(buffer[:n]); err != nil {
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

// pass writes a part of the answer and charges for it.
func (y *relay) pass(part []byte) error {
	y.passed += int64(len(part))
	if y.passed > y.x.job.answerLimit() {
		return errTooLong
	}
	y.charge(part)
	y.x.extendWrite()
	if _, err := y.x.w.Write(part); err != nil {
		return errCallerGone
	}
	if y.x.control.Flush() != nil {
		return errCallerGone
	}
	return nil
}

func (y *relay) charge(part []byte) {
	if y.events == nil {
		return
	}
	now := y.x.h.opts.Now()
	if y.stream {
		before := y.events.tokens
		y.events.feed(part)
		y.observeGap(now, y.events.tokens > before)
	} else {
		y.events.tokens = y.passed / bytesPerToken
		y.keepTail(part)
	}
	total := y.meter.streamed(y.events.tokens)
	if cost, due := y.meter.due(total, now); due {
		y.x.h.opts.Scheduler.Progressed(y.x.id, cost)
	}
}

func (y *relay) observeGap(now time.Time, tokens bool) {
	if !tokens || y.x.h.opts.Observer == nil {
		return
	}
	if !y.lastToken.IsZero() {
		y.x.h.opts.Observer.Between(y.x.record.Workspace, y.x.record.Class, now.Sub(y.lastToken))
	}
	y.lastToken = now
}

// result states a whole answer's result by its status.
func (y *relay) result() result.Result {
	switch status := y.answer.Status; {
	case turnedAway(status):
		return result.New(result.UpstreamRefused, "")
	case status >= http.StatusInternalServerError:
		return result.New(result.UpstreamFailed, "")
	default:
		return result.New(result.OK, "")
	}
}

// finish ends the dispatch and, where it can, tells the caller how.
func (y *relay) finish(err error) result.Result {
	if err == nil && len(y.tail) > 0 {
		y.events.usage = usageOf(y.tail)
	}
	total := y.meter.used(y.events, y.answer.Header, y.x.h.opts.Now())
	if err != nil && y.x.ctx.Err() != nil && !y.x.cutOff() {
		err = errCallerGone
	}
	switch {
	case err == nil:
		return y.whole(total)
	case y.x.cutOff():
		y.x.end(y.meter, total, scheduler.OutcomeAbandoned)
		return y.breakOff(y.x.stoppedResult())
	case errors.Is(err, errCallerGone):
		y.x.end(y.meter, total, scheduler.OutcomeAbandoned)
		return y.x.abandoned()
	case errors.Is(err, errTooLong):
		y.x.end(y.meter, total, scheduler.OutcomeTruncated)
		return y.breakOff(result.New(result.AnswerTooLong, ""))
	default:
		y.x.end(y.meter, total, scheduler.OutcomeTruncated)
		return y.breakOff(result.New(result.AnswerTruncated, ""))
	}
}

// whole ends a dispatch whose answer reached the caller to its last byte. Of a
// streamed answer the result becomes a trailer.
func (y *relay) whole(total state.Cost) result.Result {
	res := y.result()
	if y.trailers {
		problem.SetResult(y.x.w.Header(), res)
	}
	outcome := scheduler.OutcomeServed
	if res.Code != result.OK {
		outcome = scheduler.OutcomeFailed
	}
	y.x.end(y.meter, total, outcome)
	return res
}

// breakOff makes a truncated answer visible. A stream ends with an error event
// and every begun answer with a broken connection, because a clean end would
// let the caller take a part for the whole.
func (y *relay) breakOff(res result.Result) result.Result {
	if !y.begun {
		return y.x.refuse(res)
	}
	if y.stream {
		y.x.extendWrite()
		_, _ = y.x.w.Write(errorEvent(res))
		_ = y.x.control.Flush()
	}
	y.x.abort = true
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
