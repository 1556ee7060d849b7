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
	// distance is the handicap of another data centre. The way there and back
	// takes 2 ms; the rest stands for the bytes, which are paid for, and for
	// links that can be cut. It is above what short prompts wait for at most,
	// so that those stay in their data centre, and well below what a shared
	// part of a long prompt weighs, so that those still go where it is held.
	distance = 100 * time.Millisecond
	// startup is the time to a first token beyond reading: a step of the
	// batch, the engine's own overhead and the way there and back.
	startup = 45 * time.Millisecond
	// initialWork is assumed for a plain request until answers have taught
	// better.
	initialWork = 50 * time.Millisecond
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
	// Output is the expected number of generated tokens.
	Output int
	// Target is the latency within which the answer is on time, counted from
	// the caller's first attempt; zero means none.
	Target time.Duration
	// Pause is the longest time between two events of a stream with which it
	// is still on time; zero means none.
	Pause time.Duration
	// Repeatable requests may be given up at one upstream and sent to
	// another, if one is left.
	Repeatable bool
	// Resumed is set if the caller has the beginning of the answer.
	Resumed bool
	// Excluded are upstreams that failed or rejected this request.
	Excluded []state.Upstream
}

// affinity is the part that requests share most specifically: the one before
// the last, which is the request's own.
func (w Work) affinity() (uint64, bool) {
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
	// Wait is the time until the upstream turns to the request, Own the time
	// it then takes to the first token or the answer.
	Wait time.Duration
	Own  time.Duration
	// Stream is the time from the first event of a stream to its last.
	Stream time.Duration
	// Unread is the number of prompt tokens the upstream would read.
	Unread int
	// Free is set while less than half of the upstream's slots are taken and
	// nothing waits there.
	Free bool
	// Idle is set while less than a quarter of them are taken and nothing
	// waits there.
	Idle bool
	// Interferes says that reading the prompt makes the pauses of the streams that
	// the engine runs too long, Disturbed is how many those are.
	Interferes bool
	Disturbed  int
	// work is the reading of the prompt, in tokens at the rate of short ones.
	work int
	// score is the time that candidates are compared by.
	score time.Duration
}

// Total is the expected time to the first token or the answer.
func (e Estimate) Total() time.Duration { return e.Wait + e.Own }

// Load is what one router, or all of a data centre, have at one upstream.
type Load struct {
	// Running counts the requests sent and not ended.
	Running int
	// Unread is the work of reading prompts that have not begun to be
	// answered, in tokens at the rate of short ones.
	Unread int
}

func (l Load) plus(o Load) Load  { return Load{l.Running + o.Running, l.Unread + o.Unread} }
func (l Load) minus(o Load) Load { return Load{l.Running - o.Running, l.Unread - o.Unread} }

// Picture is what is known of all upstreams. It is not safe for concurrent
// use.
type Picture struct {
	self     state.DataCentre
	engines  map[state.Service]routing.Engine
	services map[state.Service][]*host
	hosts    map[state.Upstream]*host
	work     map[state.Service]float64
	readings map[state.Service]*reading
	// tokenTimes is how long streams take for a token, in nanoseconds.
	tokenTimes map[state.Service]float64
	placed     []Placed
	// drawn counts the draws of scatter, which begin at a seed.
	drawn uint64
	// heard is when each source last told its loads.
	heard map[state.Router]time.Time
}

// New returns an empty picture of a router in a data centre.
func New(self state.DataCentre) *Picture {
	return &Picture{
		self:       self,
		engines:    make(map[state.Service]routing.Engine),
		services:   make(map[state.Service][]*host),
		hosts:      make(map[state.Upstream]*host),
		work:       make(map[state.Service]float64),
		readings:   make(map[state.Service]*reading),
		tokenTimes: make(map[state.Service]float64),
		heard:      make(map[state.Router]time.Time),
	}
}

