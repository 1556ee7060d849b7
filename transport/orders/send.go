package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/figstile/figstile/coordination/fencing"
	"github.com/figstile/figstile/state"
)

// orderBody is the body of POST /orders to an engine.
type orderBody struct {
	Action  fencing.OrderKind `json:"action"`
	Model   state.Model       `json:"model,omitempty"`
	Role    string            `json:"role,omitempty"`
	Fencing uint64            `json:"fencing"`
}

// rejectionBody contains the member that is read from an engine's rejection.
type rejectionBody struct {
	Stale bool `json:"stale"`
}

// maxAnswerBytes limits the bytes that are read of an engine's answer to an
// order.
const maxAnswerBytes = 1 << 20

// maxAnswerHeadBytes limits the size of the head of such an answer.
const maxAnswerHeadBytes = 64 << 10

// errTooLate aborts an order that can no longer be sent safely within the
// lease.
var errTooLate = errors.New("orders: too little time left in the lease to send the order")

// guardedBody is the body of an order that checks the clock when it is first
// read. The transport reads the body once the connection is established, just
// before it sends the bytes, and an engine acts only on a complete body. An
// order that was delayed before that, by a slow connection or a paused process,
// is therefore never given.
type guardedBody struct {
	io.Reader
	order       fencing.SendOrder
	clock       func() fencing.Instant
	late        *atomic.Bool
	readStarted bool
}

// Read returns errTooLate if the order's time has passed at the first read. It
// does not check later reads: the transport reads on after the last byte to
// find the end, and by then the order is being sent and must not be reported as
// never sent.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.readStarted && b.order.Late(b.clock()) {
		b.late.Store(true)
		return 0, errTooLate
	}
	b.readStarted = true
	return b.Reader.Read(p)
}

// sendOrder sends an order once. An unclear answer counts as a failure: the
// engine may have followed the order, which its next load reports will show.
func (c *Controller) sendOrder(ctx context.Context, order fencing.SendOrder) fencing.Event {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	var late atomic.Bool
	event, err := c.roundTrip(ctx, order, &late)
	if late.Load() {
		event = fencing.OrderLate{}
	}
	c.logOrder(order.Order, event, err)
	return event
}

func (c *Controller) roundTrip(ctx context.Context, order fencing.SendOrder, late *atomic.Bool) (fencing.Event, error) {
	request, err := c.newRequest(ctx, order, late)
	if err != nil {
		return fencing.OrderFailed{}, err
	}
	response, err := c.opts.HTTPClient.Do(request)
	if err != nil {
		return fencing.OrderFailed{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fencing.OrderFailed{}, err
	}
	return decodeAnswer(response.StatusCode, body), nil
}

func (c *Controller) newRequest(ctx context.Context, order fencing.SendOrder, late *atomic.Bool) (*http.Request, error) {
	text, err := json.Marshal(orderBody{
		Action:  order.Order.Kind,
		Model:   order.Order.Model,
		Role:    order.Order.Role,
		Fencing: order.Order.Number,
	})
	if err != nil {
		return nil, err
	}
	body := &guardedBody{Reader: bytes.NewReader(text), order: order, clock: c.opts.Clock, late: late}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.opts.BaseURL+"/orders", body)
	if err != nil {
		return nil, err
	}
	// With a known length the body is sent completely or not at all. Without
	// GetBody the transport cannot send it twice.
	request.ContentLength = int64(len(text))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func decodeAnswer(status int, body []byte) fencing.Event {
	if status == http.StatusOK {
		return fencing.OrderDone{}
	}
	var rejection rejectionBody
	if status == http.StatusConflict && json.Unmarshal(body, &rejection) == nil && rejection.Stale {
		return fencing.OrderStale{}
	}
	return fencing.OrderFailed{}
}

func (c *Controller) logOrder(order fencing.Order, event fencing.Event, err error) {
	c.opts.Log.Info().
		Str("kind", string(order.Kind)).
		Str("model", string(order.Model)).
		Str("role", order.Role).
		Uint64("number", order.Number).
		Str("outcome", outcomeName(event)).
		AnErr("error", err).
		Msg("order")
}

func outcomeName(event fencing.Event) string {
	switch event.(type) {
	case fencing.OrderDone:
		return "done"
	case fencing.OrderStale:
		return "stale"
	case fencing.OrderLate:
		return "late"
	default:
		return "failed"
	}
}
