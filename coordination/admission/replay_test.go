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

func all(outcome) bool        { return true }
func admitted(o outcome) bool { return o.verdict.Admit() }
func inTime(o outcome) bool   { return o.onTime() }

// guides are long drafts on a hundred subjects: 5,000 tokens shared, 3,000 of
// their own on average, some of them fifty thousand.
func guides(draw *rand.Rand, from, to time.Duration, perSecond float64, workspace func() state.Workspace) []arrival {
	return poisson(draw, from, to, perSecond, func(at time.Duration) arrival {
		return arrival{
			at: at, router: draw.IntN(replayRouters), workspace: workspace(), subject: 1000 + uint64(draw.IntN(100)),
			shared: 5000, own: lognormal(draw, 3000, 1.2, 50000), target: time.Second,
		}
	})
}

// notes are short: 200 tokens shared, 600 of their own.
func notes(draw *rand.Rand, from, to time.Duration, perSecond float64, workspace func() state.Workspace) []arrival {
	return poisson(draw, from, to, perSecond, func(at time.Duration) arrival {
		return arrival{
			at: at, router: draw.IntN(replayRouters), workspace: workspace(), subject: uint64(draw.IntN(400)),
			shared: 200, own: lognormal(draw, 600, 0.8, 3000), target: 500 * time.Millisecond,
		}
	})
}

// even draws one of ten workspaces.
func even(draw *rand.Rand) func() state.Workspace {
	return func() state.Workspace { return state.Workspace("w" + string(rune('0'+draw.IntN(10)))) }
}

func only(name state.Workspace) func() state.Workspace {
	return func() state.Workspace { return name }
}

// Guards against late answers and idle engines while twice what they can read arrives.
func TestSaturationKeepsAnswersOnTime(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	load := guides(draw, 0, replayTime, 400, even(draw))
	s := newSimulation(replayRouters, replayEngines, 1)
	results := s.run(load)
	late := 1 - portion(results, admitted, inTime)
	use := usedPart(results, 0, replayTime)
	t.Logf("late %.3f of the admitted, %.2f of the reading rate used", late, use)
	require.Less(t, late, 0.08)
	require.Greater(t, use, 0.75)

	naive := newSimulation(replayRouters, replayEngines, 1)
	naive.naive = true
	require.Less(t, portion(naive.run(load), all, inTime), 0.15, "the same load placed at random and never refused")
}

// Guards against a backlog that outlasts the burst which caused it.
func TestBurstLeavesNoBacklog(t *testing.T) {
	draw := rand.New(rand.NewPCG(2, 1))
	load := merge(
		guides(draw, 0, replayTime, 120, even(draw)),
		guides(draw, 10*time.Second, 12*time.Second, 400, even(draw)),
	)
	results := newSimulation(replayRouters, replayEngines, 2).run(load)
	after := func(o outcome) bool { return o.at > 14*time.Second }
	t.Logf("on time: all %.3f, after the burst %.3f", portion(results, all, inTime), portion(results, after, inTime))
	require.Greater(t, portion(results, after, inTime), 0.97)
}

// Guards against a workspace that sends as much as the fleet can do and starves nine others.
func TestFloodDoesNotStarveTheOthers(t *testing.T) {
	draw := rand.New(rand.NewPCG(3, 1))
	load := merge(
		guides(draw, 0, replayTime, 90, even(draw)),
		guides(draw, 3*time.Second, replayTime, 400, only("flood")),
	)
	results := newSimulation(replayRouters, replayEngines, 3).run(load)
	flood := func(o outcome) bool { return o.workspace == "flood" }
	others := func(o outcome) bool { return o.workspace != "flood" && o.at > 5*time.Second }
	t.Logf("on time: flood %.3f, others %.3f", portion(results, flood, inTime), portion(results, others, inTime))
	require.Greater(t, portion(results, others, inTime), 0.93)
	require.Greater(t, portion(results, flood, inTime), 0.15, "what the others leave goes to it")
}

// Guards against short notes that wait behind guides which keep an engine for a second.
func TestShortWorkIsNotHeldUpByLongWork(t *testing.T) {
	draw := rand.New(rand.NewPCG(4, 1))
	load := merge(guides(draw, 0, replayTime, 90, even(draw)), notes(draw, 0, replayTime, 150, even(draw)))
	results := newSimulation(replayRouters, replayEngines, 4).run(load)
	note := func(o outcome) bool { return o.target == 500*time.Millisecond }
	t.Logf("notes on time %.3f, guides %.3f", portion(results, note, inTime), portion(results, func(o outcome) bool { return !note(o) }, inTime))
	require.Greater(t, portion(results, note, inTime), 0.97)
}

// Guards against an engine that reads four times slower and gets as much as the others.
func TestSlowEngineGetsLess(t *testing.T) {
	draw := rand.New(rand.NewPCG(5, 1))
	load := guides(draw, 0, replayTime, 110, even(draw))
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
	t.Logf("on time %.3f, at the slow engine %.3f of %d", portion(results, all, inTime), portion(results, slow, inTime), n)
	require.Greater(t, portion(results, all, inTime), 0.9)
}

