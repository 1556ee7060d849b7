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
	// otherDataCentrePenalty is added to the score of an upstream in another
	// data centre. The network round trip takes 2 ms of it; the rest accounts
	// for traffic that is paid for and for links that can fail. The penalty is
	// higher than the longest wait of short prompts, so that those stay in
	// their data centre. It is well below the weight of a shared part of a long
	// prompt, so that long prompts are still sent where the part is cached.
	otherDataCentrePenalty = 100 * time.Millisecond
	// firstTokenOverhead is the time to a first token in addition to the
	// prefill: a batch step, the overhead of the engine and the network round
	// trip.
	firstTokenOverhead = 45 * time.Millisecond
	// initialWorkTime is the assumed duration of a plain request until the
	// first answers have arrived.
	initialWorkTime = 50 * time.Millisecond
	// failureWeight is the weight of one answer in an upstream's failure rate,
	// which follows a change within about ten answers.
	failureWeight = 0.08
	// failurePenalty is added to the score of an upstream that fails all its
	// requests. The penalty is proportional to the failure rate: an upstream
	// that fails a fifth of its requests gets a fifth of it.
	failurePenalty = 400 * time.Millisecond
)

// Work holds the properties of a request that placement depends on.
type Work struct {
	Service state.Service
	// Prompt holds the parts of the prompt. It is empty for plain requests,
	// which are served by workers instead of engines.
	Prompt []prefix.Part
	// ExpectedOutputTokens is the expected number of generated tokens.
	ExpectedOutputTokens int
	// TargetLatency is the latency within which the answer is on time, counted
	// from the caller's first attempt; zero means none.
	TargetLatency time.Duration
	// MaxEventGap is the longest time between two events of a stream with which
	// the stream is still on time; zero means none.
	MaxEventGap time.Duration
	// Repeatable is set if the request may be given up at one upstream and sent
	// to another, provided that another is available.
	Repeatable bool
	// Resumed is set if the caller has received the beginning of the answer.
	Resumed bool
	// Excluded lists the upstreams that failed or rejected this request.
	Excluded []state.Upstream
	// Regions holds lists of regions. The request may only be sent to upstreams
	// whose region is in every list.
	Regions [][]state.Region
}

// affinityKey returns the ID of the most specific prompt part that requests
// share. This is the last part but one, because the last part is the request's
// own.
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

// ownTokens returns the size of the request's own part, which any engine has to
// prefill.
func (w Work) ownTokens() int {
	if len(w.Prompt) == 0 {
		return 0
	}
	return w.Prompt[len(w.Prompt)-1].Tokens
}

// Estimate is the expected handling of a request by one upstream.
type Estimate struct {
	Upstream state.Upstream
	Address  string
	Born     int64
	// WaitTime is the time until the upstream starts the request,
	// ProcessingTime the time from then to the first token or the answer.
	WaitTime       time.Duration
	ProcessingTime time.Duration
	// StreamTime is the time from the first event of a stream to its last.
	StreamTime time.Duration
	// UncachedTokens is the number of prompt tokens that the upstream would
	// have to prefill.
	UncachedTokens int
	// UnderHalfFull is set if less than half of the upstream's slots are in use
	// and no prefill is pending there.
	UnderHalfFull bool
	// UnderQuarterFull is set if less than a quarter of the upstream's slots
	// are in use and no prefill is pending there.
	UnderQuarterFull bool
	// Interferes is set if the prefill of the prompt makes the event gaps of
	// the engine's running streams too long. DelayedStreams is the number of
	// those streams.
	Interferes     bool
	DelayedStreams int
	// RepeatedPrefill is the time of the prefill of shared parts that another
	// engine has cached, 0 if none has.
	RepeatedPrefill time.Duration
	// prefillWork is the prefill of the prompt, expressed as the number of
	// short-prompt tokens that take the same time.
	prefillWork int
	// score is the time by which candidates are compared; the lowest one is the
	// best.
	score time.Duration
}

// TimeToAnswer returns the expected time to the first token or the answer.
func (e Estimate) TimeToAnswer() time.Duration { return e.WaitTime + e.ProcessingTime }

