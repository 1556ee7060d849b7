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
	unread   int
	// ahead is what the upstream had to read at placing, this request's own
	// part included.
	ahead   int
	pending bool
	ended   bool
	host    *host
	engine  bool
	// sequence numbers the requests of this router at one upstream.
	sequence uint64
	// heard is when the upstream last sent something of the answer.
	heard time.Time
	// repeatable requests can be given up here and sent elsewhere.
	repeatable bool
	givenUp    bool
}

// Upstream returns where the request runs.
func (t *Ticket) Upstream() state.Upstream { return t.upstream }

// Engine says whether it runs at an engine.
func (t *Ticket) Engine() bool { return t.engine }

// Answering says whether an engine's answer has begun.
func (t *Ticket) Answering() bool { return t.engine && !t.pending }

// Place notes that a request is sent to an estimate's upstream.
func (p *Picture) Place(now time.Time, w Work, e Estimate) *Ticket {
	t := &Ticket{
		upstream: e.Upstream, born: e.Born, service: w.Service, placed: now, heard: now,
		unread: e.Unread, pending: true, repeatable: w.Repeatable,
	}
	h := p.hosts[e.Upstream]
	if h == nil {
		t.pending = false
		return t
	}
	_, t.engine = p.engines[w.Service]
	t.host = h
	_, unread := h.load()
	t.ahead = unread + e.Unread
	h.begin(t)
	h.cache.Touch(w.Prompt)
	if len(w.Prompt) > 0 {
		p.placed = append(p.placed, Placed{Upstream: e.Upstream, Prompt: w.Prompt})
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
	t.host.unread -= t.unread
	if t.sequence > t.host.latest {
		t.host.latest, t.host.latestAt = t.sequence, now
	}
	p.learnRate(now, t)
}

// Output notes that an upstream sent a part of an answer.
func (p *Picture) Output(now time.Time, t *Ticket) {
	t.heard = now
	if t.host == nil {
		return
	}
	t.host.heard = now
	t.host.unreachable = false
}

func (p *Picture) learnRate(now time.Time, t *Ticket) {
	took := now.Sub(t.placed) - startup
	if t.ahead < minLesson || took <= 0 {
		return
	}
	seen := min(max(float64(t.ahead)/took.Seconds(), minRate), maxRate)
	usual := p.rate(t.service)
	p.rates[t.service] = usual + learning*(seen-usual)
	ratio := seen / usual
	t.host.speed = min(max(t.host.speed+learning*(ratio-t.host.speed), minSpeed), 1)
}

// minSpeed bounds how slow an engine may look next to the others, so that it
// is still tried and can show that it has recovered.
const minSpeed = 0.1

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
	h.unread += t.unread
	h.sequence++
	t.sequence = h.sequence
	h.active = append(h.active, t)
}

func (h *host) end(t *Ticket) {
	h.running--
	if t.pending {
		t.pending = false
		h.unread -= t.unread
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

// Run names the run of the upstream that the request was sent to.
func (t *Ticket) Run() quarantine.Run {
	return RunOf(directory.Upstream{ID: t.upstream, Born: t.born})
}

// RunOf names an upstream's run.
func RunOf(u directory.Upstream) quarantine.Run {
	return quarantine.Run{Upstream: u.ID, Boot: strconv.FormatInt(u.Born, 10)}
}
