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
// echoes it allows the router to detect an answer that belongs to another
// attempt.
const AttemptHeader = "Figstile-Attempt"

const (
	// dialTimeout limits the time to open a connection. Upstreams are a few
	// milliseconds away, so only an unreachable address takes a second.
	dialTimeout = time.Second
	// defaultKeepIdle is how long an idle connection is kept. It is below the
	// five seconds after which common HTTP servers close an idle connection,
	// because a request that crosses such a close is lost with an unknown
	// outcome.
	defaultKeepIdle = 4 * time.Second
	// defaultIdlePerUpstream limits the idle connections to one upstream. It is
	// more than an engine has slots, so that a steady load needs no new
	// connections.
	defaultIdlePerUpstream = 256
	// maxAnswerHeadBytes limits the size of an answer's head.
	maxAnswerHeadBytes = 64 << 10
	// defaultAnswerIdle is the longest time without data within an answer.
	defaultAnswerIdle = time.Minute
)

// Stage describes how far an attempt came.
type Stage uint8

// The stages of an attempt.
const (
	// StageNotSent means that no byte of the request has left the router, and
	// none will.
	StageNotSent Stage = iota
	// StageSent means that some of the request has left the router, and no
	// usable answer began.
	StageSent
	// StageBegan means that the head of the answer was received.
	StageBegan
	// StageTruncated means that the answer broke off.
	StageTruncated
	// StageComplete means that the answer was received to its last byte.
	StageComplete
)

// String returns the stage's name for logs.
func (s Stage) String() string {
	names := [...]string{"not-sent", "sent", "began", "truncated", "whole"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Reasons for which an answer is not accepted, in addition to those of
// net/http.
var (
	// ErrCrossed means that the answer names another attempt.
	ErrCrossed = errors.New("upstream: answer belongs to another attempt")
	// ErrUnframed means that the answer ended with its connection and had
	// neither a length nor chunks, so it cannot be distinguished from a
	// truncated one.
	ErrUnframed = errors.New("upstream: answer has no framing")
	// ErrSilent means that the upstream stopped sending within an answer.
	ErrSilent = errors.New("upstream: answer fell silent")
)

// Error is the error of an attempt without a complete answer.
type Error struct {
	Stage Stage
	Err   error
}

// Error returns a text with the stage and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream: attempt ended %s: %v", e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// StageOf returns the stage of an error of this package. For any other error it
// returns StageSent, which never claims that the request did not run.
func StageOf(err error) Stage {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Stage
	}
	return StageSent
}

// Attempt is a request that is sent to one upstream once.
type Attempt struct {
	ID state.AttemptID
	// BaseURL is the upstream's URL without a trailing slash. Target is the
	// escaped path and query below it.
	BaseURL string
	Target  string
	Method  string
	// Host is the request's Host header. If empty, the host of BaseURL is used.
	Host   string
	Header http.Header
	Body   []byte
	// Token is the value that the upstream echoes in the client's EchoHeader.
	// If empty, the ID is used.
	Token string
	// NewConnection requests a new connection. A request that must not run
	// twice cannot be sent again when a kept-alive connection turns out to be
	// closed.
	NewConnection bool
}

func (a *Attempt) token() string {
	if a.Token != "" {
		return a.Token
	}
	return a.ID.String()
}

// Client sends attempts. It sends each attempt at most once and does not follow
// redirects.
type Client struct {
	// kept holds the connections that are kept for further attempts.
	kept               *keptConnections
	singleUseTransport *http.Transport
	answerIdle         time.Duration
	echoHeader         string
	acceptUnframed     bool
}

// ClientOptions configure a Client. Zero values select the defaults.
type ClientOptions struct {
	// AnswerIdle is the longest time without data within an answer.
	AnswerIdle time.Duration
	// Dial opens connections. Tests use it to count them.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// EchoHeader is the header that carries the attempt's token and that
	// upstreams echo. If empty, AttemptHeader is used.
	EchoHeader string
	// KeepIdle is how long an idle connection is kept if its upstream does not
	// state for how long it keeps it.
	KeepIdle time.Duration
	// IdlePerUpstream limits the idle connections to one upstream.
	IdlePerUpstream int
	// AcceptUnframed accepts the orderly close of a connection as the end of an
	// answer that has neither a length nor chunks. A reset is never accepted as
	// the end.
	AcceptUnframed bool
	// MaxAnswerBytes limits what is received as one answer, in bytes; 0 means no
	// limit.
	MaxAnswerBytes int64
	// LongAnswerRate is the rate in bytes per second at which all long answers
	// together are received beyond their beginnings; 0 means no limit.
	LongAnswerRate int64

	// limits is shared by all connections of the client.
	limits *receiveLimits
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
	opts.limits = newReceiveLimits(opts)
	singleUse := newTransport(opts)
	singleUse.DisableKeepAlives = true
	return &Client{
		kept:               newKeptConnections(opts),
		singleUseTransport: singleUse,
		answerIdle:         opts.AnswerIdle,
		echoHeader:         opts.EchoHeader,
		acceptUnframed:     opts.AcceptUnframed,
	}
}

// newTransport returns a transport for HTTP/1.1 only. One attempt then has its
// connection to itself, so counting writes on the connection proves whether the
// attempt was sent. It uses no proxy and does not change the encoding of
// bodies.
func newTransport(opts ClientOptions) *http.Transport {
	return &http.Transport{
		DialContext:            fencedDial(opts.Dial, opts.limits),
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    opts.IdlePerUpstream,
		IdleConnTimeout:        opts.KeepIdle,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func fencedDial(dial dialFunc, limits *receiveLimits) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newFencedConn(conn, limits), nil
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.kept.closeIdle()
	c.singleUseTransport.CloseIdleConnections()
}

// Send sends the attempt once and returns the answer as soon as its head was
// received. Its error is an *Error. The context limits the attempt up to the
// end of the answer.
func (c *Client) Send(ctx context.Context, a Attempt) (*Answer, error) {
	transport := c.kept.transportTo(a.BaseURL)
	if a.NewConnection {
		transport = c.singleUseTransport
	}
	answer, reused, err := c.sendOver(ctx, transport, a)
	if !reused || ctx.Err() != nil || StageOf(err) != StageNotSent {
		return answer, err
	}
	// The kept-alive connection was closed before the first byte left, so this
	// is not a second copy. A new connection cannot fail in the same way.
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
		stage, reused, conn := tracker.finish()
		if stage != StageNotSent {
			err = receiveCause(ctx, conn, err)
		}
		cancel(err)
		if reused {
			c.kept.recordLoss(a.BaseURL)
		}
		return nil, reused, &Error{Stage: stage, Err: err}
	}
	c.kept.recordAnswer(a.BaseURL, resp.Header)
	if echo := resp.Header.Get(c.echoHeader); echo != "" && echo != a.token() {
		cancel(ErrCrossed)
		_ = resp.Body.Close()
		return nil, false, &Error{Stage: StageSent, Err: ErrCrossed}
	}
	answer = newAnswer(ctx, cancel, resp, c.answerIdle)
	answer.conn = tracker.currentConn()
	answer.Attributed = resp.Header.Get(c.echoHeader) == a.token() || tracker.firstAnswerToWholeRequest()
	answer.framed = answer.framed || c.acceptUnframed
	return answer, false, nil
}

// newRequest does not set GetBody, so that net/http has no body to replay. The
// fence prevents replays of requests without a body.
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