// SetServices takes the services of a configuration.
func (p *Picture) SetServices(services []routing.Service) {
	for _, service := range services {
		if service.Engine != nil {
			p.engines[service.Name] = *service.Engine
			if p.readings[service.Name] == nil {
				p.readings[service.Name] = newReading(service.Engine.TokensPerEvent)
			}
		}
	}
}

// SetUpstream adds or changes an upstream. All that was known of an earlier
// run under the same id is void.
func (p *Picture) SetUpstream(u directory.Upstream) {
	h := p.hosts[u.ID]
	if h != nil && (h.Born != u.Born || h.Address != u.Address || h.Service != u.Service) {
		p.RemoveUpstream(u.ID)
		h = nil
	}
	if h == nil {
		h = newHost(u, p.engines[u.Service])
		p.hosts[u.ID] = h
		p.services[u.Service] = append(p.services[u.Service], h)
	}
	h.Upstream = u
}

// RemoveUpstream forgets an upstream that is gone.
func (p *Picture) RemoveUpstream(id state.Upstream) {
	h := p.hosts[id]
	if h == nil {
		return
	}
	delete(p.hosts, id)
	p.services[h.Service] = slices.DeleteFunc(p.services[h.Service], func(o *host) bool { return o == h })
}

// Usable counts the upstreams of a service that take new work.
func (p *Picture) Usable(service state.Service) int {
	n := 0
	for _, h := range p.services[service] {
		if !h.Leaving {
			n++
		}
	}
	return n
}

// Choose returns the upstream that serves a request best, all callers
// considered, or false if the service has none.
func (p *Picture) Choose(now time.Time, w Work) (Estimate, bool) {
	best, _, found := p.Candidates(now, w)
	return best, found
}

// Candidates returns the upstream that serves a request best, all callers
// considered, and the one that answers it first, or false if the service has
// none.
func (p *Picture) Candidates(now time.Time, w Work) (best, soonest Estimate, found bool) {
	pool := p.pool(now, w)
	if len(pool) == 0 {
		return Estimate{}, Estimate{}, false
	}
	home, reach := homeOf(pool, w), p.scatterReach(w.Service)
	for i, h := range pool {
		e := p.estimate(now, h, w, h == home, reach)
		if i == 0 || e.score < best.score {
			best = e
		}
		if i == 0 || e.Total() < soonest.Total() {
			soonest = e
		}
	}
	return best, soonest, true
}

// homeOf returns the engine that a shared part goes to while nobody is known to
// hold it: the first in a rendezvous hash. A router that starts again knows
// nothing, but what it and its peers sent before went there; without this it
// spreads parts over all engines, and they are read again everywhere.
func homeOf(pool []*host, w Work) *host {
	key, shared := w.affinity()
	if !shared {
		return nil
	}
	var home *host
	var highest uint64
	for _, h := range pool {
		if h.cache.Holds(key) {
			return nil
		}
		if weight := mix(h.hash, key); home == nil || weight > highest {
			home, highest = h, weight
		}
	}
	return home
}

