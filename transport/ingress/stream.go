package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/figstile/figstile/coordination/memory"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/upstream"
)

// streamBufferBytes is the size of a read buffer. It holds several events of a
// stream, which have a few hundred bytes each.
const streamBufferBytes = 16 << 10

var streamBufferPool = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// errPartialEvent ends a stream that stopped within an event.
var errPartialEvent = errors.New("ingress: the stream stopped within an event")

// isEventStream reports whether an answer on a route of streams is a stream, and
// not a page or an error. An upstream need not state the type of a stream.
func isEventStream(answer *upstream.Answer) bool {
	mediaType := answer.MediaType()
	return answer.Status == http.StatusOK && (mediaType == "" || mediaType == upstream.EventStream)
}

// relayStream relays a stream of events. It only writes complete events, so
// that a broken stream can resume at another upstream after the last one. The
// head is sent with the first event: until then the request can still be
// answered with a proper error.
func (x *exchange) relayStream(answer *upstream.Answer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	buffer := streamBufferPool.Get().(*[streamBufferBytes]byte)
	defer streamBufferPool.Put(buffer)
	splitter := eventSplitter{held: memory.Reservation{Budget: x.h.AnswerMemory}, lastID: x.resumedAfter()}
	defer splitter.held.Release()
	started := false
	for {
		n, err := answer.Read(buffer[:])
		complete, splitErr := splitter.add(buffer[:n])
		if len(complete) > 0 {
			x.h.Dispatcher.ReportOutput(ticket, !started)
			started = true
			if writeErr := x.writeEvents(answer, complete, splitter.lastID); writeErr != nil {
				return x.callerLost(writeErr)
			}
		}
		if splitErr != nil {
			return x.endStream(splitErr, answer, ticket)
		}
		if err == nil {
			continue
		}
		if err == io.EOF && splitter.hasPartial() {
			err = errPartialEvent
		}
		return x.endStream(err, answer, ticket)
	}
}

// resumedAfter returns the id of the event after which an upstream has to begin.
// It is empty if the stream begins at its first event, as it does on a route
// whose streams cannot resume, whatever the caller asks for.
func (x *exchange) resumedAfter() string {
	if !x.route.Resumable {
		return ""
	}
	return x.lastEvent
}

// writeEvents writes complete events and flushes them at once.
func (x *exchange) writeEvents(answer *upstream.Answer, events []byte, lastID string) error {
	if !x.headSent {
		x.beginAnswer(&bufferedAnswer{status: answer.Status, header: answer.Header})
		x.w.WriteHeader(answer.Status)
	}
	now := x.h.Now()
	if !x.lastEventsAt.IsZero() && x.h.Observer != nil {
		x.h.Observer.ObserveEventGap(x.workspace, x.record.Class, now.Sub(x.lastEventsAt))
	}
	if !x.lastEventsAt.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventsAt))
	}
	x.lastEventsAt = now
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	if err := x.controller.Flush(); err != nil {
		return err
	}
	if lastID != "" {
		x.lastEvent = lastID
	}
	return nil
}

func (x *exchange) endStream(err error, answer *upstream.Answer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	if err != io.EOF {
		return attemptEnd{attemptFailed, result.New(result.AnswerTruncated, err.Error())}, x.reportBroken(err, ticket)
	}
	if !x.headSent {
		// The stream had no events: the answer consists of its head.
		x.beginAnswer(&bufferedAnswer{status: answer.Status, header: answer.Header})
		x.w.WriteHeader(http.StatusOK)
	}
	x.h.Dispatcher.ReportServed(x.fingerprint)
	return attemptEnd{attemptDelivered, result.New(result.OK, "")}, placement.Answered
}
