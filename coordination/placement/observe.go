package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

// Ticket follows one request at one upstream.
type Ticket struct {
	upstream state.Upstream
	born     int64
	service  state.Service
	placed   time.Time
	// unread is the number of prompt tokens that the upstream lacks, total
	// that of all.
	unread int
	total  int
	// work is the reading of the former, in tokens at the rate of short
	// prompts.
	work int
	// output is the expected number of generated tokens.
	output int
	// alone says that the upstream had nothing to read at placing.
	alone   bool
	pending bool
	ended   bool
	// began is when the answer's first event came.
	began  time.Time
	host   *host
	engine bool
	// sequence numbers the requests of this router at one upstream.
	sequence uint64
	// heard is when the upstream last sent something of the answer, parts how
	// often it did.
	heard time.Time
	parts int
	// repeatable requests can be given up here and sent elsewhere.
	repeatable bool
	givenUp    bool
	// resumed is set if the caller has the beginning of the answer from an
	// earlier upstream, excluded are the upstreams that this request may not
	// go to.
	resumed  bool
	excluded []state.Upstream
}

// Upstream returns where the request runs.
func (t *Ticket) Upstream() state.Upstream { return t.upstream }

// Parts returns in how many parts the answer came so far.
func (t *Ticket) Parts() int { return t.parts }

// Engine says whether it runs at an engine.
func (t *Ticket) Engine() bool { return t.engine }

// Answering says whether an engine's answer has begun.
func (t *Ticket) Answering() bool { return t.engine && !t.pending }

// Place notes that a request is sent to an estimate's upstream.
func (p *Picture) Place(now time.Time, w Work, e Estimate) *Ticket {
	t := &Ticket{
		upstream: e.Upstream, born: e.Born, service: w.Service, placed: now, heard: now,
		unread: e.Unread, total: tokens(w.Prompt), work: e.work, output: w.Output,
		pending: true, repeatable: w.Repeatable, resumed: w.Resumed, excluded: w.Excluded,
	}
	h := p.hosts[e.Upstream]
	if h == nil {
		t.pending = false
		return t
	}
	_, t.engine = p.engines[w.Service]
	t.host = h
	_, unread := h.load()
	t.alone = unread == 0
	h.begin(t)
	if e.Interferes {
		h.interfere(now)
	}
	h.cache.Touch(w.Prompt)
	if len(w.Prompt) > 0 {
		p.placed = append(p.placed, Placed{Upstream: e.Upstream, Prompt: w.Prompt, Interferes: e.Interferes})
	}
	return t
}

// FirstOutput notes the first event of an engine's answer, which ends the
// reading of its prompt and teaches the engine's rate.
func (p *Picture) FirstOutput(now time.Time, t *Ticket) {
	p.Output(now, t)
	if !t.pending {
		return
	}
	t.pending = false
	t.host.unread -= t.work
	t.began = now
	if t.sequence > t.host.latest {
		t.host.latest, t.host.latestAt = t.sequence, now
	}
	p.learnReading(now, t)
}

// Output notes that an upstream sent a part of an answer.
func (p *Picture) Output(now time.Time, t *Ticket) {
	if t.Answering() && !t.ended {
		p.learnPause(now, t)
	}
	t.heard = now
	t.parts++
	if t.host == nil {
		return
	}
	t.host.heard = now
	t.host.unreachable = false
}

// learnReading learns how fast an engine reads from a prompt that found it idle.
// With others ahead of it, how much of those was read already is not known:
// learned from all, the rate came out a fifth above what engines do.
func (p *Picture) learnReading(now time.Time, t *Ticket) {
	took := now.Sub(t.placed) - startup
	if !t.alone || t.unread < minLesson || took <= 0 {
		return
	}
	r, h := p.readings[t.service], t.host
	if t.unread >= straightLesson {
		r.learnCurvature(t.unread, t.total, h.speed, took)
		return
	}
	ratio := r.learnRate(r.work(t.unread, t.total), took)
	h.speed = min(max(towards(h.speed, ratio), minSpeed), maxSpeed)
}