// Load is the load of one router, or the total load of several routers, at one
// upstream.
type Load struct {
	// Running is the number of requests that were sent and have not ended.
	Running int
	// PendingPrefill is the prefill work of requests whose answers have not
	// begun, expressed as the number of short-prompt tokens that take the same
	// time.
	PendingPrefill int
}

func (l Load) plus(o Load) Load {
	return Load{l.Running + o.Running, l.PendingPrefill + o.PendingPrefill}
}

func (l Load) minus(o Load) Load {
	return Load{l.Running - o.Running, l.PendingPrefill - o.PendingPrefill}
}

// View holds the state of all upstreams as known to this router. It is not safe
// for concurrent use.
type View struct {
	self          state.DataCentre
	engines       map[state.Service]routing.Engine
	services      map[state.Service][]*host
	hosts         map[state.Upstream]*host
	workTimes     map[state.Service]float64
	prefillModels map[state.Service]*prefillModel
	// tokenTimes holds the mean time that streams take for a generated token,
	// in nanoseconds.
	tokenTimes    map[state.Service]float64
	placedPrompts []PlacedPrompt
	// scatterCounter is the number of random draws for scatterPenalty, plus the
	// seed.
	scatterCounter uint64
	// lastReceivedAt is when each peer last sent its loads.
	lastReceivedAt map[state.Router]time.Time
	// loadChanges lists the upstreams whose load changed, and sumsTaken holds
	// the number of changes when the sums for each link were last taken.
	loadChanges changeLog
	sumsTaken   map[state.Router]uint64
	// regions holds the region of each data centre, evacuated the data centres
	// to whose upstreams nothing may be sent, and evacuationEnds when the last
	// evacuation of a data centre ended.
	regions        map[state.DataCentre]state.Region
	evacuated      map[state.DataCentre]bool
	evacuationEnds map[state.DataCentre]time.Time
	coldHosts      coldHosts
}

// New returns an empty view for a router in a data centre.
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
		sumsTaken:      make(map[state.Router]uint64),
		evacuated:      make(map[state.DataCentre]bool),
		evacuationEnds: make(map[state.DataCentre]time.Time),
	}
}

// SetServices applies the services of a configuration.
func (v *View) SetServices(services []routing.Service) {
	for _, service := range services {
		v.coldHosts.setService(service)
		if service.Engine != nil {
			v.engines[service.Name] = *service.Engine
			if v.prefillModels[service.Name] == nil {
				v.prefillModels[service.Name] = newPrefillModel(service.Engine.TokensPerEvent)
			}
		}
	}
}

// SetUpstream adds or updates an upstream. If the id now belongs to another
// run, all state of the earlier run is dropped.
func (v *View) SetUpstream(u directory.Upstream) {
	h := v.hosts[u.ID]
	if h != nil && (h.Born != u.Born || h.Address != u.Address || h.Service != u.Service) {
		v.RemoveUpstream(u.ID)
		h = nil
	}
	if h == nil {
		h = newHost(u, v.engines[u.Service])
		v.loadChanges.add(h)
		v.hosts[u.ID] = h
		v.services[u.Service] = append(v.services[u.Service], h)
	}
	h.Upstream = u
}

// RemoveUpstream removes the state of an upstream that no longer exists.
func (v *View) RemoveUpstream(id state.Upstream) {
	h := v.hosts[id]
	if h == nil {
		return
	}
	delete(v.hosts, id)
	v.services[h.Service] = slices.DeleteFunc(v.services[h.Service], func(o *host) bool { return o == h })
}

// CountUsable returns the number of upstreams of a service that accept new
// work.
func (v *View) CountUsable(service state.Service) int {
	n := 0
	for _, h := range v.services[service] {
		if !h.Leaving && !v.evacuated[h.DataCentre] {
			n++
		}
	}
	return n
}

// Choose returns the upstream that is best for all callers together, or false
// if the service has none.
func (v *View) Choose(now time.Time, w Work) (Estimate, bool) {
	best, _, found := v.Candidates(now, w)
	return best, found
}

// Candidates returns the upstream that is best for all callers together and the
// upstream that answers this request first, or false if the service has none.
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
	if home != nil {
		best.RepeatedPrefill, soonest.RepeatedPrefill = 0, 0
	}
	return best, soonest, true
}

