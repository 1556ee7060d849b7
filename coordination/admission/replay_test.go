package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
)

const (
	replayRouters = 8
	replayEngines = 12
	replayTime    = 30 * time.Second
)

func anyOutcome(outcome) bool    { return true }
func wasAdmitted(o outcome) bool { return o.verdict.IsAdmitted() }
func wasOnTime(o outcome) bool   { return o.onTime() }

// longRequests returns long requests on a hundred shared prefixes: 5,000 shared
// tokens and 3,000 own tokens on average, up to 50,000.
func longRequests(rng *rand.Rand, from, to time.Duration, perSecond float64, workspace func() state.Workspace) []arrival {
	return poisson(rng, from, to, perSecond, func(at time.Duration) arrival {
		return arrival{
			at: at, router: rng.IntN(replayRouters), workspace: workspace(), prefixID: 1000 + uint64(rng.IntN(100)),
			sharedTokens: 5000, ownTokens: lognormal(rng, 3000, 1.2, 50000), target: time.Second,
		}
	})
}

// shortRequests returns short requests: 200 shared tokens, 600 own tokens on
// average.
func shortRequests(rng *rand.Rand, from, to time.Duration, perSecond float64, workspace func() state.Workspace) []arrival {
	return poisson(rng, from, to, perSecond, func(at time.Duration) arrival {
		return arrival{
			at: at, router: rng.IntN(replayRouters), workspace: workspace(), prefixID: uint64(rng.IntN(400)),
			sharedTokens: 200, ownTokens: lognormal(rng, 600, 0.8, 3000), target: 500 * time.Millisecond,
		}
	})
}

// uniformWorkspace returns a function that draws one of ten workspaces
// uniformly.
func uniformWorkspace(rng *rand.Rand) func() state.Workspace {
	return func() state.Workspace { return state.Workspace("w" + string(rune('0'+rng.IntN(10)))) }
}

func singleWorkspace(name state.Workspace) func() state.Workspace {
	return func() state.Workspace { return name }
}

// Guards against late answers and idle engines while prompts arrive at twice
// the engines' prefill rate.
func TestSaturationKeepsAnswersOnTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	load := longRequests(rng, 0, replayTime, 400, uniformWorkspace(rng))
	s := newSimulation(replayRouters, replayEngines, 1)
	results := s.run(load)
	late := 1 - fractionWhere(results, wasAdmitted, wasOnTime)
	use := usedPrefillFraction(results, 0, replayTime)
	t.Logf("late %.3f of the admitted, %.2f of the prefill rate used", late, use)
	require.Less(t, late, 0.08)
	require.Greater(t, use, 0.75)

	baseline := newSimulation(replayRouters, replayEngines, 1)
	baseline.placeAtRandom = true
	require.Less(t, fractionWhere(baseline.run(load), anyOutcome, wasOnTime), 0.15, "the baseline places the same load at random and refuses nothing")
}

// Guards against a backlog that outlasts the burst that caused it.
func TestBurstLeavesNoBacklog(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	load := mergeLoads(
		longRequests(rng, 0, replayTime, 120, uniformWorkspace(rng)),
		longRequests(rng, 10*time.Second, 12*time.Second, 400, uniformWorkspace(rng)),
	)
	results := newSimulation(replayRouters, replayEngines, 2).run(load)
	after := func(o outcome) bool { return o.at > 14*time.Second }
	t.Logf("on time: all %.3f, after the burst %.3f", fractionWhere(results, anyOutcome, wasOnTime), fractionWhere(results, after, wasOnTime))
	require.Greater(t, fractionWhere(results, after, wasOnTime), 0.97)
}

// Guards against a workspace that sends as much as the fleet can serve and
// starves nine others.
func TestFloodDoesNotStarveTheOthers(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	load := mergeLoads(
		longRequests(rng, 0, replayTime, 90, uniformWorkspace(rng)),
		longRequests(rng, 3*time.Second, replayTime, 400, singleWorkspace("flood")),
	)
	results := newSimulation(replayRouters, replayEngines, 3).run(load)
	flood := func(o outcome) bool { return o.workspace == "flood" }
	others := func(o outcome) bool { return o.workspace != "flood" && o.at > 5*time.Second }
	t.Logf("on time: flood %.3f, others %.3f", fractionWhere(results, flood, wasOnTime), fractionWhere(results, others, wasOnTime))
	require.Greater(t, fractionWhere(results, others, wasOnTime), 0.93)
	require.Greater(t, fractionWhere(results, flood, wasOnTime), 0.15, "the flood gets the capacity that the others leave")
}

// Guards against short requests that wait behind long ones, each of which
// occupies an engine for up to a second.
func TestShortRequestsAreNotDelayedByLongOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 1))
	load := mergeLoads(longRequests(rng, 0, replayTime, 90, uniformWorkspace(rng)), shortRequests(rng, 0, replayTime, 150, uniformWorkspace(rng)))
	results := newSimulation(replayRouters, replayEngines, 4).run(load)
	isShort := func(o outcome) bool { return o.target == 500*time.Millisecond }
	t.Logf("short requests on time %.3f, long ones %.3f", fractionWhere(results, isShort, wasOnTime), fractionWhere(results, func(o outcome) bool { return !isShort(o) }, wasOnTime))
	require.Greater(t, fractionWhere(results, isShort, wasOnTime), 0.97)
}

