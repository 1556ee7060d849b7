package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/admin"
)

// Limits on one command.
const (
	// maxChangeAttempts is how often a change is sent at most while its outcome
	// is unknown.
	maxChangeAttempts = 3
	// changeRetryDelay is the time between two attempts. It gives a router that
	// is restarting time to accept connections again.
	changeRetryDelay = time.Second
	// maxAnswerBytes limits the size of an answer. The status of 730 routers is
	// smaller.
	maxAnswerBytes = 256 << 20
)

// client sends requests to one router's administration API.
type client struct {
	baseURL    string
	token      string
	httpClient *http.Client
	sleep      func(ctx context.Context, d time.Duration)
	newID      func() string
}

// expectFlag holds the flag that is shared by commands that change one object.
type expectFlag struct {
	Expect *uint64 `help:"Change only this version of the object." placeholder:"VERSION"`
}

// idFlag holds the flag that is shared by commands that can be repeated after
// their outcome was unknown. A command that creates a token cannot be repeated:
// the second run would print a new token, while the token of the first run may be
// in force.
type idFlag struct {
	ChangeID string `help:"Id of the change, to repeat one whose outcome is unknown." placeholder:"ID"`
}

// changeFlags holds the flags that are shared by most commands that change
// settings.
type changeFlags struct {
	expectFlag
	idFlag
}

// change describes a request to the administration API. Most requests change
// something; get also uses this type for its reads.
type change struct {
	method string
	path   string
	query  url.Values
	body   any
	header http.Header
	id     string
	// repeatable is true if the command can be run again with the same change
	// id.
	repeatable bool
}

func newChange(method, path string, body any) *change {
	return &change{method: method, path: path, body: body, header: make(http.Header), query: make(url.Values)}
}

// newChange returns a change that applies only to the version given by the flag,
// if any.
func (f expectFlag) newChange(method, path string, body any) *change {
	c := newChange(method, path, body)
	if f.Expect != nil {
		c.requireVersion(*f.Expect)
	}
	return c
}

// newChange returns a repeatable change with the version and change id given by
// the flags, if any.
func (f changeFlags) newChange(method, path string, body any) *change {
	c := f.expectFlag.newChange(method, path, body)
	c.id = f.ChangeID
	c.repeatable = true
	return c
}

// requireVersion makes the change fail unless the object has the given version.
// Version zero means that the object must not exist.
func (c *change) requireVersion(version uint64) {
	if version == 0 {
		c.header.Set("If-None-Match", "*")
		return
	}
	c.header.Set("If-Match", fmt.Sprintf(`"%d"`, version))
}

// escapedPath escapes the segments and joins them to a URL path.
func escapedPath(segments ...string) string {
	escaped := make([]string, len(segments))
	for i, s := range segments {
		escaped[i] = url.PathEscape(s)
	}
	return "/" + strings.Join(escaped, "/")
}

// get reads a document. A lost answer counts as an unavailable router, because a
// read changes nothing.
func (c *client) get(ctx context.Context, path string, into any) error {
	err := c.send(ctx, &change{method: http.MethodGet, path: path}, into)
	var lost *lostAnswerError
	if errors.As(err, &lost) {
		return &unavailableError{server: c.baseURL, err: lost.err}
	}
	return err
}

// apply sends a change until its outcome is known or maxChangeAttempts is
// reached.
//
// If a connection breaks after the request was sent, it is unknown whether the
// change is in force. apply then sends the change again with the same change id.
// Routers first look for this id in the object's history, so the change takes
// effect at most once. After an answer was lost, only a success proves the
// outcome: a refusal of a later attempt may be caused by the first attempt having
// taken effect.
func (c *client) apply(ctx context.Context, ch *change, into any) error {
	if ch.id == "" {
		ch.id = c.newID()
	}
	ch.header.Set(admin.HeaderChangeID, ch.id)
	err := c.send(ctx, ch, into)
	if !outcomeMayBeUnknown(err) {
		return err
	}
	for attempt := 1; attempt < maxChangeAttempts && ctx.Err() == nil; attempt++ {
		c.sleep(ctx, changeRetryDelay)
		retryErr := c.send(ctx, ch, into)
		if retryErr == nil {
			return nil
		}
		err = retryErr
	}
	return &unknownOutcomeError{changeID: ch.id, repeatable: ch.repeatable, err: err}
}

// lostAnswerError reports that a request was sent but no answer of a router was
// received.
type lostAnswerError struct {
	err error
}

func (e *lostAnswerError) Error() string { return e.err.Error() }

func (e *lostAnswerError) Unwrap() error { return e.err }

// outcomeMayBeUnknown reports whether a change may have taken effect although
// sending it returned the error.
func outcomeMayBeUnknown(err error) bool {
	var lost *lostAnswerError
	if errors.As(err, &lost) {
		return true
	}
	var problem *problemError
	return errors.As(err, &problem) && problem.Ran == result.RanUnknown.String()
}

// send sends one request and decodes its answer.
func (c *client) send(ctx context.Context, ch *change, into any) error {
	request, err := c.request(ctx, ch)
	if err != nil {
		return err
	}
	response, err := c.httpClient.Do(request)
	switch {
	case neverSent(err):
		return &unavailableError{server: c.baseURL, err: err}
	case err != nil:
		return &lostAnswerError{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &lostAnswerError{err: err}
	}
	return decodeAnswer(response, data, into)
}

// neverSent reports whether a request failed before it could be sent: the
// connection could not be opened, or the server's certificate was not trusted.
func neverSent(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return true
	}
	var certErr *tls.CertificateVerificationError
	return errors.As(err, &certErr)
}

func (c *client) request(ctx context.Context, ch *change) (*http.Request, error) {
	body, err := encodeBody(ch.body)
	if err != nil {
		return nil, usageError(err.Error())
	}
	target := strings.TrimSuffix(c.baseURL, "/") + admin.Prefix + ch.path
	if len(ch.query) > 0 {
		target += "?" + ch.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, ch.method, target, body)
	if err != nil {
		return nil, usageError(err.Error())
	}
	for name, values := range ch.header {
		request.Header[name] = values
	}
	if c.token == "" {
		return nil, usageError(tokenVariable + " is not set")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	return request, nil
}

func encodeBody(body any) (io.Reader, error) {
	if body == nil {
		return http.NoBody, nil
	}
	data, ok := body.([]byte)
	if ok {
		return bytes.NewReader(data), nil
	}
	data, err := json.Marshal(body)
	return bytes.NewReader(data), err
}

// decodeAnswer decodes an answer. An answer that does not come from a router, for
// example from a load balancer in between, counts as lost, because it does not
// show what the router did.
func decodeAnswer(response *http.Response, data []byte, into any) error {
	if response.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(data, into); err != nil {
			return &lostAnswerError{err: fmt.Errorf("the answer is not understood: %w", err)}
		}
		return nil
	}
	var p admin.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Code == 0 {
		return &lostAnswerError{err: fmt.Errorf("%s, which is no router's answer", response.Status)}
	}
	return &problemError{Problem: p}
}
