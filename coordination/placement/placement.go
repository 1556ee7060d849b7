package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
)

const (
	// otherDataCentrePenalty is the handicap of another data centre. The way there and back
	// takes 2 ms; the rest stands for the bytes, which are paid for, and for
	// links that can be cut. It is above what short prompts wait for at most,
	// so that those stay in their data centre, and well below what a shared
	// part of a long prompt weighs, so that those still go where it is held.
	otherDataCentrePenalty = 100 * time.Millisecond
	// firstTokenOverhead is the time to a first token beyond reading: a step of the
	// batch, the engine's own overhead and the way there and back.
	firstTokenOverhead = 45 * time.Millisecond
	// initialWorkTime is assumed for a plain request until answers have taught
	// better.
	initialWorkTime = 50 * time.Millisecond
	// failureWeight is the weight of one answer in an upstream's failure
	// rate: it follows within some ten answers.
	failureWeight = 0.08
	// failurePenalty is the handicap of an upstream that fails all its
	// requests; one that fails a fifth gets a fifth of it.
	failurePenalty = 400 * time.Millisecond
)

// Work is what placing needs to know of a request.
type Work struct {
	Service state.Service
	// Prompt is empty for plain requests.
	Prompt []prefix.Part
	// ExpectedOutputTokens is the expected number of generated tokens.
	ExpectedOutputTokens int
	// TargetLatency is the latency within which the answer is on time, counted from
	// the caller's first attempt; zero means none.
	TargetLatency time.Duration
	// MaxEventGap is the longest time between two events of a stream with which it
	// is still on time; zero means none.
	MaxEventGap time.Duration
	// Repeatable requests may be given up at one upstream and sent to
	// another, if one is left.
	Repeatable bool
	// Resumed is set if the caller has the beginning of the answer.
	Resumed bool
	// Excluded are upstreams that failed or rejected this request.
	Excluded []state.Upstream
}

// affinityKey is the part that requests share most specifically: the one before
// the last, which is the request's own.
func (w Work) affinityKey() (uint64, bool) {
	switch len(w.Prompt) {
	case 0:
		return 0, false
	case 1:
		return w.Prompt[0].ID, true
	default:
		return w.Prompt[len(w.Prompt)-2].ID, true
	}
}

// ownTokens is the size of the request's own part, which any engine reads.
func (w Work) ownTokens() int {
	if len(w.Prompt) == 0 {
		return 0
	}
	return w.Prompt[len(w.Prompt)-1].Tokens
}

// Estimate is what one upstream would do with a request.
type Estimate struct {
	Upstream state.Upstream
	Address  string
	Born     int64
	// WaitTime is the time until the upstream turns to the request, Own the time
	// it then takes to the first token or the answer.
	WaitTime       time.Duration
	ProcessingTime time.Duration
	// StreamTime is the time from the first event of a stream to its last.
	StreamTime time.Duration
	// UncachedTokens is the number of prompt tokens the upstream would read.
	UncachedTokens int
	// UnderHalfFull is set while less than half of the upstream's slots are taken and
	// nothing waits there.
	UnderHalfFull bool
	// UnderQuarterFull is set while less than a quarter of them are taken and nothing
	// waits there.
	UnderQuarterFull bool
	// Interferes says that reading the prompt makes the pauses of the streams that
	// the engine runs too long, Disturbed is how many those are.
	Interferes     bool
	DelayedStreams int
	// prefillWork is the reading of the prompt, in tokens at the rate of short ones.
	prefillWork int
	// score is the time that candidates are compared by.
	score time.Duration
}

// TimeToAnswer is the expected time to the first token or the answer.
func (e Estimate) TimeToAnswer() time.Duration { return e.WaitTime + e.ProcessingTime }

// Load is what one router, or all of a data centre, have at one upstream.
type Load struct {
	// Running counts the requests sent and not ended.
	Running int
	// PendingPrefill is the work of reading prompts that have not begun to be
	// answered, in tokens at the rate of short ones.
	PendingPrefill int
}

func (l Load) plus(o Load) Load {
	return Load{l.Running + o.Running, l.PendingPrefill + o.PendingPrefill}
}

func (l Load) minus(o Load) Load {
	return Load{l.Running - o.Running, l.PendingPrefill - o.PendingPrefill}
}

// View is what is known of all upstreams. It is not safe for concurrent
// use.
type View struct {
	self          state.DataCentre
	engines       map[state.Service]routing.Engine
	services      map[state.Service][]*host
	hosts         map[state.Upstream]*host
	workTimes     map[state.Service]float64
	prefillModels map[state.Service]*prefillModel
	// tokenTimes is how long streams take for a token, in nanoseconds.
	tokenTimes    map[state.Service]float64
	placedPrompts []PlacedPrompt
	// scatterCounter counts the draws of scatter, which begin at a seed.
	scatterCounter uint64
	// lastReceivedAt is when each source last told its loads.
	lastReceivedAt map[state.Router]time.Time
}