// Guards against an engine that prefills four times slower and receives as many
// requests as the others.
func TestSlowEngineGetsLess(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	load := longRequests(rng, 0, replayTime, 110, uniformWorkspace(rng))
	s := newSimulation(replayRouters, replayEngines, 5)
	s.engines["e0"].speed = 0.25
	results := s.run(load)
	slow := func(o outcome) bool { return o.verdict.Estimate.Upstream == "e0" && o.at > 10*time.Second }
	n := 0
	for _, o := range results {
		if slow(o) {
			n++
		}
	}
	t.Logf("on time %.3f, at the slow engine %.3f of %d", fractionWhere(results, anyOutcome, wasOnTime), fractionWhere(results, slow, wasOnTime), n)
	require.Greater(t, fractionWhere(results, anyOutcome, wasOnTime), 0.9)
}

// Guards against engines that idle beside those that have cached the few
// prefixes of most requests.
func TestHotPrefixIsSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 1))
	hot := longRequests(rng, 0, replayTime, 60, uniformWorkspace(rng))
	for i := range hot {
		hot[i].prefixID = uint64(1 + i%2)
	}
	load := mergeLoads(longRequests(rng, 0, replayTime, 60, uniformWorkspace(rng)), hot)
	s := newSimulation(replayRouters, replayEngines, 6)
	results := s.run(load)
	shared := 0
	for _, o := range results {
		shared += o.sharedTokens
	}
	repeated := float64(s.repeatedTokens) / float64(shared)
	t.Logf("on time %.3f, shared tokens prefilled again %.3f of those sent", fractionWhere(results, anyOutcome, wasOnTime), repeated)
	require.Greater(t, fractionWhere(results, anyOutcome, wasOnTime), 0.95)
	require.Less(t, repeated, 0.2)
}

// Guards against shared prompt parts that are prefilled again at all engines
// after the routers restart.
func TestRestartedRoutersFindCachedPrefixes(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	before := newSimulation(replayRouters, replayEngines, 7)
	before.run(longRequests(rng, 0, replayTime, 80, uniformWorkspace(rng)))
	restarted := newSimulation(replayRouters, replayEngines, 8)
	for id, e := range before.engines {
		restarted.engines[id].cache = e.cache
	}
	load := longRequests(rng, 0, 5*time.Second, 80, uniformWorkspace(rng))
	restarted.run(load)
	repeated := float64(restarted.repeatedTokens) / float64(5000*len(load))
	t.Logf("shared tokens prefilled again %.3f", repeated)
	require.Less(t, repeated, 0.15)
}

func TestDecide(t *testing.T) {
	request := Request{Work: placement.Work{TargetLatency: time.Second}, Timeout: 9 * time.Second}
	request.Prompt = []prefix.Part{{ID: 1, Tokens: 100}}
	require.Equal(t, NoUpstream, Decide(request, estimateOf(0, 0), false, withinShare, 0).Reason)
	require.True(t, Decide(request, estimateOf(500, 100), true, withinShare, 0).IsAdmitted())
	require.Equal(t, Overload, Decide(request, estimateOf(600, 100), true, withinShare, 0).Reason)
	require.True(t, Decide(request, estimateOf(100, 3000), true, withinShare, 0).IsAdmitted(), "a prompt with a long prefill is admitted to an idle engine")
	require.Equal(t, OverShare, Decide(request, estimateOf(100, 100), true, shareExhausted, 0).Reason)
	require.True(t, Decide(request, estimateOf(10, 100), true, shareExhausted, 0).IsAdmitted(), "idle capacity is open to a workspace beyond its share")
	late := request
	late.Elapsed = 2 * time.Second
	require.True(t, Decide(late, estimateOf(2000, 100), true, withinShare, 0).IsAdmitted(), "a retried request is served late rather than refused again")
	mayHaveRun := request
	mayHaveRun.MayHaveRun = true
	require.True(t, Decide(mayHaveRun, estimateOf(60000, 100), true, shareExhausted, 0).IsAdmitted(), "a refusal would state that it has not run")
	plain := Request{Work: placement.Work{TargetLatency: time.Second}, Timeout: 9 * time.Second}
	require.True(t, Decide(plain, estimateOf(800, 100), true, withinShare, 0).IsAdmitted())
	require.Equal(t, Overload, Decide(plain, estimateOf(850, 100), true, withinShare, 0).Reason)
}

// Guards against a prompt whose prefill makes the streams of thirty callers
// late.
func TestPromptThatDelaysManyStreamsIsRefused(t *testing.T) {
	request := Request{Work: placement.Work{TargetLatency: time.Second, Prompt: []prefix.Part{{ID: 1, Tokens: 50000}}}, Timeout: 9 * time.Second}
	e := estimateOf(0, 1400)
	e.Interferes, e.DelayedStreams = true, 30
	require.Equal(t, Overload, Decide(request, e, true, withinShare, 0).Reason)
	e.DelayedStreams = maxDelayedStreams
	require.True(t, Decide(request, e, true, withinShare, 0).IsAdmitted())
}

// Guards against prompts that will be late in any case and take queue positions
// from those that can be on time.
func TestLatePromptHasShortWaitLimit(t *testing.T) {
	request := Request{Work: placement.Work{TargetLatency: time.Second, Prompt: []prefix.Part{{ID: 1, Tokens: 50000}}}, Timeout: 9 * time.Second}
	require.True(t, Decide(request, estimateOf(690, 1400), true, withinShare, 0).IsAdmitted())
	require.Equal(t, Overload, Decide(request, estimateOf(710, 1400), true, withinShare, 0).Reason)
}

func TestRetryAfterStaysWithinTimeout(t *testing.T) {
	for _, jitter := range []float64{0, 0.5, 0.999} {
		for _, timeout := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 15 * time.Second} {
			v := Decide(Request{Work: placement.Work{TargetLatency: 200 * time.Millisecond}, Timeout: timeout}, estimateOf(20000, 50), true, withinShare, jitter)
			require.False(t, v.IsAdmitted())
			require.Positive(t, v.RetryAfter)
			require.LessOrEqual(t, v.RetryAfter, timeout/3)
		}
	}
}
