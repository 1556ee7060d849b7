package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

const (
	// defaultBodyBytes limits a request body where the service sets no limit.
	defaultBodyBytes = 4 << 20
	// defaultAnswerBytes limits an answer where the service sets no limit.
	defaultAnswerBytes = 64 << 20
	// defaultDeadline applies where neither the caller nor the service sets a
	// deadline. It is longer than the longest generated answer, and it ends
	// requests whose callers no longer wait.
	defaultDeadline = 10 * time.Minute
	// prefixBytes is the length of the start of a prompt that is hashed, as a
	// hint on which upstream may have the prefix cached.
	prefixBytes = 1 << 10
)

// job is one admitted request. It is kept until the request has its final
// result, because a later dispatch sends it again as a whole.
type job struct {
	service        config.Service
	idempotencyKey string
	method         string
	target         string
	header         http.Header
	body           []byte
	deadline       time.Time
	promptTokens   int64
	request        scheduler.Request
}

func (j *job) isEngine() bool { return j.service.Kind == config.KindEngine }

func (j *job) answerLimit() int64 {
	if j.service.Limits.AnswerBytes > 0 {
		return j.service.Limits.AnswerBytes
	}
	return defaultAnswerBytes
}

// claimRequest returns the claim that a dispatch needs, and false if the
// request has no idempotency key.
func (j *job) claimRequest(attempt state.AttemptID) (ClaimRequest, bool) {
	return ClaimRequest{
		Workspace: j.request.Workspace,
		Service:   j.request.Service,
		Key:       j.idempotencyKey,
		Attempt:   attempt,
	}, j.idempotencyKey != ""
}