// New returns an empty picture of a router in a data centre.
func New(self state.DataCentre) *View {
	return &View{
		self:           self,
		engines:        make(map[state.Service]routing.Engine),
		services:       make(map[state.Service][]*host),
		hosts:          make(map[state.Upstream]*host),
		workTimes:      make(map[state.Service]float64),
		prefillModels:  make(map[state.Service]*prefillModel),
		tokenTimes:     make(map[state.Service]float64),
		lastReceivedAt: make(map[state.Router]time.Time),
	}
}

// SetServices takes the services of a configuration.
func (v *View) SetServices(services []routing.Service) {
	for _, service := range services {
		if service.Engine != nil {
			v.engines[service.Name] = *service.Engine
			if v.prefillModels[service.Name] == nil {
				v.prefillModels[service.Name] = newPrefillModel(service.Engine.TokensPerEvent)
			}
		}
	}
}

// SetUpstream adds or changes an upstream. All that was known of an earlier
// run under the same id is void.
func (v *View) SetUpstream(u directory.Upstream) {
	h := v.hosts[u.ID]
	if h != nil && (h.Born != u.Born || h.Address != u.Address || h.Service != u.Service) {
		v.RemoveUpstream(u.ID)
		h = nil
	}
	if h == nil {
		h = newHost(u, v.engines[u.Service])
		v.hosts[u.ID] = h
		v.services[u.Service] = append(v.services[u.Service], h)
	}
	h.Upstream = u
}

// RemoveUpstream forgets an upstream that is gone.
func (v *View) RemoveUpstream(id state.Upstream) {
	h := v.hosts[id]
	if h == nil {
		return
	}
	delete(v.hosts, id)
	v.services[h.Service] = slices.DeleteFunc(v.services[h.Service], func(o *host) bool { return o == h })
}

// CountUsable counts the upstreams of a service that take new work.
func (v *View) CountUsable(service state.Service) int {
	n := 0
	for _, h := range v.services[service] {
		if !h.Leaving {
			n++
		}
	}
	return n
}

// Choose returns the upstream that serves a request best, all callers
// considered, or false if the service has none.
func (v *View) Choose(now time.Time, w Work) (Estimate, bool) {
	best, _, found := v.Candidates(now, w)
	return best, found
}

// Candidates returns the upstream that serves a request best, all callers
// considered, and the one that answers it first, or false if the service has
// none.
func (v *View) Candidates(now time.Time, w Work) (best, soonest Estimate, found bool) {
	pool := v.eligible(now, w)
	if len(pool) == 0 {
		return Estimate{}, Estimate{}, false
	}
	home, maxScatter := homeEngine(pool, w), v.maxScatterPenalty(w.Service)
	for i, h := range pool {
		e := v.estimate(now, h, w, h == home, maxScatter)
		if i == 0 || e.score < best.score {
			best = e
		}
		if i == 0 || e.TimeToAnswer() < soonest.TimeToAnswer() {
			soonest = e
		}
	}
	return best, soonest, true
}

// homeEngine returns the engine that a shared part goes to while nobody is known to
// hold it: the first in a rendezvous hash. A router that starts again knows
// nothing, but what it and its peers sent before went there; without this it
// spreads parts over all engines, and they are read again everywhere.
func homeEngine(pool []*host, w Work) *host {
	key, shared := w.affinityKey()
	if !shared {
		return nil
	}
	var home *host
	var highest uint64
	for _, h := range pool {
		if h.cache.Contains(key) {
			return nil
		}
		if weight := mix(h.hash, key); home == nil || weight > highest {
			home, highest = h, weight
		}
	}
	return home
}

