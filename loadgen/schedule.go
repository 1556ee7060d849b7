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
	At        time.Duration
	Workspace int
	Class     int
	// Target is an index that the runner takes modulo the targets.
	Target int
	Key    string
	// Again marks the repetition of an earlier request, body and key alike.
	Again bool
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
			d := &drawer{
				rng:       rand.New(rand.NewPCG(w.Seed, uint64(i)<<32|uint64(j))),
				workload:  w,
				workspace: i,
				class:     classes[a.Class],
				prefix:    fmt.Sprintf("%s-%d-%d-%d", ws.Name, w.Seed, i, j),
			}
			calls = append(calls, d.draw(a)...)
		}
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	return calls
}

// drawer draws the requests of one stream.
type drawer struct {
	rng       *rand.Rand
	workload  Workload
	workspace int
	class     int
	prefix    string
	drawn     int
}

func (d *drawer) draw(a Arrival) []Call {
	var calls []Call
	for _, at := range d.times(a) {
		calls = append(calls, d.calls(at)...)
	}
	return calls
}

// times returns the instants of arrival in seconds.
func (d *drawer) times(a Arrival) []float64 {
	var times []float64
	burst := 1
	if a.Process == Bursts {
		burst = a.Burst
	}
	on := 0.0
	for {
		on += d.rng.ExpFloat64() * float64(burst) / a.Rate
		at := on
		if a.Process == OnOff {
			at += math.Floor(on/a.OnSeconds) * a.OffSeconds
		}
		if at >= d.workload.Seconds {
			return times
		}
		for range burst {
			times = append(times, at)
		}
	}
}

// calls returns one request and, if it is sent again, its repetition.
func (d *drawer) calls(at float64) []Call {
	class := d.workload.Classes[d.class]
	call := Call{
		At:        time.Duration(at * float64(time.Second)),
		Workspace: d.workspace,
		Class:     d.class,
		Target:    d.target(),
	}
	d.drawn++
	id := fmt.Sprintf("%s-%d", d.prefix, d.drawn)
	call.Body = d.body(class, id)
	if d.rng.Float64() < class.Abandoned {
		call.AbandonAfter = time.Duration(class.AbandonAfterMS) * time.Millisecond
	}
	if d.rng.Float64() >= class.Keyed {
		return []Call{call}
	}
	call.Key = id
	if d.rng.Float64() >= class.Resent {
		return []Call{call}
	}
	again := call
	again.Again = true
	again.At += time.Duration(class.ResendAfterMS) * time.Millisecond
	again.Target = call.Target + 1
	return []Call{call, again}
}

func (d *drawer) target() int {
	targets := d.workload.Workspaces[d.workspace].Targets
	if len(targets) == 0 {
		return d.rng.IntN(math.MaxInt32)
	}
	return targets[d.rng.IntN(len(targets))]
}

func (d *drawer) size(s Size) int {
	drawn := s.Median * math.Exp(s.Sigma*d.rng.NormFloat64())
	return int(math.Ceil(min(drawn, s.Max)))
}

// bytesPerToken is the rough length of a token that the stand-ins count by.
const bytesPerToken = 4

// body returns a body that no other request of the run has. max_tokens is the
// class's bound and says little of the length, as in real life.
func (d *drawer) body(c Class, id string) string {
	if c.Kind == config.KindWorker {
		return fmt.Sprintf(`{"id":%q,"busy_ms":%d}`, id, d.size(c.Busy))
	}
	prompt := id
	if more := d.size(c.Prompt)*bytesPerToken - len(id); more > 0 {
		prompt += strings.Repeat(".", more)
	}
	return fmt.Sprintf(`{"model":"","stream":%t,"max_tokens":%d,"figstile_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		c.Stream, int(c.Output.Max), d.size(c.Output), prompt)
}
