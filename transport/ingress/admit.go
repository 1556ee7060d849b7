package ingress

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/state/routing"
)

// admit reads and checks a request. It returns true if the request may be sent,
// or the result of its refusal and false.
func (x *exchange) admit() (result.Result, bool) {
	x.table = x.h.Dispatcher.Table()
	if x.table == nil {
		return result.New(result.NotReady, ""), false
	}
	if limit := x.table.Limits().HeaderBytes; limit > 0 && requestHeadBytes(x.r) > limit {
		return result.New(result.HeaderTooLarge, ""), false
	}
	if res, ok := x.readBody(); !ok {
		return res, false
	}
	if x.h.Dispatcher.AtCapacity() {
		return result.New(result.TooManyRequests, "").WithRetryAfter(admission.OtherRouterRetryAfter), false
	}
	// The routes may have changed while the body was read.
	x.table = x.h.Dispatcher.Table()
	for _, check := range []func() (result.Result, bool){x.findRoute, x.readHeader, x.authenticate, x.checkWorkspaceCapacity, x.prepareRequest} {
		if res, ok := check(); !ok {
			return res, false
		}
	}
	return result.Result{}, true
}

// requestHeadBytes returns the size in bytes of a request's head as its caller
// sent it.
func requestHeadBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

func (x *exchange) findRoute() (result.Result, bool) {
	// The upstream receives the path as it was sent, so an escaped slash does not
	// end a prefix.
	route, ok := x.table.Route(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		return x.unknownResult(result.UnknownService), false
	}
	x.route = route
	x.service = pickService(route.Backends)
	x.record.Class = route.Name
	if x.service == "" {
		return result.New(result.NoUpstream, "The route has no service."), false
	}
	return result.Result{}, true
}

// unknownResult returns the refusal of a request for a route or key that the
// configuration does not contain. A router that may lack a newer configuration
// must not claim that something does not exist: the caller would give up for
// good.
func (x *exchange) unknownResult(code result.Code) result.Result {
	status := x.h.Dispatcher.ConfigStatus()
	x.configStatus = &status
	if status.Current {
		return result.New(code, "")
	}
	res := result.New(result.NotReady, "The router may not hold the newest configuration.")
	if status.Behind {
		res = res.WithRetryAfter(admission.OtherRouterRetryAfter)
	}
	return res
}

// pickService selects one of a route's services at random by weight.
func pickService(backends []routing.Backend) state.Service {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := rand.IntN(total)
	for _, b := range backends {
		if drawn < b.Weight {
			return b.Service
		}
		drawn -= b.Weight
	}
	return ""
}

func (x *exchange) readHeader() (result.Result, bool) {
	in, err := x.h.Dialect.ParseRequestHeaders(x.r.Header)
	if err != nil {
		return result.New(result.BadRequest, err.Error()), false
	}
	x.inbound = in
	x.lastEvent = in.LastEvent
	timeout := in.Deadline
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if x.route.Timeout > 0 && x.route.Timeout < timeout {
		timeout = x.route.Timeout
	}
	x.deadline = x.arrivedAt.Add(timeout - x.readDelay)
	return result.Result{}, true
}

func (x *exchange) authenticate() (result.Result, bool) {
	if x.route.Public || !x.table.HasWorkspaces() {
		return result.Result{}, true
	}
	workspace, ok := x.table.Workspace(x.inbound.Key)
	if !ok {
		return x.unknownResult(result.Unauthorized), false
	}
	x.workspace = workspace
	x.record.Workspace = workspace
	return result.Result{}, true
}

// checkWorkspaceCapacity refuses a workspace that has used its share while the
// process is near its capacity, so that other workspaces with callers at this
// router are still served.
func (x *exchange) checkWorkspaceCapacity() (result.Result, bool) {
	if x.h.Dispatcher.AtCapacityFor(x.workspace) {
		return result.New(result.TooManyRequests, "").WithRetryAfter(admission.OtherRouterRetryAfter), false
	}
	return result.Result{}, true
}

// prepareRequest computes the fields that decisions depend on. It refuses
// requests that crashed upstreams, and requests that arrive too late in a
// drain.
func (x *exchange) prepareRequest() (result.Result, bool) {
	x.fingerprint = x.computeFingerprint()
	timeout := x.deadline.Sub(x.arrivedAt)
	x.request = admission.Request{
		Work: placement.Work{
			Service:              x.service,
			Prompt:               x.inbound.Prompt,
			ExpectedOutputTokens: x.expectedOutputTokens(),
			TargetLatency:        x.route.TargetLatency,
			MaxEventGap:          x.route.MaxEventGap,
			Regions:              x.allowedRegions(),
		},
		Fingerprint:     x.fingerprint,
		Workspace:       x.workspace,
		Cost:            x.costUnits(),
		MaxOutputTokens: x.inbound.MaxOutput,
		Elapsed:         x.h.Dispatcher.ElapsedSinceFirst(x.fingerprint) + x.readDelay,
		Timeout:         timeout,
	}
	if !x.h.Dispatcher.Drain().Accepting(x.h.Now()) {
		return result.New(result.Draining, "").WithRetryAfter(admission.OtherRouterRetryAfter), false
	}
	verdict, wait := x.h.Dispatcher.CheckSuspect(x.fingerprint)
	if verdict == quarantine.Blocked {
		return x.suspectedResult(wait), false
	}
	x.trial = verdict == quarantine.Trial
	return result.Result{}, true
}

// suspectedResult returns the refusal of a request that crashed upstreams and may
// be tried again after a while.
func (x *exchange) suspectedResult(wait time.Duration) result.Result {
	detail := fmt.Sprintf("It is tried again in %s.", wait.Round(time.Second))
	return result.New(result.Suspected, detail).WithRetryAfter(min(wait, x.request.Timeout/2))
}

// startTrial begins the trial of a blocked request once it is admitted, so that a
// request that is refused for another reason keeps its trial. It returns false if
// the request must not run by now.
func (x *exchange) startTrial() bool {
	if !x.trial || x.trialStarted {
		return true
	}
	verdict := x.h.Dispatcher.StartTrial(x.fingerprint)
	x.trial, x.trialStarted = verdict == quarantine.Trial, true
	return verdict != quarantine.Blocked
}

// allowedRegions returns the lists of regions that the route and the workspace
// are restricted to.
func (x *exchange) allowedRegions() [][]state.Region {
	var lists [][]state.Region
	if len(x.route.Regions) > 0 {
		lists = append(lists, x.route.Regions)
	}
	if regions := x.table.WorkspaceRegions(x.workspace); len(regions) > 0 {
		lists = append(lists, regions)
	}
	return lists
}

func (x *exchange) expectedOutputTokens() int {
	if x.inbound.OutputHint > 0 {
		return min(x.inbound.OutputHint, max(x.inbound.MaxOutput, 1))
	}
	return x.inbound.MaxOutput
}

// costUnits returns the cost of a generation: its prompt tokens once and its
// expected output tokens twice, the unit in which the throughput of engines is
// stated. Parts of the prompt that an engine may have cached count as well.
// Whether they are cached is a matter of chance, and a workspace whose prompts
// share long prefixes would otherwise receive a multiple of its share.
func (x *exchange) costUnits() float64 {
	return float64(x.inbound.PromptTokens + 2*x.expectedOutputTokens())
}

// computeFingerprint returns a digest of workspace, host, method, path and
// body, by which a request is recognised when it is sent again.
func (x *exchange) computeFingerprint() state.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{string(x.workspace), x.r.Host, x.r.Method, x.r.RequestURI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.body)
	return state.Fingerprint(d.Sum64())
}
