package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// These are the defaults of ClientOptions.
const (
	// DefaultTimeout is a thousand times the platform's usual answer time. If a
	// call takes longer, the platform is down, and refusing callers is better
	// than letting them wait.
	DefaultTimeout = 3 * time.Second
	// DefaultWatchWait, together with DefaultTimeout, limits the time that a
	// watch can hang on a connection cut by a partition to a few seconds. Each
	// watch costs a fifth of a call per second: with 730 routers and three
	// watches each, that is a fifth of the platform's read rate.
	DefaultWatchWait = 5 * time.Second
	// DefaultMaxAnswerBytes is enough for a list of some dozen values of the
	// maximum size.
	DefaultMaxAnswerBytes = 64 << 20
)

// These constants configure the connections to the platform.
const (
	// connectTimeout leaves time for the call itself within DefaultTimeout.
	connectTimeout = 2 * time.Second
	maxIdleConns   = 16
	// maxAnswerHeadBytes limits the size of an answer's head.
	maxAnswerHeadBytes = 64 << 10
	// idleConnTimeout is longer than several watches.
	idleConnTimeout = 30 * time.Second
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// BaseURL is the platform's address, for example http://10.0.0.1:8080.
	BaseURL string
	// HTTPClient makes the calls; nil means a client that keeps a few
	// connections open. The Client does not follow redirects, because a
	// redirected write could run twice.
	HTTPClient *http.Client
	// Token is sent as a bearer token unless it is empty.
	Token string
	// Timeout limits one call; a watch may take WatchWait longer.
	Timeout time.Duration
	// WatchWait is the time for which the platform is asked to hold a watch
	// open.
	WatchWait time.Duration
	// MaxAnswerBytes limits the bytes that are read of one answer.
	MaxAnswerBytes int64
}

