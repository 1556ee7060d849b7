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

// Call is one scheduled request. SendAt is measured from the start of the run.
type Call struct {
	SendAt         time.Duration
	WorkspaceIndex int
	ClassIndex     int
	// TargetIndex selects the router, modulo the number of routers in use.
	TargetIndex int
	Key         string
	// Resent is set if the call repeats an earlier request with the same body
	// and idempotency key.
	Resent bool
	// AbandonAfter is the time after which the caller cancels the request. Zero
	// means that it does not.
	AbandonAfter time.Duration
	Body         string
}

// Schedule generates all requests of a run, sorted by time. The same workload
// always generates the same requests.
func (w Workload) Schedule() []Call {
	classes := make(map[string]int, len(w.Classes))
	for i, c := range w.Classes {
		classes[c.Name] = i
	}
	var calls []Call
	for i, workspace := range w.Workspaces {
		for j, stream := range workspace.Arrivals {
			g := &callGenerator{
				rng:            rand.New(rand.NewPCG(w.Seed, uint64(i)<<32|uint64(j))),
				workload:       w,
				workspaceIndex: i,
				classIndex:     classes[stream.Class],
				idPrefix:       fmt.Sprintf("%s-%d-%d-%d", workspace.Name, w.Seed, i, j),
			}
			calls = append(calls, g.generate(stream)...)
		}
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.SendAt, b.SendAt) })
	return calls
}

// callGenerator generates the requests of one arrival stream of a workspace.
type callGenerator struct {
	rng            *rand.Rand
	workload       Workload
	workspaceIndex int
	classIndex     int
	idPrefix       string
	generated      int
}

func (g *callGenerator) generate(stream ArrivalStream) []Call {
	var calls []Call
	for _, at := range g.arrivalTimes(stream) {
		calls = append(calls, g.newCalls(at)...)
	}
	return calls
}

// arrivalTimes returns the arrival times of the stream, in seconds from the
// start of the run.
func (g *callGenerator) arrivalTimes(stream ArrivalStream) []float64 {
	var times []float64
	burst := 1
	if stream.Process == Bursts {
		burst = stream.BurstSize
	}
	activeSeconds := 0.0
	for {
		activeSeconds += g.rng.ExpFloat64() * float64(burst) / stream.Rate
		at := activeSeconds
		if stream.Process == OnOff {
			at += math.Floor(activeSeconds/stream.OnSeconds) * stream.OffSeconds
		}
		if at >= g.workload.Seconds {
			return times
		}
		for range burst {
			times = append(times, at)
		}
	}
}

// newCalls returns one request at the given time in seconds, followed by its
// repetition if the request is sent again.
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

// drawTarget returns one of the routers of the workspace at random. If none are
// listed, it returns a random number, which the runner takes modulo the number
// of routers.
func (g *callGenerator) drawTarget() int {
	targets := g.workload.Workspaces[g.workspaceIndex].RouterIndexes
	if len(targets) == 0 {
		return g.rng.IntN(math.MaxInt32)
	}
	return targets[g.rng.IntN(len(targets))]
}

// drawSize draws a size from the distribution, rounded up.
func (g *callGenerator) drawSize(s SizeDistribution) int {
	value := s.Median * math.Exp(s.Sigma*g.rng.NormFloat64())
	return int(math.Ceil(min(value, s.Max)))
}

// bytesPerToken is the approximate length of a token. The stand-in engines
// count prompt tokens with the same length.
const bytesPerToken = 4

// newBody returns a body that is unique within the run. As in real traffic,
// max_tokens is only the upper bound of the class and does not indicate the
// actual length of the output.
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