// learnPause learns from the time between two events of a stream.
func (p *Picture) learnPause(now time.Time, t *Ticket) {
	r, h := p.readings[t.service], t.host
	if _, unread := h.load(); unread == 0 {
		r.learnPause(now.Sub(t.heard), 0, h.speed)
		return
	}
	for _, o := range h.active {
		if o.pending && !o.placed.After(t.heard) && now.Sub(o.placed) < maxCover && o.total < straightLesson {
			r.learnPause(now.Sub(t.heard), o.total, h.speed)
			return
		}
	}
}

// minSpeed bounds how slow an engine may look next to the others, so that it
// is still tried and can show that it has recovered, maxSpeed how fast.
const (
	minSpeed = 0.1
	maxSpeed = 4
)

// Outcome says how a request ended at an upstream.
type Outcome uint8

// Outcomes.
const (
	// Answered: a whole answer of the upstream's own.
	Answered Outcome = iota
	// Rejected: the upstream did not run the request.
	Rejected
	// Failed: an error of the upstream's, or a broken answer.
	Failed
	// Broken: the connection ended before the answer did.
	Broken
	// Unconnected: no connection could be made.
	Unconnected
	// Withdrawn: the caller left or its time was up.
	Withdrawn
)

// String returns the outcome's name in figures.
func (o Outcome) String() string {
	names := [...]string{"answered", "rejected", "failed", "broken", "unconnected", "withdrawn"}
	if int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// End notes the end of a request at its upstream. It may be called once more
// without effect.
func (p *Picture) End(now time.Time, t *Ticket, outcome Outcome) {
	if t.ended || t.host == nil {
		return
	}
	t.ended = true
	h := t.host
	h.end(t)
	switch outcome {
	case Answered:
		p.Output(now, t)
		h.succeed()
		p.learnWork(now.Sub(t.placed), t)
		p.learnStream(now, t)
	case Failed:
		p.Output(now, t)
		h.failures += failureWeight * (1 - h.failures)
	case Broken:
		h.failures += failureWeight * (1 - h.failures)
	case Unconnected:
		h.unreachable = true
	case Rejected:
		p.Output(now, t)
		h.rejectsUntil = now.Add(rejection)
	case Withdrawn:
	}
}

// rejection is how long an upstream that rejected a request is passed over
// while others are free: some requests' time at a plain worker.
const rejection = 100 * time.Millisecond

func (h *host) succeed() { h.failures -= failureWeight * h.failures }

func (h *host) begin(t *Ticket) {
	h.running++
	h.unread += t.work
	h.sequence++
	t.sequence = h.sequence
	h.active = append(h.active, t)
}

func (h *host) end(t *Ticket) {
	h.running--
	if t.pending {
		t.pending = false
		h.unread -= t.work
	}
	h.active = slices.DeleteFunc(h.active, func(o *Ticket) bool { return o == t })
}

// holdLearning averages some fifty requests' times.
const holdLearning = 0.02

func (p *Picture) learnWork(took time.Duration, t *Ticket) {
	usual := float64(p.workTime(t.service))
	p.work[t.service] = usual + holdLearning*(float64(took)-usual)
	if t.host.hold == 0 {
		t.host.hold = float64(took)
	}
	t.host.hold += holdLearning * (float64(took) - t.host.hold)
}

// initialTokenTime is how long a stream takes for a token until some have ended.
const initialTokenTime = 8 * time.Millisecond

// learnStream learns how long streams take for a token.
func (p *Picture) learnStream(now time.Time, t *Ticket) {
	if t.began.IsZero() || t.output <= 0 {
		return
	}
	usual := p.tokenTime(t.service)
	seen := float64(now.Sub(t.began)) / float64(t.output)
	p.tokenTimes[t.service] = usual + holdLearning*(seen-usual)
}

func (p *Picture) tokenTime(service state.Service) float64 {
	if usual, ok := p.tokenTimes[service]; ok {
		return usual
	}
	return float64(initialTokenTime)
}

// streamTime is the expected time from a request's first event to its last.
func (p *Picture) streamTime(w Work) time.Duration {
	return time.Duration(p.tokenTime(w.Service) * float64(w.Output))
}

// Run names the run of the upstream that the request was sent to.
func (t *Ticket) Run() quarantine.Run {
	return RunOf(directory.Upstream{ID: t.upstream, Born: t.born})
}

// RunOf names an upstream's run.
func RunOf(u directory.Upstream) quarantine.Run {
	return quarantine.Run{Upstream: u.ID, Boot: strconv.FormatInt(u.Born, 10)}
}
