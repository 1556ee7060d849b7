package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/upstream"
)

// streamBuffer holds some events of a stream; they are a few hundred bytes.
const streamBuffer = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBuffer]byte) }}

// errTornEvent ends a stream that stopped within an event.
var errTornEvent = errors.New("ingress: the stream stopped within an event")

// relayStream passes on a series of events. Only whole events are passed on,
// so that a stream that breaks can go on at another upstream after the last
// one. The head goes out with the first event: until then the request can
// still be answered cleanly.
func (x *exchange) relayStream(answer *upstream.Answer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	buffer := streamBuffers.Get().(*[streamBuffer]byte)
	defer streamBuffers.Put(buffer)
	var events eventSplitter
	began := false
	for {
		n, err := answer.Read(buffer[:])
		whole := events.add(buffer[:n])
		if len(whole) > 0 {
			x.h.Dispatcher.Output(ticket, !began)
			began = true
			if failed := x.pass(answer, whole, events.lastID); failed != nil {
				x.abort = true
				return attemptEnd{fateDelivered, result.New(result.AnswerTruncated, failed.Error())}, placement.Withdrawn
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && events.torn() {
			err = errTornEvent
		}
		return x.streamEnd(err, answer, ticket)
	}
}

// pass writes whole events and sends them on at once.
func (x *exchange) pass(answer *upstream.Answer, whole []byte, lastID string) error {
	if !x.began {
		x.begin(&heldAnswer{status: answer.Status, header: answer.Header})
		x.w.WriteHeader(answer.Status)
	}
	now := x.h.Now()
	if !x.lastRead.IsZero() && x.h.Observer != nil {
		x.h.Observer.Between(x.workspace, x.record.Class, now.Sub(x.lastRead))
	}
	if !x.lastRead.IsZero() {
		x.longest = max(x.longest, now.Sub(x.lastRead))
	}
	x.lastRead = now
	if _, err := x.w.Write(whole); err != nil {
		return err
	}
	if err := x.control.Flush(); err != nil {
		return err
	}
	if lastID != "" {
		x.lastEvent = lastID
	}
	return nil
}

func (x *exchange) streamEnd(err error, answer *upstream.Answer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	if err != io.EOF {
		x.lost(err, ticket)
		return attemptEnd{fateFailed, result.New(result.AnswerTruncated, err.Error())}, placement.Broken
	}
	if !x.began {
		// A stream without an event: its head is all there is.
		x.begin(&heldAnswer{status: answer.Status, header: answer.Header})
		x.w.WriteHeader(http.StatusOK)
	}
	x.h.Dispatcher.Served(x.fingerprint)
	return attemptEnd{fateDelivered, result.New(result.OK, "")}, placement.Answered
}
