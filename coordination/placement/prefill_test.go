package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
)

// llmView returns a view of two engines that are assumed to prefill 2,048
// tokens per step at 40,000 tokens per second, with six tokens per event.
func llmView() *View {
	v := New("here")
	v.SetServices([]routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 500000, TokensPerEvent: 6}}})
	for _, id := range []state.Upstream{"e1", "e2"} {
		v.SetUpstream(directory.Upstream{ID: id, Service: "llm", DataCentre: "here", Slots: 64})
	}
	return v
}

// streamRequest is a request for a stream with a maximum event gap of 400 ms.
func streamRequest(id uint64, tokens, output int) Work {
	return Work{
		Service: "llm", Prompt: []prefix.Part{{ID: id, Tokens: tokens}}, ExpectedOutputTokens: output,
		TargetLatency: 800 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
	}
}

// placePrompt sends a request to a given engine.
func (v *View) placePrompt(now time.Time, id state.Upstream, w Work) *Ticket {
	return v.Place(now, w, v.estimate(now, v.hosts[id], w, false, 0))
}

// A prompt of 40,000 tokens arrives while streams run at an engine. Its prefill
// there would interrupt each of them for half a second and make all their
// callers late. It must go to the engine with few streams, although prefill is
// pending there.
func TestLongPromptsGoToEnginesWithFewStreams(t *testing.T) {
	v := llmView()
	for i := range uint64(10) {
		v.RecordFirstOutput(at(50), v.placePrompt(at(0), "e1", streamRequest(i, 100, 400)))
	}
	v.placePrompt(at(100), "e2", streamRequest(50, 8000, 400))
	short, _ := v.Choose(at(100), streamRequest(100, 100, 400))
	require.EqualValues(t, "e1", short.Upstream)
	require.False(t, short.Interferes)
	long, _ := v.Choose(at(100), streamRequest(101, 40000, 400))
	require.EqualValues(t, "e2", long.Upstream)
	require.True(t, long.Interferes)
}

// Prompts that interfere with streams keep arriving and go to one engine. A
// long stream there would be delayed by the next such prompt, so this router
// and its peer must place it elsewhere, while a stream of a few tokens may
// still use the engine.
func TestLongStreamsAvoidEnginesThatPrefillLongPrompts(t *testing.T) {
	v, peer := llmView(), llmView()
	for i := range 3 {
		long := v.placePrompt(at(i), "e2", streamRequest(uint64(i), 40000, 400))
		v.RecordFirstOutput(at(i+1), long)
		v.RecordEnd(at(i+1), long, Answered)
		peer.ReceivePlacedPrompt(at(i), PlacedPrompt{Upstream: "e2", Interferes: true})
	}
	for name, view := range map[string]*View{"own": v, "peer": peer} {
		h := view.hosts["e2"]
		require.Greater(t, h.interferenceRisk(at(100), 3*time.Second), 0.8, name)
		require.Less(t, h.interferenceRisk(at(100), 30*time.Millisecond), 0.05, name)
		best, _ := view.Choose(at(100), streamRequest(200, 100, 400))
		require.EqualValues(t, "e1", best.Upstream, name)
		require.Less(t, h.interferenceRisk(at(60_000), 3*time.Second), 0.01, "the risk decays")
	}
}

// learnFrom sends a prompt to an engine that this router considers idle, and
// answers it after the given time.
func (v *View) learnFrom(now time.Time, id state.Upstream, w Work, elapsed time.Duration) {
	ticket := v.placePrompt(now, id, w)
	v.RecordFirstOutput(now.Add(elapsed+firstTokenOverhead), ticket)
	v.RecordEnd(now.Add(elapsed+firstTokenOverhead), ticket, Withdrawn)
}

// Engines prefill 30,000 tokens per second, and a token of a long prompt takes
// longer than a token of a short one. Every third answer is delayed by requests
// of peers that this router does not know of. The estimates must still be
// within 25 percent.
func TestPrefillRateIsLearned(t *testing.T) {
	const rate, curvature = 30000.0, 2e-5
	v := llmView()
	for i := range 2000 {
		n := 3000
		if i%4 == 0 {
			n = 30000
		}
		elapsed := seconds(float64(n) * (1 + curvature*float64(n)) / rate)
		if i%3 == 0 {
			elapsed += 100 * time.Millisecond
		}
		v.learnFrom(at(i*5000), "e1", streamRequest(uint64(i), n, 10), elapsed)
	}
	m, h := v.prefillModels["llm"], v.hosts["e1"]
	estimated := func(n int) float64 { return float64(m.prefillWork(n, n)) / m.rateAt(h.relativeSpeed) }
	for _, n := range []int{3000, 8000, 30000, 50000} {
		require.InEpsilon(t, float64(n)*(1+curvature*float64(n))/rate, estimated(n), 0.25, n)
	}
}

// Engines prefill 4,000 tokens per step, twice the assumed number. This is
// learned from the event gaps of this router's streams during the prefill of
// its own prompts.
func TestEventGapsTeachPrefillPerEvent(t *testing.T) {
	v := llmView()
	stream := v.placePrompt(at(0), "e1", streamRequest(1, 100, 400))
	v.RecordFirstOutput(at(40), stream)
	now := at(100)
	for i := range 400 {
		for range 3 {
			now = now.Add(40 * time.Millisecond)
			v.RecordOutput(now, stream)
		}
		long := v.placePrompt(now, "e1", streamRequest(uint64(10+i), 11000, 10))
		now = now.Add(640 * time.Millisecond)
		v.RecordOutput(now, stream)
		v.RecordEnd(now, long, Withdrawn)
	}
	m := v.prefillModels["llm"]
	require.InEpsilon(t, 0.04, m.idleEventGap, 0.1)
	require.InEpsilon(t, 0.6, float64(m.maxEventGap(50000, 11000, 1)-seconds(m.idleEventGap))/float64(time.Second), 0.25)
	require.Less(t, m.maxEventGap(5000, 5000, 1), 250*time.Millisecond, "a short prompt lengthens the event gap only briefly")
}
