package upstream

import (
	"context"
	"net/http"
	"strings"
)

// Call is a request to a stand-in, as a router or a load generator sends it.
type Call struct {
	Attempt        string
	IdempotencyKey string
	Body           string
}

// Post sends a call. The answer's body is the caller's to close.
func (c Call) Post(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.Attempt != "" {
		request.Header.Set(HeaderAttempt, c.Attempt)
	}
	if c.IdempotencyKey != "" {
		request.Header.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	return client.Do(request)
}
