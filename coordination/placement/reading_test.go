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

// llmEngines is a picture of two engines that read 2,048 tokens a step, six
// tokens to an event, at 40,000 tokens a second.
func llmEngines() *Picture {
	p := New("here")
	p.SetServices([]routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 500000, TokensPerEvent: 6}}})
	for _, id := range []state.Upstream{"e1", "e2"} {
		p.SetUpstream(directory.Upstream{ID: id, Service: "llm", DataCentre: "here", Slots: 64})
	}
	return p
}

// generation is a request for a stream whose events may come 400 ms apart.
func generation(id uint64, tokens, output int) Work {
	return Work{
		Service: "llm", Prompt: []prefix.Part{{ID: id, Tokens: tokens}}, Output: output,
		Target: 800 * time.Millisecond, Pause: 400 * time.Millisecond,
	}
}

// readAt sends a request to one engine, which reads its prompt.
func (p *Picture) readAt(now time.Time, id state.Upstream, w Work) *Ticket {
	return p.Place(now, w, p.estimate(now, p.hosts[id], w, false, 0))
}

// Streams run at an engine, and a prompt of forty thousand tokens comes. Read
// beside them it makes each of them pause for half a second, and all their
// callers are late. It goes to the engine that runs few streams, though others
// wait to be read there.
func TestLongPromptsAreReadWhereFewStreamsRun(t *testing.T) {
	p := llmEngines()
	for i := range uint64(10) {
		p.FirstOutput(at(50), p.readAt(at(0), "e1", generation(i, 100, 400)))
	}
	p.readAt(at(100), "e2", generation(50, 8000, 400))
	short, _ := p.Choose(at(100), generation(100, 100, 400))
	require.EqualValues(t, "e1", short.Upstream)
	require.False(t, short.Interferes)
	long, _ := p.Choose(at(100), generation(101, 40000, 400))
	require.EqualValues(t, "e2", long.Upstream)
	require.True(t, long.Interferes)
}

// Prompts that disturb streams keep coming and go to one engine. A long stream
// that began there would be disturbed by the next; it is kept away, at this router
// and at a peer, while a stream of a few tokens fills the engine.
func TestLongStreamsAvoidEnginesThatReadLongPrompts(t *testing.T) {
	p, peer := llmEngines(), llmEngines()
	for i := range 3 {
		long := p.readAt(at(i), "e2", generation(uint64(i), 40000, 400))
		p.FirstOutput(at(i+1), long)
		p.End(at(i+1), long, Answered)
		peer.HeardPlaced(at(i), Placed{Upstream: "e2", Interferes: true})
	}
	for name, picture := range map[string]*Picture{"own": p, "peer": peer} {
		h := picture.hosts["e2"]
		require.Greater(t, h.interferenceRisk(at(100), 3*time.Second), 0.8, name)
		require.Less(t, h.interferenceRisk(at(100), 30*time.Millisecond), 0.05, name)
		best, _ := picture.Choose(at(100), generation(200, 100, 400))
		require.EqualValues(t, "e1", best.Upstream, name)
		require.Less(t, h.interferenceRisk(at(60_000), 3*time.Second), 0.01, "it may run streams again")
	}
}

// lesson sends a prompt to an engine that is believed idle and answers it after
// a time.
func (p *Picture) lesson(now time.Time, id state.Upstream, w Work, took time.Duration) {
	ticket := p.readAt(now, id, w)
	p.FirstOutput(now.Add(took+startup), ticket)
	p.End(now.Add(took+startup), ticket, Withdrawn)
}

// Engines read 30,000 tokens a second and a token of a long prompt takes longer
// than one of a short one; every third answer comes late, behind requests of
// peers that this router does not know of. What is believed errs by little.
func TestReadingIsLearned(t *testing.T) {
	const rate, curvature = 30000.0, 2e-5
	p := llmEngines()
	for i := range 2000 {
		n := 3000
		if i%4 == 0 {
			n = 30000
		}
		took := seconds(float64(n) * (1 + curvature*float64(n)) / rate)
		if i%3 == 0 {
			took += 100 * time.Millisecond
		}
		p.lesson(at(i*5000), "e1", generation(uint64(i), n, 10), took)
	}
	r, h := p.readings["llm"], p.hosts["e1"]
	believed := func(n int) float64 { return float64(r.work(n, n)) / r.at(h.speed) }
	for _, n := range []int{3000, 8000, 30000, 50000} {
		require.InEpsilon(t, float64(n)*(1+curvature*float64(n))/rate, believed(n), 0.25, n)
	}
}

// Engines read four thousand tokens a step, twice what is assumed. The pauses of
// this router's streams beside its own prompts show it.
func TestPausesTeachWhatIsReadBetweenEvents(t *testing.T) {
	p := llmEngines()
	stream := p.readAt(at(0), "e1", generation(1, 100, 400))
	p.FirstOutput(at(40), stream)
	now := at(100)
	for i := range 400 {
		for range 3 {
			now = now.Add(40 * time.Millisecond)
			p.Output(now, stream)
		}
		long := p.readAt(now, "e1", generation(uint64(10+i), 11000, 10))
		now = now.Add(640 * time.Millisecond)
		p.Output(now, stream)
		p.End(now, long, Withdrawn)
	}
	r := p.readings["llm"]
	require.InEpsilon(t, 0.04, r.idlePause, 0.1)
	require.InEpsilon(t, 0.6, float64(r.pause(50000, 11000, 1)-seconds(r.idlePause))/float64(time.Second), 0.25)
	require.Less(t, r.pause(5000, 5000, 1), 250*time.Millisecond, "a short prompt is soon read")
}
