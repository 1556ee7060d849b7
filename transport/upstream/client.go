package upstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/figstile/figstile/state"
)

// AttemptHeader carries the attempt's id to the upstream. An upstream that
// echoes it lets the router recognise a crossed answer.
const AttemptHeader = "Figstile-Attempt"

const (
	// dialTimeout bounds making a connection. Upstreams are a few
	// milliseconds away, so a second is only reached by a dead address.
	dialTimeout = time.Second
	// defaultKeepIdle is how long an unused connection is kept. It stays below the
	// five seconds after which common HTTP servers close one, because a
	// request that meets such a close is lost with an unknown outcome.
	defaultKeepIdle = 4 * time.Second
	// defaultIdlePerUpstream bounds unused connections to one upstream: more than
	// an engine has slots, so that steady load makes no new ones.
	defaultIdlePerUpstream = 256
	// maxAnswerHeadBytes bounds the head of an answer.
	maxAnswerHeadBytes = 64 << 10
	// defaultAnswerIdle is the longest silence within an answer.
	defaultAnswerIdle = time.Minute
)

// Stage tells how far an attempt came.
type Stage uint8

// The stages of an attempt.
const (
	// StageNotSent: no byte of the request left the router, or ever will.
	StageNotSent Stage = iota
	// StageSent: some of the request left, and no usable answer began.
	StageSent
	// StageBegan: the head of the answer arrived.
	StageBegan
	// StageTruncated: the answer broke off.
	StageTruncated
	// StageWhole: the answer arrived to its last byte.
	StageComplete
)