// pool returns the upstreams that may take a request: all that do not leave,
// without those that cannot be reached or just rejected one if any others are
// left.
func (p *Picture) pool(now time.Time, w Work) []*host {
	var sound, doubtful []*host
	for _, h := range p.services[w.Service] {
		switch {
		case h.Leaving || slices.Contains(w.Excluded, h.ID):
		case h.unreachable || now.Before(h.rejectsUntil):
			doubtful = append(doubtful, h)
		default:
			sound = append(sound, h)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return doubtful
}

// mix combines an upstream's hash with a key by the finalizer of splitmix64.
func mix(upstream, key uint64) uint64 {
	z := upstream ^ key*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (p *Picture) estimate(now time.Time, h *host, w Work, home bool, reach time.Duration) Estimate {
	e := Estimate{Upstream: h.ID, Address: h.Address, Born: h.Born}
	engine, isEngine := p.engines[w.Service]
	slots := h.slots(engine)
	if isEngine {
		p.estimateEngine(now, &e, h, w, home)
	} else {
		e.Own = p.workTime(w.Service)
		e.score = p.scatter(reach)
	}
	running, unread := h.load()
	if slots > 0 && running >= slots {
		e.Wait += seconds(float64(running-slots+1) / float64(slots) * h.holdTime(p.workTime(w.Service)).Seconds())
	}
	e.Free = running*2 < slots && unread == 0
	e.Idle = running*4 < slots && unread == 0
	e.score += e.Total() + time.Duration(h.failures*float64(failurePenalty))
	if h.DataCentre != p.self {
		e.score += distance
	}
	// Among upstreams that would answer equally soon the less busy one
	// generates faster.
	if slots > 0 {
		e.score += time.Duration(float64(crowding) * float64(running) / float64(slots))
	}
	return e
}

// estimateEngine estimates when an engine would answer, and what that costs the
// callers of the streams that it runs.
func (p *Picture) estimateEngine(now time.Time, e *Estimate, h *host, w Work, home bool) {
	r := p.readings[w.Service]
	rate := r.at(h.speed)
	_, unread := h.load()
	total := tokens(w.Prompt)
	e.Unread = h.cache.Unread(w.Prompt)
	e.work = r.work(e.Unread, total)
	e.Wait = seconds(float64(unread) / rate)
	e.Own = seconds(float64(e.work)/rate) + startup
	e.Stream = p.streamTime(w)
	if !home {
		again := max(e.Unread-w.ownTokens(), 0)
		e.score = seconds(reread * float64(again) / rate)
	}
	p.estimateInterference(now, e, h, w, total)
}

// Seed makes this router's draws differ from those of others.
func (p *Picture) Seed(seed uint64) { p.drawn = seed }

const (
	// newsAge is how old the word of peers is on average: a router tells its
	// data centre ten times a second, and that tells the others five times.
	newsAge = 200 * time.Millisecond
	// scatterBy is how far plain requests are scattered, over the work that
	// arrives unseen within newsAge. Routers that all send to the worker which
	// was least busy a moment ago fill its slots several times over before they
	// hear of it.
	scatterBy = 6.0
)

// scatterReach is the greatest handicap of a service's plain workers. It grows
// with how busy the service is: what peers send unseen is that part of the
// slots' time. A router that hears of no peers sees all there is.
func (p *Picture) scatterReach(service state.Service) time.Duration {
	if _, engine := p.engines[service]; engine || len(p.heard) == 0 {
		return 0
	}
	return time.Duration(scatterBy * p.busy(service) * float64(newsAge))
}

// scatter draws a worker's handicap.
func (p *Picture) scatter(reach time.Duration) time.Duration {
	p.drawn++
	draw := float64(mix(p.drawn, scatterKey)>>11) / (1 << 53)
	return time.Duration(draw * float64(reach))
}

// scatterKey sets the draws apart from the hashes of homes.
const scatterKey = 1

// busy is the part of a service's slots that is taken, at most one.
func (p *Picture) busy(service state.Service) float64 {
	running, slots := 0, 0
	for _, h := range p.services[service] {
		if h.Leaving {
			continue
		}
		all, _ := h.load()
		running += all
		slots += h.slots(p.engines[service])
	}
	return min(float64(running)/float64(max(slots, 1)), 1)
}

// reread is how much dearer the reading of shared parts counts than its time:
// it delays the requests behind as well, and takes memory from the parts of
// others.
const reread = 8.0

// crowding is the handicap of an upstream with all slots taken: a full batch
// takes some three times as long for a step as an empty one.
const crowding = 60 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (p *Picture) workTime(service state.Service) time.Duration {
	if work, ok := p.work[service]; ok {
		return time.Duration(work)
	}
	return initialWork
}

func hashOf(id state.Upstream) uint64 { return xxhash.Sum64String(string(id)) }