// completionRequest contains the members that the router reads from the body of
// a request to an engine.
type completionRequest struct {
	Model               state.Model     `json:"model"`
	MaxTokens           int64           `json:"max_tokens"`
	MaxCompletionTokens int64           `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

func (c *completionRequest) rawPrompt() []byte {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

func (c *completionRequest) tokenLimit() int64 {
	limit := max(c.MaxTokens, c.MaxCompletionTokens)
	return min(max(limit, 0), maxTokens)
}

// admit authenticates the caller and reads the request. An error that it
// returns is a result.Result.
func (x *exchange) admit() (*job, error) {
	view := x.h.opts.Settings.View()
	if view == nil {
		return nil, result.New(result.NotReady, "")
	}
	j, err := x.readHead(view)
	if err != nil {
		return nil, err
	}
	if !j.isEngine() {
		if err := j.checkAccess(view); err != nil {
			return nil, err
		}
	}
	if j.body, err = x.readBody(j.service.Limits.BodyBytes); err != nil {
		return nil, err
	}
	j.request.Bytes = int64(len(j.body))
	j.request.Fingerprint = fingerprint(j)
	if !j.isEngine() {
		return j, nil
	}
	if err := j.readCompletion(); err != nil {
		return nil, err
	}
	// An engine's model is known only after its body has been read.
	return j, j.checkAccess(view)
}

// readHead reads the head of a request: the caller's workspace, the service and
// target, and the caller's hints.
func (x *exchange) readHead(view View) (*job, error) {
	workspace, ok := view.AuthenticateCaller(bearerToken(x.r.Header))
	if !ok {
		return nil, result.New(result.Unauthorized, "")
	}
	x.record.Workspace = workspace
	name, target := splitTarget(x.r)
	service, ok := view.Service(name)
	if !ok {
		return nil, result.New(result.UnknownService, "")
	}
	x.record.Service = name
	hints, err := parseHints(x.r.Header, x.arrivedAt)
	if err != nil {
		return nil, result.New(result.BadRequest, err.Error())
	}
	x.record.Class = hints.class
	j := &job{
		service:        service,
		idempotencyKey: hints.key,
		method:         x.r.Method,
		target:         target,
		deadline:       requestDeadline(hints, service, x.arrivedAt),
	}
	j.header = upstreamHeader(x.r.Header, j.isEngine())
	j.request = scheduler.Request{
		Service:    service.Name,
		Workspace:  workspace,
		Class:      hints.class,
		Deadline:   j.deadline,
		Repeatable: service.Repeatable && j.idempotencyKey == "",
	}
	return j, nil
}

// checkAccess checks the workspace's access to the service and model.
func (j *job) checkAccess(view View) error {
	code := view.Allows(j.request.Workspace, j.request.Service, j.request.Model)
	if code != result.OK {
		return result.New(code, "")
	}
	return nil
}

// splitTarget splits the service name off the path. It returns the rest of the
// path in escaped form, so that the upstream receives it as the caller wrote
// it.
func splitTarget(r *http.Request) (state.Service, string) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	name, rest, _ := strings.Cut(path, "/")
	target := "/" + rest
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return state.Service(name), target
}

func requestDeadline(h requestHints, svc config.Service, now time.Time) time.Time {
	if !h.deadline.IsZero() {
		return h.deadline
	}
	if d := svc.Limits.Deadline(); d > 0 {
		return now.Add(d)
	}
	return now.Add(defaultDeadline)
}

// fingerprint hashes the fields with separators, so that moving bytes from one
// field to the next gives another hash.
func fingerprint(j *job) state.Fingerprint {
	digest := xxhash.New()
	for _, field := range []string{string(j.request.Workspace), string(j.service.Name), j.method, j.target} {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(j.body)
	return state.Fingerprint(digest.Sum64())
}

// readCompletion fills in the values that are read from the body of a request
// to an engine. A model is required only if the service offers more than one.
func (j *job) readCompletion() error {
	if j.method != http.MethodPost {
		return nil
	}
	var c completionRequest
	if err := json.Unmarshal(j.body, &c); err != nil {
		return result.New(result.BadRequest, "The body is not a JSON object of the engines' API.")
	}
	if c.Model == "" && len(j.service.Models) == 1 {
		c.Model = j.service.Models[0]
	}
	if c.Model == "" && len(j.service.Models) > 1 {
		return result.New(result.BadRequest, "The body names no model.")
	}
	prompt := c.rawPrompt()
	j.promptTokens = int64(len(prompt)) / bytesPerToken
	j.request.Model = c.Model
	j.request.Prefix = prefixHash(prompt)
	if limit := c.tokenLimit(); limit > 0 {
		j.request.CostHint = tokenCost(j.service.Cost.WithDefaults(j.service.Kind), j.promptTokens, limit)
	}
	return nil
}

func prefixHash(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// readBody reads the body within the service's limit and the router's memory
// budget. It reserves the memory before it reads the first byte: otherwise many
// callers that send at once could use up the memory of a small VM before any
// limit applies.
func (x *exchange) readBody(limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	length := x.r.ContentLength
	if length > limit {
		return nil, result.New(result.BodyTooLarge, "")
	}
	reserve := length
	if length < 0 {
		reserve = limit
	}
	if !x.allocation.grow(reserve) {
		return nil, result.New(result.TooManyRequests, "")
	}
	_ = x.control.SetReadDeadline(x.h.opts.Now().Add(x.h.opts.BodyTimeout))
	body, err := readWithin(x.r.Body, length, limit)
	_ = x.control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, err
	}
	x.allocation.shrink(reserve - int64(len(body)))
	return body, nil
}

func readWithin(from io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		if _, err := io.ReadFull(from, body); err != nil {
			return nil, result.New(result.BadRequest, "The body broke off.")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(from, limit+1))
	if int64(len(body)) > limit {
		return nil, result.New(result.BodyTooLarge, "")
	}
	if err != nil {
		return nil, result.New(result.BadRequest, "The body broke off.")
	}
	return body, nil
}

// resultOf returns the result that an error of this package contains.
func resultOf(err error) result.Result {
	var res result.Result
	if errors.As(err, &res) {
		return res
	}
	return result.New(result.Internal, "")
}
