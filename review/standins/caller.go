package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	hostName  = "review.example"
	callerKey = "k7b2ex5wa5xwyhks8nbk"
	tenant    = "hule930"
)

// call is a request of a caller.
type call struct {
	method, path string
	deadline     time.Duration
	// key is the caller's key; if empty, callerKey.
	key string
	// generation is the Token-Usage of a generation; empty for others.
	generation string
	// body is the body of a POST; if empty, each request has its own.
	body string
	// prompt is the id of the prompt; if 0, each request has its own.
	prompt int64
}

// callers send requests to routers, each on a new connection.
type callers struct {
	client http.Client
	record *record
	next   atomic.Int64
}

func newCallers(rec *record) *callers {
	return &callers{
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		record: rec,
	}
}

// result is what a caller saw of its request. status is 0 without an answer.
type result struct {
	attempt string
	sentAt  time.Time
	status  int
	whole   bool
	signed  bool
}

// send sends a request and waits for its whole answer.
func (c *callers) send(to *router, method, path string, deadline time.Duration, generation string) result {
	return c.do(to, call{method: method, path: path, deadline: deadline, generation: generation})
}

// do sends a call and waits for its whole answer.
func (c *callers) do(to *router, r call) result {
	number := c.next.Add(1)
	res := result{attempt: fmt.Sprintf("%016x", number), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	if r.body == "" {
		r.body = "body " + res.attempt
	}
	if r.key == "" {
		r.key = callerKey
	}
	if r.prompt == 0 {
		r.prompt = number
	}
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+to.frontend()+r.path, nil)
	if err != nil {
		panic(err)
	}
	if r.method == http.MethodPost {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(r.body)), int64(len(r.body))
	}
	request.Host = hostName
	request.Header.Set("Attempt-Id", res.attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+r.key)
	if r.generation != "" {
		request.Header.Set("Model-Id", "m")
		request.Header.Set("Token-Usage", r.generation)
		tokens, _, _ := strings.Cut(r.generation, ",")
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:%s", r.prompt, tokens))
	}
	c.record.sent(res.attempt, to, r.method, r.path)
	response, err := c.client.Do(request)
	if err == nil {
		res.status, res.signed = response.StatusCode, response.Header.Get("Server-Signature") != ""
		_, err = io.Copy(io.Discard, response.Body)
		res.whole = err == nil
		_ = response.Body.Close()
	}
	c.record.note("answered %s by %s: status %d whole %t signed %t after %d ms", res.attempt, to.name, res.status, res.whole, res.signed,
		time.Since(res.sentAt).Milliseconds())
	return res
}
