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

// llmView is a picture of two engines that read 2,048 tokens a step, six
// tokens to an event, at 40,000 tokens a second.
func llmView() *View {
	p := New("here")
	p.SetServices([]routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 500000, TokensPerEvent: 6}}})
	for _, id := range []state.Upstream{"e1", "e2"} {
		p.SetUpstream(directory.Upstream{ID: id, Service: "llm", DataCentre: "here", Slots: 64})
	}
	return p
}

// streamRequest is a request for a stream whose events may come 400 ms apart.
func streamRequest(id uint64, tokens, output int) Work {
	return Work{
		Service: "llm", Prompt: []prefix.Part{{ID: id, Tokens: tokens}}, ExpectedOutputTokens: output,
		TargetLatency: 800 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
	}
}

// placePrompt sends a request to one engine, which reads its prompt.
func (v *View) placePrompt(now time.Time, id state.Upstream, w Work) *Ticket {
	return v.Place(now, w, v.estimate(now, v.hosts[id], w, false, 0))
}

// Streams run at an engine, and a prompt of forty thousand tokens comes. Read
// beside them it makes each of them pause for half a second, and all their
// callers are late. It goes to the engine that runs few streams, though others
// wait to be read there.
func TestLongPromptsGoToEnginesWithFewStreams(t *testing.T) {
	p := llmView()
	for i := range uint64(10) {
		p.RecordFirstOutput(at(50), p.placePrompt(at(0), "e1", streamRequest(i, 100, 400)))
	}
	p.placePrompt(at(100), "e2", streamRequest(50, 8000, 400))
	short, _ := p.Choose(at(100), streamRequest(100, 100, 400))
	require.EqualValues(t, "e1", short.Upstream)
	require.False(t, short.Interferes)
	long, _ := p.Choose(at(100), streamRequest(101, 40000, 400))
	require.EqualValues(t, "e2", long.Upstream)
	require.True(t, long.Interferes)
}

// Prompts that disturb streams keep coming and go to one engine. A long stream
// that began there would be disturbed by the next; it is kept away, at this router
// and at a peer, while a stream of a few tokens fills the engine.
func TestLongStreamsAvoidEnginesThatPrefillLongPrompts(t *testing.T) {
	p, peer := llmView(), llmView()
	for i := range 3 {
		long := p.placePrompt(at(i), "e2", streamRequest(uint64(i), 40000, 400))
		p.RecordFirstOutput(at(i+1), long)
		p.RecordEnd(at(i+1), long, Answered)
		peer.ReceivePlacedPrompt(at(i), PlacedPrompt{Upstream: "e2", Interferes: true})
	}
	for name, picture := range map[string]*View{"own": p, "peer": peer} {
		h := picture.hosts["e2"]
		require.Greater(t, h.interferenceRisk(at(100), 3*time.Second), 0.8, name)
		require.Less(t, h.interferenceRisk(at(100), 30*time.Millisecond), 0.05, name)
		best, _ := picture.Choose(at(100), streamRequest(200, 100, 400))
		require.EqualValues(t, "e1", best.Upstream, name)
		require.Less(t, h.interferenceRisk(at(60_000), 3*time.Second), 0.01, "it may run streams again")
	}
}

// learnFrom sends a prompt to an engine that is believed idle and answers it after
// a time.
func (v *View) learnFrom(now time.Time, id state.Upstream, w Work, took time.Duration) {
	ticket := v.placePrompt(now, id, w)
	v.RecordFirstOutput(now.Add(took+firstTokenOverhead), ticket)
	v.RecordEnd(now.Add(took+firstTokenOverhead), ticket, Withdrawn)
}

// Engines read 30,000 tokens a second and a token of a long prompt takes longer
// than one of a short one; every third answer comes late, behind requests of
// peers that this router does not know of. What is believed errs by little.
func TestPrefillRateIsLearned(t *testing.T) {
	const rate, curvature = 30000.0, 2e-5
	p := llmView()
	for i := range 2000 {
		n := 3000
		if i%4 == 0 {
			n = 30000
		}
		took := seconds(float64(n) * (1 + curvature*float64(n)) / rate)
		if i%3 == 0 {
			took += 100 * time.Millisecond
		}
		p.learnFrom(at(i*5000), "e1", streamRequest(uint64(i), n, 10), took)
	}
	r, h := p.prefillModels["llm"], p.hosts["e1"]
	believed := func(n int) float64 { return float64(r.prefillWork(n, n)) / r.rateAt(h.relativeSpeed) }
	for _, n := range []int{3000, 8000, 30000, 50000} {
		require.InEpsilon(t, float64(n)*(1+curvature*float64(n))/rate, believed(n), 0.25, n)
	}
}

// Engines read four thousand tokens a step, twice what is assumed. The pauses of
// this router's streams beside its own prompts show it.
func TestEventGapsTeachPrefillPerEvent(t *testing.T) {
	p := llmView()
	stream := p.placePrompt(at(0), "e1", streamRequest(1, 100, 400))
	p.RecordFirstOutput(at(40), stream)
	now := at(100)
	for i := range 400 {
		for range 3 {
			now = now.Add(40 * time.Millisecond)
			p.RecordOutput(now, stream)
		}
		long := p.placePrompt(now, "e1", streamRequest(uint64(10+i), 11000, 10))
		now = now.Add(640 * time.Millisecond)
		p.RecordOutput(now, stream)
		p.RecordEnd(now, long, Withdrawn)
	}
	r := p.prefillModels["llm"]
	require.InEpsilon(t, 0.04, r.idleEventGap, 0.1)
	require.InEpsilon(t, 0.6, float64(r.maxEventGap(50000, 11000, 1)-seconds(r.idleEventGap))/float64(time.Second), 0.25)
	require.Less(t, r.maxEventGap(5000, 5000, 1), 250*time.Millisecond, "a short prompt is soon read")
}