// homeEngine returns the engine that a shared part is sent to while this router
// knows of no engine that has cached it: the first in a rendezvous hash. It
// returns nil if an engine has cached the part. A router that restarts has no
// record of cached parts, but the parts that it and its peers sent before are at
// that engine. Without the hash it would spread parts over all engines, which
// would all prefill them again.
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

// eligible returns the upstreams that may receive a request. Upstreams that are
// unreachable or have just rejected a request are included only if there are no
// others.
func (v *View) eligible(now time.Time, w Work) []*host {
	var preferred, fallback []*host
	for _, h := range v.services[w.Service] {
		switch {
		case !v.mayReceive(now, h, w.Regions, w.Excluded):
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

// mix combines an upstream's hash with a key, using the finalizer of
// splitmix64.
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
	// Among upstreams that would answer equally soon, the one with fewer
	// running requests generates tokens faster.
	if slots > 0 {
		e.score += time.Duration(float64(fullBatchPenalty) * float64(running) / float64(slots))
	}
	return e
}

// estimateEngine estimates when an engine would answer, and the cost for the
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
		e.RepeatedPrefill = seconds(float64(repeated) / rate)
		e.score = repeatedPrefillWeight * e.RepeatedPrefill
	}
	v.estimateInterference(now, e, h, w, promptTokens)
}

// SeedScatter sets the seed of the random draws, so that routers draw different
// penalties.
func (v *View) SeedScatter(seed uint64) { v.scatterCounter = seed }

const (
	// peerLoadAge is the average age of peers' loads: a router sends its loads
	// to its data centre ten times a second, and data centres exchange theirs
	// five times a second.
	peerLoadAge = 200 * time.Millisecond
	// scatterFactor is the maximum scatter penalty of plain requests, as a
	// multiple of the work that arrives at the workers within peerLoadAge and
	// is not yet visible. Routers that all send to the worker with the lowest
	// load a moment ago fill its slots several times over before they receive
	// each other's loads.
	scatterFactor = 6.0
)

// maxScatterPenalty returns the maximum random penalty of a service's plain
// workers. It grows with the utilisation of their slots, because the unseen
// requests of peers take up that fraction of the slots' time. A router without
// peers sees all requests, so it needs no penalty.
func (v *View) maxScatterPenalty(service state.Service) time.Duration {
	if _, engine := v.engines[service]; engine || len(v.lastReceivedAt) == 0 {
		return 0
	}
	return time.Duration(scatterFactor * v.slotUtilisation(service) * float64(peerLoadAge))
}

// scatterPenalty draws the random penalty of a worker.
func (v *View) scatterPenalty(limit time.Duration) time.Duration {
	v.scatterCounter++
	draw := float64(mix(v.scatterCounter, scatterHashKey)>>11) / (1 << 53)
	return time.Duration(draw * float64(limit))
}

// scatterHashKey separates the random draws from the hashes used by homeEngine.
const scatterHashKey = 1

// slotUtilisation returns the fraction of a service's slots that is in use, at
// most one.
func (v *View) slotUtilisation(service state.Service) float64 {
	running, slots := 0, 0
	for _, h := range v.services[service] {
		if h.Leaving || v.evacuated[h.DataCentre] {
			continue
		}
		total, _ := h.totalLoad()
		running += total
		slots += h.slots(v.engines[service])
	}
	return min(float64(running)/float64(max(slots, 1)), 1)
}

// repeatedPrefillWeight is the weight of repeated prefill of shared parts, as a
// multiple of its duration. Repeated prefill also delays the requests behind it
// and evicts the cached parts of others.
const repeatedPrefillWeight = 8

// fullBatchPenalty is added to the score of an upstream with all slots in use.
// A step of a full batch takes about three times as long as a step of an empty
// one.
const fullBatchPenalty = 60 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (v *View) meanWorkTime(service state.Service) time.Duration {
	if work, ok := v.workTimes[service]; ok {
		return time.Duration(work)
	}
	return initialWorkTime
}

func hashOf(id state.Upstream) uint64 { return xxhash.Sum64String(string(id)) }
