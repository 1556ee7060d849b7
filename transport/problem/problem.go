// Package problem writes refusals as problem documents according to RFC 9457.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/figstile/figstile/state/result"
)

// The headers that contain a result.
const (
	HeaderResult = "Figstile-Result"
	HeaderRan    = "Figstile-Ran"
)

// defaultRetryAfter is the Retry-After time of a result that asks callers to
// retry without giving a time.
const defaultRetryAfter = time.Second

// Document is the body of a refusal, a problem document according to RFC 9457.
type Document struct {
	Type   string      `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	Code   result.Code `json:"code"`
	Ran    string      `json:"ran"`
}

// NewDocument returns the problem document of a result.
func NewDocument(res result.Result) Document {
	entry := result.Lookup(res.Code)
	detail := res.Detail
	if detail == "" {
		detail = entry.Meaning
	}
	return Document{
		Type:   "urn:figstile:result:" + entry.Name,
		Title:  entry.Name,
		Status: entry.Status,
		Detail: detail,
		Code:   res.Code,
		Ran:    res.Ran.String(),
	}
}

// Write answers a request with a refusal. The Retry-After time is rounded up to
// whole seconds, and the header is left unchanged if it is already set.
func Write(w http.ResponseWriter, res result.Result) {
	document := NewDocument(res)
	header := w.Header()
	SetResult(header, res)
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	if res.Code == result.Unauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if seconds := retryAfterSeconds(res); seconds > 0 && header.Get("Retry-After") == "" {
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(document.Status)
	_ = json.NewEncoder(w).Encode(document)
}

// SetResult sets the headers that contain a result.
func SetResult(header http.Header, res result.Result) {
	header.Set(HeaderResult, strconv.Itoa(int(res.Code)))
	header.Set(HeaderRan, res.Ran.String())
}

// retryAfterSeconds returns the Retry-After time in seconds, or 0 for none. It
// rounds up, because a caller that retries too early is refused again.
func retryAfterSeconds(res result.Result) int64 {
	after := res.RetryAfter
	if after <= 0 && result.Lookup(res.Code).Retry {
		after = defaultRetryAfter
	}
	return int64((after + time.Second - 1) / time.Second)
}