// String returns the stage's name in logs.
func (s Stage) String() string {
	names := [...]string{"not-sent", "sent", "began", "truncated", "whole"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Reasons an answer does not count, beside those of net/http.
var (
	// ErrCrossed: the answer names another attempt.
	ErrCrossed = errors.New("upstream: answer belongs to another attempt")
	// ErrUnframed: the answer ended with its connection and had neither a
	// length nor chunks, so it cannot be told from a truncated one.
	ErrUnframed = errors.New("upstream: answer has no framing")
	// ErrSilent: the upstream stopped sending within an answer.
	ErrSilent = errors.New("upstream: answer fell silent")
)

// Error ends an attempt without a whole answer.
type Error struct {
	Stage Stage
	Err   error
}

// Error names the stage and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream: attempt ended %s: %v", e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// StageOf returns the stage of an error of this package. Any other error
// counts as sent, which never claims that nothing ran.
func StageOf(err error) Stage {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Stage
	}
	return StageSent
}

// Attempt is one dispatch of one request.
type Attempt struct {
	ID state.AttemptID
	// BaseURL is the upstream's URL without a trailing slash; Target is the
	// escaped path and query below it.
	BaseURL string
	Target  string
	Method  string
	// Host is sent as the request's host; empty means that of BaseURL.
	Host   string
	Header http.Header
	Body   []byte
	// Token is what the upstream echoes in the client's EchoHeader; empty
	// means the ID.
	Token string
	// NewConnection asks for a new connection. A request that must not run twice
	// cannot be sent again when a kept-alive connection turns out closed.
	NewConnection bool
}

func (a *Attempt) token() string {
	if a.Token != "" {
		return a.Token
	}
	return a.ID.String()
}

// Client sends attempts. It never sends one twice and follows no redirects.
type Client struct {
	keepAliveTransport *http.Transport
	singleUseTransport *http.Transport
	answerIdle         time.Duration
	echoHeader         string
	acceptUnframed     bool
}

// ClientOptions configure a Client. Zero values take the defaults.
type ClientOptions struct {
	// AnswerIdle is the longest silence within an answer.
	AnswerIdle time.Duration
	// Dial makes connections; tests count them through it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// EchoHeader carries the attempt's token and is echoed by upstreams;
	// AttemptHeader if empty.
	EchoHeader string
	// KeepIdle is how long an unused connection is kept.
	KeepIdle time.Duration
	// IdlePerUpstream bounds unused connections to one upstream.
	IdlePerUpstream int
	// AcceptUnframed takes the orderly close of a connection for the end of
	// an answer that has neither a length nor chunks. A reset never ends one.
	AcceptUnframed bool
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.AnswerIdle == 0 {
		o.AnswerIdle = defaultAnswerIdle
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if o.EchoHeader == "" {
		o.EchoHeader = AttemptHeader
	}
	if o.KeepIdle == 0 {
		o.KeepIdle = defaultKeepIdle
	}
	if o.IdlePerUpstream == 0 {
		o.IdlePerUpstream = defaultIdlePerUpstream
	}
	return o
}

// NewClient returns a client with its own connections.
func NewClient(opts ClientOptions) *Client {
	opts = opts.withDefaults()
	singleUse := newTransport(opts)
	singleUse.DisableKeepAlives = true
	return &Client{
		keepAliveTransport: newTransport(opts),
		singleUseTransport: singleUse,
		answerIdle:         opts.AnswerIdle,
		echoHeader:         opts.EchoHeader,
		acceptUnframed:     opts.AcceptUnframed,
	}
}

// newTransport speaks HTTP/1.1 only: one attempt has its connection to itself,
// which is what makes counting writes a proof. It uses no proxy and leaves the
// encoding of bodies alone.
func newTransport(opts ClientOptions) *http.Transport {
	return &http.Transport{
		DialContext:            fencedDial(opts.Dial),
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    opts.IdlePerUpstream,
		IdleConnTimeout:        opts.KeepIdle,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func fencedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &fencedConn{Conn: conn}, nil
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.keepAliveTransport.CloseIdleConnections()
	c.singleUseTransport.CloseIdleConnections()
}

// Send sends the attempt once and returns the answer as soon as its head is
// there. Its error is an *Error. The context bounds the attempt up to the end
// of the answer.
func (c *Client) Send(ctx context.Context, a Attempt) (*Answer, error) {
	transport := c.keepAliveTransport
	if a.NewConnection {
		transport = c.singleUseTransport
	}
	answer, reused, err := c.sendOver(ctx, transport, a)
	if !reused || ctx.Err() != nil || StageOf(err) != StageNotSent {
		return answer, err
	}
	// The kept connection closed before the first byte left, so this is no
	// second copy; a new connection cannot fail the same way.
	answer, _, err = c.sendOver(ctx, c.singleUseTransport, a)
	return answer, err
}

func (c *Client) sendOver(ctx context.Context, transport *http.Transport, a Attempt) (answer *Answer, reused bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	tracker := &sendTracker{cancel: cancel}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, tracker.trace()), a)
	if err != nil {
		cancel(err)
		return nil, false, &Error{Stage: StageNotSent, Err: err}
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		cancel(err)
		stage, reused := tracker.finish()
		return nil, reused, &Error{Stage: stage, Err: err}
	}
	if echo := resp.Header.Get(c.echoHeader); echo != "" && echo != a.token() {
		cancel(ErrCrossed)
		_ = resp.Body.Close()
		return nil, false, &Error{Stage: StageSent, Err: ErrCrossed}
	}
	answer = newAnswer(ctx, cancel, resp, c.answerIdle)
	answer.framed = answer.framed || c.acceptUnframed
	return answer, false, nil
}

// newRequest sets no GetBody, so that net/http has no body to replay; the fence
// holds where it would replay without one.
func (c *Client) newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method, a.BaseURL+a.Target, nil)
	if err != nil {
		return nil, err
	}
	maps.Copy(req.Header, a.Header)
	req.Header.Set(c.echoHeader, a.token())
	if a.Host != "" {
		req.Host = a.Host
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	if len(a.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Body))
		req.ContentLength = int64(len(a.Body))
	}
	return req, nil
}
