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

// heldBytes is the longest answer that is read whole before any of it goes to
// the caller, so that one that breaks off can still be answered cleanly or be
// had from another upstream. Pages and JSON answers are far shorter.
const heldBytes = 256 << 10

// heldAnswer is an upstream's whole answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayHeld passes on an answer that is no stream.
func (x *exchange) relayHeld(answer *upstream.Answer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	body, err := io.ReadAll(io.LimitReader(answer, heldBytes))
	if err != nil {
		x.lost(err, ticket)
		return attemptEnd{fateFailed, result.New(result.AnswerTruncated, err.Error())}, placement.Broken
	}
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Stage() != upstream.StageWhole {
		return x.relayLong(answer, held, ticket)
	}
	outcome := placement.Answered
	if answer.Status >= http.StatusInternalServerError {
		outcome = placement.Failed
		if x.route.Repeatable() && !x.began {
			x.fallback = held
			return attemptEnd{fateFailed, result.New(result.UpstreamFailed, "The upstream answered with an error of its own.")}, outcome
		}
	}
	if x.began {
		// A stream that was to go on got another answer instead.
		return attemptEnd{fateFailed, result.New(result.AnswerTruncated, "The stream could not be resumed.")}, placement.Failed
	}
	x.h.Dispatcher.Served(x.fingerprint)
	return attemptEnd{fateDelivered, x.deliver(held)}, outcome
}

// deliver writes a whole answer.
func (x *exchange) deliver(held *heldAnswer) result.Result {
	x.begin(held)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(held.body)))
	x.w.WriteHeader(held.status)
	_, err := x.w.Write(held.body)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.abort = true
		return result.New(result.AnswerTruncated, err.Error())
	}
	if held.status >= http.StatusInternalServerError {
		return result.New(result.UpstreamFailed, "")
	}
	return result.New(result.OK, "")
}

// begin prepares the head of an upstream's answer.
func (x *exchange) begin(held *heldAnswer) {
	x.began = true
	x.record.First = x.h.Now().Sub(x.arrived)
	closing := x.w.Header().Get("Connection")
	endtoend.Copy(x.w.Header(), held.header)
	if closing != "" {
		x.w.Header().Set("Connection", closing)
	}
}

// relayLong passes on an answer that is too long to hold.
func (x *exchange) relayLong(answer *upstream.Answer, held *heldAnswer, ticket *placement.Ticket) (attemptEnd, placement.Outcome) {
	// Nothing more is told of this answer: from here on it must not be taken
	// for stalled, or its caller would see it break off.
	x.h.Dispatcher.Watch(ticket, func() {})
	x.begin(held)
	if length := answer.Header.Get("Content-Length"); length != "" {
		x.w.Header().Set("Content-Length", length)
	}
	x.w.WriteHeader(held.status)
	if _, err := x.w.Write(held.body); err != nil {
		x.abort = true
		return attemptEnd{fateDelivered, result.New(result.AnswerTruncated, err.Error())}, placement.Withdrawn
	}
	if _, err := io.Copy(x.w, answer); err != nil {
		x.abort = true
		x.lost(err, ticket)
		return attemptEnd{fateDelivered, result.New(result.AnswerTruncated, err.Error())}, placement.Broken
	}
	x.h.Dispatcher.Served(x.fingerprint)
	return attemptEnd{fateDelivered, result.New(result.OK, "")}, placement.Answered
}