// Guards against engines that idle beside those which hold the few subjects of most requests.
func TestHotSubjectIsSpread(t *testing.T) {
	draw := rand.New(rand.NewPCG(6, 1))
	hot := guides(draw, 0, replayTime, 60, even(draw))
	for i := range hot {
		hot[i].subject = uint64(1 + i%2)
	}
	load := merge(guides(draw, 0, replayTime, 60, even(draw)), hot)
	s := newSimulation(replayRouters, replayEngines, 6)
	results := s.run(load)
	shared := 0
	for _, o := range results {
		shared += o.shared
	}
	again := float64(s.reread) / float64(shared)
	t.Logf("on time %.3f, shared tokens read %.3f of those sent", portion(results, all, inTime), again)
	require.Greater(t, portion(results, all, inTime), 0.95)
	require.Less(t, again, 0.2)
}

// Guards against parts that are read again everywhere after the routers restart.
func TestColdRoutersFindWhatEnginesHold(t *testing.T) {
	draw := rand.New(rand.NewPCG(7, 1))
	before := newSimulation(replayRouters, replayEngines, 7)
	before.run(guides(draw, 0, replayTime, 80, even(draw)))
	cold := newSimulation(replayRouters, replayEngines, 8)
	for id, e := range before.engines {
		cold.engines[id].cache = e.cache
	}
	load := guides(draw, 0, 5*time.Second, 80, even(draw))
	cold.run(load)
	again := float64(cold.reread) / float64(5000*len(load))
	t.Logf("shared tokens read again %.3f", again)
	require.Less(t, again, 0.15)
}

func TestDecide(t *testing.T) {
	request := Request{Work: placement.Work{Target: time.Second}, Timeout: 9 * time.Second}
	request.Prompt = []prefix.Part{{ID: 1, Tokens: 100}}
	require.Equal(t, NoUpstream, Decide(request, estimate(0, 0), false, idle, 0).Reason)
	require.True(t, Decide(request, estimate(500, 100), true, idle, 0).Admit())
	require.Equal(t, Overload, Decide(request, estimate(600, 100), true, idle, 0).Reason)
	require.True(t, Decide(request, estimate(100, 3000), true, idle, 0).Admit(), "a prompt that takes long by itself is admitted to an idle engine")
	require.Equal(t, OverShare, Decide(request, estimate(100, 100), true, sated, 0).Reason)
	require.True(t, Decide(request, estimate(10, 100), true, sated, 0).Admit(), "nobody is refused what is idle")
	late := request
	late.Elapsed = 2 * time.Second
	require.True(t, Decide(late, estimate(2000, 100), true, idle, 0).Admit(), "who comes back is served late rather than not")
	begun := request
	begun.Begun = true
	require.True(t, Decide(begun, estimate(60000, 100), true, sated, 0).Admit(), "a refusal would say that it has not run")
	plain := Request{Work: placement.Work{Target: time.Second}, Timeout: 9 * time.Second}
	require.True(t, Decide(plain, estimate(800, 100), true, idle, 0).Admit())
	require.Equal(t, Overload, Decide(plain, estimate(850, 100), true, idle, 0).Reason)
}

// Guards against a prompt whose reading makes the streams of thirty callers late.
func TestPromptThatStallsManyStreamsIsRefused(t *testing.T) {
	request := Request{Work: placement.Work{Target: time.Second, Prompt: []prefix.Part{{ID: 1, Tokens: 50000}}}, Timeout: 9 * time.Second}
	e := estimate(0, 1400)
	e.Interferes, e.Disturbed = true, 30
	require.Equal(t, Overload, Decide(request, e, true, idle, 0).Reason)
	e.Disturbed = maxDisturbed
	require.True(t, Decide(request, e, true, idle, 0).Admit())
}

// Guards against prompts that are late anyway and take places from those that can be on time.
func TestHopelessPromptWaitsLittle(t *testing.T) {
	request := Request{Work: placement.Work{Target: time.Second, Prompt: []prefix.Part{{ID: 1, Tokens: 50000}}}, Timeout: 9 * time.Second}
	require.True(t, Decide(request, estimate(690, 1400), true, idle, 0).Admit())
	require.Equal(t, Overload, Decide(request, estimate(710, 1400), true, idle, 0).Reason)
}

func TestRetryAfterStaysWithinTimeout(t *testing.T) {
	for _, spread := range []float64{0, 0.5, 0.999} {
		for _, timeout := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 15 * time.Second} {
			v := Decide(Request{Work: placement.Work{Target: 200 * time.Millisecond}, Timeout: timeout}, estimate(20000, 50), true, idle, spread)
			require.False(t, v.Admit())
			require.Positive(t, v.RetryAfter)
			require.LessOrEqual(t, v.RetryAfter, timeout/3)
		}
	}
}
