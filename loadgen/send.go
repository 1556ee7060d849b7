package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/standin/worker"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/caller"
	"github.com/figstile/figstile/transport/problem"
)

// sender sends one request and reads its response.
type sender struct {
	runner    *runner
	call      Call
	class     Class
	workspace Workspace
	record    Record
	// creditedCost is the cost of this request, in cost units, that has been
	// added to the usage counters.
	creditedCost float64
}

// send sends one request, reads the response and adds the record of the
// exchange.
func (r *runner) send(ctx context.Context, call Call) {
	class := r.workload.Classes[call.ClassIndex]
	workspace := r.workload.Workspaces[call.WorkspaceIndex]
	s := &sender{runner: r, call: call, class: class, workspace: workspace}
	s.record = Record{
		Workspace:  workspace.Name,
		Service:    class.Service,
		Class:      class.Name,
		IntendedAt: call.SendAt,
		BodyDigest: upstream.Digest([]byte(call.Body)),
		Key:        call.Key,
		Resent:     call.Resent,
	}
	if call.AbandonAfter > 0 {
		var abandon context.CancelFunc
		ctx, abandon = context.WithTimeout(ctx, call.AbandonAfter)
		defer abandon()
	}
	counter := r.counter(class.Service, call.WorkspaceIndex)
	counter.waiting.Add(1)
	s.exchange(ctx)
	if s.record.HeaderAt == 0 {
		counter.waiting.Add(-1)
	}
	s.record.EndedAt = r.elapsed()
	s.record.CallerLeft = !s.record.Complete && ctx.Err() != nil
	r.addRecord(s.record)
}

func (s *sender) exchange(ctx context.Context) {
	request, err := s.newRequest(ctx)
	if err != nil {
		s.record.ConnectionError = err.Error()
		return
	}
	s.record.SentAt = s.runner.elapsed()
	response, err := s.runner.client.Do(request)
	if err != nil {
		s.record.ConnectionError = err.Error()
		return
	}
	s.record.HeaderAt = s.runner.elapsed()
	s.runner.counter(s.class.Service, s.call.WorkspaceIndex).waiting.Add(-1)
	s.record.Status = response.StatusCode
	response.Body = &timedBody{ReadCloser: response.Body, sender: s}
	if err := s.readAnswer(response); err != nil {
		s.record.ConnectionError = err.Error()
		return
	}
	s.record.Complete = true
	s.readResult(response)
}

// newRequest builds the HTTP request. It wraps the body in a type that the HTTP
// client cannot rewind. Otherwise the client would itself retry requests with
// an idempotency key after a connection error, and the repetition would be
// counted as one made by the fleet.
func (s *sender) newRequest(ctx context.Context) (*http.Request, error) {
	url, name := s.runner.target(s.call, s.class)
	s.record.Router = name
	body := struct{ io.Reader }{strings.NewReader(s.call.Body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+s.class.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(s.call.Body))
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("Authorization", "Bearer "+s.workspace.Token)
	header.Set(caller.HeaderClass, s.class.Name)
	if s.call.Key != "" {
		header.Set(caller.HeaderIdempotencyKey, s.call.Key)
	}
	if s.class.DeadlineMS > 0 {
		header.Set(caller.HeaderDeadline, strconv.FormatInt(s.class.DeadlineMS, 10))
	}
	return request, nil
}

// readAnswer reads the response to its end and records whether it matches the
// request.
func (s *sender) readAnswer(response *http.Response) error {
	switch {
	case response.StatusCode != http.StatusOK:
		return s.readProblem(response)
	case s.class.Kind == config.KindEngine:
		return s.readCompletion(response)
	default:
		return s.readWorker(response)
	}
}

func (s *sender) readProblem(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	var document problem.Document
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return err
	}
	s.record.Code = document.Code
	s.record.Ran = document.Ran
	return nil
}

func (s *sender) readCompletion(response *http.Response) error {
	answer, err := engine.Read(response)
	if err != nil {
		return err
	}
	s.record.MatchesRequest = answer.BelongsTo([]byte(s.call.Body))
	weights := config.CostWeights{}.WithDefaults(config.KindEngine)
	s.settleCost(weights.InputToken*float64(answer.Usage.PromptTokens) + weights.OutputToken*float64(answer.Usage.CompletionTokens))
	return nil
}

func (s *sender) readWorker(response *http.Response) error {
	answer, err := worker.Read(response)
	if err != nil {
		return err
	}
	s.record.MatchesRequest = answer.Digest == s.record.BodyDigest
	s.settleCost((time.Duration(answer.BusyMs) * time.Millisecond).Seconds())
	return nil
}

// readResult reads the result code and the execution statement that the fleet
// returns for a served request. A streamed response has them in its trailer.
func (s *sender) readResult(response *http.Response) {
	if response.StatusCode != http.StatusOK {
		return
	}
	for _, header := range []http.Header{response.Header, response.Trailer} {
		if code, err := strconv.Atoi(header.Get(problem.HeaderResult)); err == nil {
			s.record.Code = result.Code(code)
			s.record.Ran = header.Get(problem.HeaderRan)
		}
	}
}

// settleCost adds the part of the final cost to the usage counters that has not
// been added while streaming.
func (s *sender) settleCost(cost float64) {
	s.creditCost(cost - s.creditedCost)
	s.record.Cost = s.creditedCost
}

func (s *sender) creditCost(cost float64) {
	s.creditedCost += cost
	s.runner.counter(s.class.Service, s.call.WorkspaceIndex).addCost(cost)
}

// timedBody records when parts of a response body arrive.
type timedBody struct {
	io.ReadCloser
	sender     *sender
	lastReadAt time.Duration
}

// eventPrefix is the prefix of each server-sent event of a stream.
const eventPrefix = "data: "

// Read reads from the response body. It adds one cost unit to the usage counters
// for each event of a stream, so that the service of a long stream does not appear
// only at its end. settleCost corrects the sum when the real cost is known.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	s := b.sender
	now := s.runner.elapsed()
	if s.record.FirstByteAt == 0 {
		s.record.FirstByteAt = now
	} else {
		s.record.MaxEventGap = max(s.record.MaxEventGap, now-b.lastReadAt)
	}
	b.lastReadAt = now
	if s.class.Stream && s.record.Status == http.StatusOK {
		s.creditCost(float64(strings.Count(string(p[:n]), eventPrefix)))
	}
	return n, err
}

// maxDrainBytes is the maximum number of bytes read after the end of the answer
// in order to reach the trailer.
const maxDrainBytes = 64 << 10

// Close reads the rest of the body before it closes it. The HTTP client sets
// the trailer, which holds the result of a stream, only at the end of the body.
func (b *timedBody) Close() error {
	_, _ = io.CopyN(io.Discard, b.ReadCloser, maxDrainBytes)
	return b.ReadCloser.Close()
}

// target returns the base URL and the name of the target of a call: one of the
// routers, or the next upstream in round-robin order in a direct run.
func (r *runner) target(call Call, class Class) (url, name string) {
	if !r.direct {
		router := r.fleet.Routers[call.TargetIndex%r.entryRouters]
		return router.CallerURL + "/" + string(class.Service), string(router.Name)
	}
	upstreams := r.upstreams[class.Service]
	turn := r.upstreamTurns[class.Service].Add(1)
	u := upstreams[int(turn)%len(upstreams)]
	return u.URL, string(u.Name)
}

func upstreamsByService(fleet Fleet) map[state.Service][]Upstream {
	byService := make(map[state.Service][]Upstream)
	for _, u := range fleet.Upstreams {
		byService[u.Service] = append(byService[u.Service], u)
	}
	return byService
}