// eligible returns the upstreams that may take a request: all that do not leave,
// without those that cannot be reached or just rejected one if any others are
// left.
func (v *View) eligible(now time.Time, w Work) []*host {
	var preferred, fallback []*host
	for _, h := range v.services[w.Service] {
		switch {
		case h.Leaving || slices.Contains(w.Excluded, h.ID):
		case h.unreachable || now.Before(h.avoidUntil):
			fallback = append(fallback, h)
		default:
			preferred = append(preferred, h)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return fallback
}

// mix combines an upstream's hash with a key by the finalizer of splitmix64.
func mix(upstream, key uint64) uint64 {
	z := upstream ^ key*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (v *View) estimate(now time.Time, h *host, w Work, home bool, maxScatter time.Duration) Estimate {
	e := Estimate{Upstream: h.ID, Address: h.Address, Born: h.Born}
	engine, isEngine := v.engines[w.Service]
	slots := h.slots(engine)
	if isEngine {
		v.estimateEngine(now, &e, h, w, home)
	} else {
		e.ProcessingTime = v.meanWorkTime(w.Service)
		e.score = v.scatterPenalty(maxScatter)
	}
	running, pendingPrefill := h.totalLoad()
	if slots > 0 && running >= slots {
		e.WaitTime += seconds(float64(running-slots+1) / float64(slots) * h.slotTimeOr(v.meanWorkTime(w.Service)).Seconds())
	}
	e.UnderHalfFull = running*2 < slots && pendingPrefill == 0
	e.UnderQuarterFull = running*4 < slots && pendingPrefill == 0
	e.score += e.TimeToAnswer() + time.Duration(h.failureRate*float64(failurePenalty))
	if h.DataCentre != v.self {
		e.score += otherDataCentrePenalty
	}
	// Among upstreams that would answer equally soon the less busy one
	// generates faster.
	if slots > 0 {
		e.score += time.Duration(float64(fullBatchPenalty) * float64(running) / float64(slots))
	}
	return e
}

// estimateEngine estimates when an engine would answer, and what that costs the
// callers of the streams that it runs.
func (v *View) estimateEngine(now time.Time, e *Estimate, h *host, w Work, home bool) {
	m := v.prefillModels[w.Service]
	rate := m.rateAt(h.relativeSpeed)
	_, pendingPrefill := h.totalLoad()
	promptTokens := countTokens(w.Prompt)
	e.UncachedTokens = h.cache.UncachedTokens(w.Prompt)
	e.prefillWork = m.prefillWork(e.UncachedTokens, promptTokens)
	e.WaitTime = seconds(float64(pendingPrefill) / rate)
	e.ProcessingTime = seconds(float64(e.prefillWork)/rate) + firstTokenOverhead
	e.StreamTime = v.streamTime(w)
	if !home {
		repeated := max(e.UncachedTokens-w.ownTokens(), 0)
		e.score = seconds(repeatedPrefillWeight * float64(repeated) / rate)
	}
	v.estimateInterference(now, e, h, w, promptTokens)
}

// SeedScatter makes this router's draws differ from those of others.
func (v *View) SeedScatter(seed uint64) { v.scatterCounter = seed }

const (
	// peerLoadAge is how old the word of peers is on average: a router tells its
	// data centre ten times a second, and that tells the others five times.
	peerLoadAge = 200 * time.Millisecond
	// scatterFactor is how far plain requests are scattered, over the work that
	// arrives unseen within newsAge. Routers that all send to the worker which
	// was least busy a moment ago fill its slots several times over before they
	// hear of it.
	scatterFactor = 6.0
)

// maxScatterPenalty is the greatest handicap of a service's plain workers. It grows
// with how busy the service is: what peers send unseen is that part of the
// slots' time. A router that hears of no peers sees all there is.
func (v *View) maxScatterPenalty(service state.Service) time.Duration {
	if _, engine := v.engines[service]; engine || len(v.lastReceivedAt) == 0 {
		return 0
	}
	return time.Duration(scatterFactor * v.slotUtilisation(service) * float64(peerLoadAge))
}

// scatterPenalty draws a worker's handicap.
func (v *View) scatterPenalty(limit time.Duration) time.Duration {
	v.scatterCounter++
	draw := float64(mix(v.scatterCounter, scatterHashKey)>>11) / (1 << 53)
	return time.Duration(draw * float64(limit))
}

// scatterHashKey sets the draws apart from the hashes of homes.
const scatterHashKey = 1

// slotUtilisation is the part of a service's slots that is taken, at most one.
func (v *View) slotUtilisation(service state.Service) float64 {
	running, slots := 0, 0
	for _, h := range v.services[service] {
		if h.Leaving {
			continue
		}
		total, _ := h.totalLoad()
		running += total
		slots += h.slots(v.engines[service])
	}
	return min(float64(running)/float64(max(slots, 1)), 1)
}

// repeatedPrefillWeight is how much dearer the reading of shared parts counts than its time:
// it delays the requests behind as well, and takes memory from the parts of
// others.
const repeatedPrefillWeight = 8.0

// fullBatchPenalty is the handicap of an upstream with all slots taken: a full batch
// takes some three times as long for a step as an empty one.
const fullBatchPenalty = 60 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (v *View) meanWorkTime(service state.Service) time.Duration {
	if work, ok := v.workTimes[service]; ok {
		return time.Duration(work)
	}
	return initialWorkTime
}

func hashOf(id state.Upstream) uint64 { return xxhash.Sum64String(string(id)) }
