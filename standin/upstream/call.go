package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// Call is a request that a router or a load generator sends to a stand-in.
type Call struct {
	Attempt        string
	IdempotencyKey string
	Body           string
}

// Post sends a call once. The caller must close the body of the answer.
//
// The request's body has a type that http.Transport does not know. The
// transport regards a request with an idempotency key as repeatable: if a
// reused connection broke, it would send the request again by itself, and a
// request that crashes an upstream would run twice. The transport cannot repeat
// a request whose body it has read from and cannot recreate.
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

// Control sends a control request, for example to set faults, to a stand-in in
// another process and returns the status and body of the answer.
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
