package loadgen

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/figstile/figstile/state/config"
)

// Call is one intended request.
type Call struct {
	SendAt         time.Duration
	WorkspaceIndex int
	ClassIndex     int
	// TargetIndex is an index that the runner takes modulo the targets.
	TargetIndex int
	Key         string
	// Resent marks the repetition of an earlier request, body and key alike.
	Resent bool
	// AbandonAfter is when the caller leaves; zero means that it stays.
	AbandonAfter time.Duration
	Body         string
}

// Schedule draws every request of a run. The same workload gives the same
// requests.
func (w Workload) Schedule() []Call {
	classes := make(map[string]int, len(w.Classes))
	for i, c := range w.Classes {
		classes[c.Name] = i
	}
	var calls []Call
	for i, ws := range w.Workspaces {
		for j, a := range ws.Arrivals {
			g := &callGenerator{
				rng:            rand.New(rand.NewPCG(w.Seed, uint64(i)<<32|uint64(j))),
				workload:       w,
				workspaceIndex: i,
				classIndex:     classes[a.Class],
				idPrefix:       fmt.Sprintf("%s-%d-%d-%d", ws.Name, w.Seed, i, j),
			}
			calls = append(calls, g.generate(a)...)
		}
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.SendAt, b.SendAt) })
	return calls
}

// callGenerator draws the requests of one stream.
type callGenerator struct {
	rng            *rand.Rand
	workload       Workload
	workspaceIndex int
	classIndex     int
	idPrefix       string
	generated      int
}

func (g *callGenerator) generate(a ArrivalStream) []Call {
	var calls []Call
	for _, at := range g.arrivalTimes(a) {
		calls = append(calls, g.newCalls(at)...)
	}
	return calls
}

// arrivalTimes returns the instants of arrival in seconds.
func (g *callGenerator) arrivalTimes(a ArrivalStream) []float64 {
	var times []float64
	burst := 1
	if a.Process == Bursts {
		burst = a.BurstSize
	}
	activeSeconds := 0.0
	for {
		activeSeconds += g.rng.ExpFloat64() * float64(burst) / a.Rate
		at := activeSeconds
		if a.Process == OnOff {
			at += math.Floor(activeSeconds/a.OnSeconds) * a.OffSeconds
		}
		if at >= g.workload.Seconds {
			return times
		}
		for range burst {
			times = append(times, at)
		}
	}
}

// newCalls returns one request and, if it is sent again, its repetition.
func (g *callGenerator) newCalls(at float64) []Call {
	class := g.workload.Classes[g.classIndex]
	call := Call{
		SendAt:         time.Duration(at * float64(time.Second)),
		WorkspaceIndex: g.workspaceIndex,
		ClassIndex:     g.classIndex,
		TargetIndex:    g.drawTarget(),
	}
	g.generated++
	id := fmt.Sprintf("%s-%d", g.idPrefix, g.generated)
	call.Body = g.newBody(class, id)
	if g.rng.Float64() < class.AbandonedFraction {
		call.AbandonAfter = time.Duration(class.AbandonAfterMS) * time.Millisecond
	}
	if g.rng.Float64() >= class.KeyedFraction {
		return []Call{call}
	}
	call.Key = id
	if g.rng.Float64() >= class.ResentFraction {
		return []Call{call}
	}
	resent := call
	resent.Resent = true
	resent.SendAt += time.Duration(class.ResendAfterMS) * time.Millisecond
	resent.TargetIndex = call.TargetIndex + 1
	return []Call{call, resent}
}

func (g *callGenerator) drawTarget() int {
	targets := g.workload.Workspaces[g.workspaceIndex].RouterIndexes
	if len(targets) == 0 {
		return g.rng.IntN(math.MaxInt32)
	}
	return targets[g.rng.IntN(len(targets))]
}

func (g *callGenerator) drawSize(s SizeDistribution) int {
	value := s.Median * math.Exp(s.Sigma*g.rng.NormFloat64())
	return int(math.Ceil(min(value, s.Max)))
}

// bytesPerToken is the rough length of a token that the stand-ins count by.
const bytesPerToken = 4

// newBody returns a body that no other request of the run has. max_tokens is the
// class's bound and says little of the length, as in real life.
func (g *callGenerator) newBody(c Class, id string) string {
	if c.Kind == config.KindWorker {
		return fmt.Sprintf(`{"id":%q,"busy_ms":%d}`, id, g.drawSize(c.BusyMS))
	}
	prompt := id
	if padding := g.drawSize(c.PromptTokens)*bytesPerToken - len(id); padding > 0 {
		prompt += strings.Repeat(".", padding)
	}
	return fmt.Sprintf(`{"model":"","stream":%t,"max_tokens":%d,"figstile_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		c.Stream, int(c.OutputTokens.Max), g.drawSize(c.OutputTokens), prompt)
}