// Client is a Store that uses the platform's HTTP API. It never repeats a write
// or a watch. The transport may repeat another read on a new connection if a
// reused connection turns out to be closed.
type Client struct {
	opts ClientOptions
	http http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It does not call the platform.
func NewClient(opts ClientOptions) *Client {
	opts.BaseURL = strings.TrimSuffix(opts.BaseURL, "/")
	if opts.HTTPClient == nil {
		opts.HTTPClient = newHTTPClient()
	}
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.WatchWait <= 0 {
		opts.WatchWait = DefaultWatchWait
	}
	if opts.MaxAnswerBytes <= 0 {
		opts.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	c := &Client{opts: opts, http: *opts.HTTPClient}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// newHTTPClient returns a client that keeps enough idle connections for a
// router's watches and the calls beside them. With the default of two per host,
// further calls would each open a new connection.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	var object Object
	if err := c.read(ctx, c.readSpec(objectPath(key)), &object); err != nil {
		return Object{}, withTarget(err, key)
	}
	if object.Key != key || object.Version == 0 {
		return Object{}, &CallError{Op: http.MethodGet, Target: key, Kind: ErrUnavailable, Cause: errMismatchedAnswer}
	}
	return object, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, Version, error) {
	query := url.Values{ParamPrefix: {prefix}}
	var list ListAnswer
	if err := c.read(ctx, c.readSpec(PathObjects+"?"+query.Encode()), &list); err != nil {
		return nil, 0, err
	}
	return checkList(prefix, list)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Version) ([]Object, Version, error) {
	query := url.Values{
		ParamPrefix: {prefix},
		ParamAfter:  {strconv.FormatUint(uint64(after), 10)},
		ParamWait:   {c.opts.WatchWait.String()},
	}
	var list ListAnswer
	spec := c.readSpec(PathWatch + "?" + query.Encode())
	spec.timeout += c.opts.WatchWait
	spec.noRetry = true
	if err := c.read(ctx, spec, &list); err != nil {
		return nil, 0, err
	}
	return checkList(prefix, list)
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var list VMsAnswer
	if err := c.read(ctx, c.readSpec(PathVMs), &list); err != nil {
		return nil, err
	}
	return list.VMs, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected Version) (Version, error) {
	if err := CheckPut(key, value); err != nil {
		return 0, err
	}
	body, err := json.Marshal(PutRequest{Value: value})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	answer, err := c.call(ctx, callSpec{
		method: http.MethodPut, target: objectPath(key), body: body, timeout: c.opts.Timeout,
		condition: versionCondition(expected),
	})
	if err != nil {
		return 0, withTarget(err, key)
	}
	return decodePut(key, answer)
}

// readSpec returns the description of a call that changes nothing.
func (c *Client) readSpec(target string) callSpec {
	return callSpec{method: http.MethodGet, target: target, timeout: c.opts.Timeout}
}

// read makes a call that changes nothing and decodes its answer. Any failure to
// get a complete answer is ErrUnavailable, because nothing can have been
// changed.
func (c *Client) read(ctx context.Context, spec callSpec, into any) error {
	answer, err := c.call(ctx, spec)
	if err != nil {
		return asReadError(err)
	}
	return decodeRead(spec.target, answer, into)
}

// callSpec describes one HTTP call.
type callSpec struct {
	method, target string
	body           []byte
	timeout        time.Duration
	condition      writeCondition
	// noRetry keeps the transport from repeating the call.
	noRetry bool
}

// bodyReader returns the request's body. With noRetry its type is unknown to
// the transport, which then does not repeat the call at once if its connection
// is cut. A platform that fails cuts the watches of all routers, and the
// repeated calls would arrive as one burst, before any back-off.
func (s callSpec) bodyReader() io.Reader {
	body := bytes.NewReader(s.body)
	if s.noRetry {
		return struct{ io.Reader }{body}
	}
	return body
}

// writeCondition is the header that makes a write conditional.
type writeCondition struct{ name, value string }

func versionCondition(expected Version) writeCondition {
	if expected == 0 {
		return writeCondition{name: HeaderIfNoneMatch, value: MustNotExist}
	}
	return writeCondition{name: HeaderIfMatch, value: strconv.Quote(strconv.FormatUint(uint64(expected), 10))}
}

// httpAnswer is an answer that was received completely.
type httpAnswer struct {
	status int
	body   []byte
}

// call sends one request and reads the complete answer. A failure is a
// CallError. Its kind is ErrUnavailable if no connection was obtained, so that
// nothing was sent, and ErrUnknownOutcome otherwise.
func (c *Client) call(ctx context.Context, spec callSpec) (httpAnswer, error) {
	if err := ctx.Err(); err != nil {
		return httpAnswer{}, &CallError{Op: spec.method, Target: spec.target, Kind: ErrUnavailable, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, spec.timeout)
	defer cancel()
	var conns connTrace
	request, err := http.NewRequestWithContext(conns.attach(ctx), spec.method, c.opts.BaseURL+spec.target, spec.bodyReader())
	if err != nil {
		return httpAnswer{}, &CallError{Op: spec.method, Target: spec.target, Kind: ErrInvalid, Cause: err}
	}
	c.setHeaders(request, spec)
	answer, err := c.roundTrip(request)
	if err != nil {
		return httpAnswer{}, &CallError{Op: spec.method, Target: spec.target, Kind: conns.errorKind(), Cause: err}
	}
	return answer, nil
}

func (c *Client) setHeaders(request *http.Request, spec callSpec) {
	if c.opts.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.opts.Token)
	}
	if spec.condition.name != "" {
		request.Header.Set(spec.condition.name, spec.condition.value)
	}
	if spec.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
}

// roundTrip reads the answer to its end, so that a truncated answer is never
// taken for a complete one.
func (c *Client) roundTrip(request *http.Request) (httpAnswer, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return httpAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.opts.MaxAnswerBytes+1))
	if err != nil {
		return httpAnswer{}, err
	}
	if int64(len(body)) > c.opts.MaxAnswerBytes {
		return httpAnswer{}, errAnswerTooLarge
	}
	return httpAnswer{status: response.StatusCode, body: body}, nil
}

var (
	errAnswerTooLarge   = errors.New("answer too large")
	errMismatchedAnswer = errors.New("answer belongs to another object")
)

// connTrace proves that a request was not sent. Deciding by the kind of error
// would be a guess: a write that reached the platform could be reported as
// without effect and be repeated. The transport reports when it requests a
// connection and when it has obtained one. Only the first report without the
// second is proof; a transport that reports neither gives no proof.
type connTrace struct{ connRequested, connObtained atomic.Bool }

func (c *connTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { c.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { c.connObtained.Store(true) },
	})
}

func (c *connTrace) errorKind() error {
	if c.connRequested.Load() && !c.connObtained.Load() {
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return PathObjects + "/" + strings.Join(segments, "/")
}
