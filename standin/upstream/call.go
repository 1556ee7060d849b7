package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// Call is a request to a stand-in, as a router or a load generator sends it.
type Call struct {
	Attempt        string
	IdempotencyKey string
	Body           string
}

// Post sends a call once. The answer's body is the caller's to close.
//
// The body is of a type that the transport does not know. The transport takes a
// request with an idempotency key for one that it may repeat; when a kept
// connection is cut it would send it again by itself, and a request that
// crashes an upstream would run twice. It cannot repeat a body it has read from
// and cannot make anew.
func (c Call) Post(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	body := struct{ io.Reader }{strings.NewReader(c.Body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.Body))
	request.Header.Set("Content-Type", "application/json")
	if c.Attempt != "" {
		request.Header.Set(HeaderAttempt, c.Attempt)
	}
	if c.IdempotencyKey != "" {
		request.Header.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	return client.Do(request)
}

// Control sends a request to a path that steers a stand-in in another process
// and returns the answer.
func Control(ctx context.Context, client *http.Client, method, url, body string) (status int, answer string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
