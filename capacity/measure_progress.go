package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/standin/engine"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/caller"
	"github.com/figstile/figstile/transport/upstream"

	standin "github.com/figstile/figstile/standin/upstream"
)

// tokenDelay is the time between two tokens of the measured stream.
const tokenDelay = 20 * time.Millisecond

// countProgressReports returns the number of cost reports that the handler of
// callers makes while it relays one stream of the given duration in seconds.
func countProgressReports(_ context.Context, seconds int) (float64, error) {
	e := engine.New(engine.Options{
		Options:       standin.Options{Name: upstreamName(0), Slots: 1},
		TokenDelay:    tokenDelay,
		DefaultTokens: int(time.Duration(seconds) * time.Second / tokenDelay),
	})
	url, stop, err := e.Start("127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer stop()
	client := upstream.NewClient(upstream.ClientOptions{})
	defer client.Close()
	counted := &countingScheduler{}
	handler := caller.NewHandler(caller.Options{
		Router: "router-0000", Scheduler: counted, Settings: singleService{url: url}, Client: client, Log: zerolog.Nop(),
	})
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, streamRequest("/drafts/v1/chat/completions"))
	if answer.Code != http.StatusOK {
		return 0, fmt.Errorf("capacity: stream has status %d: %s", answer.Code, answer.Body)
	}
	return float64(counted.reports.Load()), nil
}

func streamRequest(target string) *http.Request {
	const body = `{"stream":true,"messages":[{"role":"user","content":"A short guide."}]}`
	r := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer token")
	r.Header.Set("Content-Type", "application/json")
	return r
}

// countingScheduler dispatches each request immediately and counts its progress
// reports.
type countingScheduler struct{ reports atomic.Int64 }

// NextID returns the same ID for every request.
func (*countingScheduler) NextID() state.RequestID { return 1 }

// Submit dispatches the request to the only upstream.
func (*countingScheduler) Submit(scheduler.Request) <-chan scheduler.Action {
	actions := make(chan scheduler.Action, 1)
	actions <- scheduler.Dispatch{ID: 1, Upstream: upstreamName(0), Attempt: 1}
	return actions
}

// Withdraw does nothing.
func (*countingScheduler) Withdraw(state.RequestID) {}

// ReportProgress counts one report.
func (c *countingScheduler) ReportProgress(state.RequestID, state.Cost) { c.reports.Add(1) }

// ReportEnd does nothing.
func (*countingScheduler) ReportEnd(state.RequestID, state.Cost, scheduler.Outcome) {}

// singleService is a view of the settings with one engine.
type singleService struct{ url string }

// View returns the receiver.
func (s singleService) View() caller.View { return s }

// AuthenticateCaller accepts every token as that of the same workspace.
func (singleService) AuthenticateCaller(string) (state.Workspace, bool) {
	return workspaceNamed(0), true
}

// Service returns a service with the single engine for every name.
func (s singleService) Service(name state.Service) (config.Service, bool) {
	up := config.Upstream{Name: upstreamName(0), URL: s.url}
	return config.Service{Name: name, Kind: config.KindEngine, Repeatable: true, Upstreams: []config.Upstream{up}}, true
}

// Allows permits every request.
func (singleService) Allows(state.Workspace, state.Service, state.Model) result.Code {
	return result.OK
}
