package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/state/result"
)

const (
	// defaultMaxBodyBytes limits the size of a body if the configuration does
	// not.
	defaultMaxBodyBytes = 4 << 20
	// shortBodyBytes is the size up to which a body needs no reservation, so that
	// long bodies do not keep out all other callers. Descriptors limit the number
	// of such bodies.
	shortBodyBytes = 4 << 10
	// bodyTimeout limits the time until a body has arrived.
	bodyTimeout = defaultDeadline
)

// errBodyMemory ends the reading of a body for which no memory is left.
var errBodyMemory = errors.New("ingress: too much of other bodies is held")

// readBody reads the caller's body. Its memory is reserved before it is read: a
// caller whose body does not fit is refused at once.
func (x *exchange) readBody() (result.Result, bool) {
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return result.New(result.BodyTooLarge, ""), false
	}
	if x.r.ContentLength == 0 {
		return result.Result{}, true
	}
	if !x.reserveBody(x.r.ContentLength) {
		return bodyRefusal(), false
	}
	// A server that does not support deadlines only lacks this limit.
	_ = x.controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	err := x.receiveBody(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = x.controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		return bodyRefusal(), false
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, ""), false
	case err != nil:
		x.record.Abandoned = x.r.Context().Err() != nil
		return result.New(result.BadRequest, "The body ended early."), false
	}
	return result.Result{}, true
}

// bodyRefusal returns the refusal of a request for whose body no memory is left.
func bodyRefusal() result.Result {
	return result.New(result.TooManyRequests, "Other bodies use up the memory.").WithRetryAfter(admission.OtherRouterRetryAfter)
}

// reserveBody reserves the memory for size bytes of the body. The size of a body
// that arrives in chunks is not known before, and is less than 0.
func (x *exchange) reserveBody(size int64) bool {
	return size <= shortBodyBytes || x.bodyHeld.TryGrow(size)
}

func (x *exchange) receiveBody(body io.Reader) error {
	if x.r.ContentLength > 0 {
		x.body = make([]byte, x.r.ContentLength)
		_, err := io.ReadFull(body, x.body)
		return err
	}
	x.body = make([]byte, 0, shortBodyBytes)
	for {
		n, err := body.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if len(x.body) < cap(x.body) {
			continue
		}
		// While the body grows, its old and its new buffer are held at once.
		if !x.reserveBody(int64(3 * cap(x.body))) {
			return errBodyMemory
		}
		x.body = append(make([]byte, 0, 2*cap(x.body)), x.body...)
	}
}
