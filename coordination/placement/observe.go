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
	placedAt time.Time
	// uncachedTokens is the number of prompt tokens that the upstream lacks, total
	// that of all.
	uncachedTokens int
	promptTokens   int
	// prefillWork is the reading of the former, in tokens at the rate of short
	// prompts.
	prefillWork int
	// expectedOutputTokens is the expected number of generated tokens.
	expectedOutputTokens int
	// foundIdle says that the upstream had nothing to read at placing.
	foundIdle           bool
	awaitingFirstOutput bool
	ended               bool
	// firstOutputAt is when the answer's first event came.
	firstOutputAt time.Time
	host          *host
	onEngine      bool
	// sequence numbers the requests of this router at one upstream.
	sequence uint64
	// lastOutputAt is when the upstream last sent something of the answer, parts how
	// often it did.
	lastOutputAt time.Time
	outputs      int
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

// Outputs returns in how many parts the answer came so far.
func (t *Ticket) Outputs() int { return t.outputs }

// OnEngine says whether it runs at an engine.
func (t *Ticket) OnEngine() bool { return t.onEngine }

// Answering says whether an engine's answer has begun.
func (t *Ticket) Answering() bool { return t.onEngine && !t.awaitingFirstOutput }

// Place notes that a request is sent to an estimate's upstream.
func (v *View) Place(now time.Time, w Work, e Estimate) *Ticket {
	t := &Ticket{
		upstream: e.Upstream, born: e.Born, service: w.Service, placedAt: now, lastOutputAt: now,
		uncachedTokens: e.UncachedTokens, promptTokens: countTokens(w.Prompt), prefillWork: e.prefillWork, expectedOutputTokens: w.ExpectedOutputTokens,
		awaitingFirstOutput: true, repeatable: w.Repeatable, resumed: w.Resumed, excluded: w.Excluded,
	}
	h := v.hosts[e.Upstream]
	if h == nil {
		t.awaitingFirstOutput = false
		return t
	}
	_, t.onEngine = v.engines[w.Service]
	t.host = h
	_, pendingPrefill := h.totalLoad()
	t.foundIdle = pendingPrefill == 0
	h.addTicket(t)
	if e.Interferes {
		h.recordInterference(now)
	}
	h.cache.Touch(w.Prompt)
	if len(w.Prompt) > 0 {
		v.placedPrompts = append(v.placedPrompts, PlacedPrompt{Upstream: e.Upstream, Prompt: w.Prompt, Interferes: e.Interferes})
	}
	return t
}

// RecordFirstOutput notes the first event of an engine's answer, which ends the
// reading of its prompt and teaches the engine's rate.
func (v *View) RecordFirstOutput(now time.Time, t *Ticket) {
	v.RecordOutput(now, t)
	if !t.awaitingFirstOutput {
		return
	}
	t.awaitingFirstOutput = false
	t.host.pendingPrefill -= t.prefillWork
	t.firstOutputAt = now
	if t.sequence > t.host.newestStarted {
		t.host.newestStarted, t.host.newestStartedAt = t.sequence, now
	}
	v.learnPrefillRate(now, t)
}

// RecordOutput notes that an upstream sent a part of an answer.
func (v *View) RecordOutput(now time.Time, t *Ticket) {
	if t.Answering() && !t.ended {
		v.learnEventGap(now, t)
	}
	t.lastOutputAt = now
	t.outputs++
	if t.host == nil {
		return
	}
	t.host.lastReceivedAt = now
	t.host.unreachable = false
}

// learnPrefillRate learns how fast an engine reads from a prompt that found it idle.
// With others ahead of it, how much of those was read already is not known:
// learned from all, the rate came out a fifth above what engines do.
func (v *View) learnPrefillRate(now time.Time, t *Ticket) {
	took := now.Sub(t.placedAt) - firstTokenOverhead
	if !t.foundIdle || t.uncachedTokens < minLearningTokens || took <= 0 {
		return
	}
	m, h := v.prefillModels[t.service], t.host
	if t.uncachedTokens >= longPromptTokens {
		m.learnCurvature(t.uncachedTokens, t.promptTokens, h.relativeSpeed, took)
		return
	}
	ratio := m.learnRate(m.prefillWork(t.uncachedTokens, t.promptTokens), took)
	h.relativeSpeed = min(max(adjustEstimate(h.relativeSpeed, ratio), minSpeed), maxSpeed)
}

// learnEventGap learns from the time between two events of a stream.
func (v *View) learnEventGap(now time.Time, t *Ticket) {
	m, h := v.prefillModels[t.service], t.host
	if _, pendingPrefill := h.totalLoad(); pendingPrefill == 0 {
		m.learnEventGap(now.Sub(t.lastOutputAt), 0, h.relativeSpeed)
		return
	}
	for _, other := range h.active {
		if other.awaitingFirstOutput && !other.placedAt.After(t.lastOutputAt) && now.Sub(other.placedAt) < maxPrefillAge && other.promptTokens < longPromptTokens {
			m.learnEventGap(now.Sub(t.lastOutputAt), other.promptTokens, h.relativeSpeed)
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

// RecordEnd notes the end of a request at its upstream. It may be called once more
// without effect.
func (v *View) RecordEnd(now time.Time, t *Ticket, outcome Outcome) {
	if t.ended || t.host == nil {
		return
	}
	t.ended = true
	h := t.host
	h.removeTicket(t)
	switch outcome {
	case Answered:
		v.RecordOutput(now, t)
		h.recordSuccess()
		v.learnWorkTime(now.Sub(t.placedAt), t)
		v.learnTokenTime(now, t)
	case Failed:
		v.RecordOutput(now, t)
		h.failureRate += failureWeight * (1 - h.failureRate)
	case Broken:
		h.failureRate += failureWeight * (1 - h.failureRate)
	case Unconnected:
		h.unreachable = true
	case Rejected:
		v.RecordOutput(now, t)
		h.avoidUntil = now.Add(rejectionAvoidTime)
	case Withdrawn:
	}
}

// rejectionAvoidTime is how long an upstream that rejected a request is passed over
// while others are free: some requests' time at a plain worker.
const rejectionAvoidTime = 100 * time.Millisecond

func (h *host) recordSuccess() { h.failureRate -= failureWeight * h.failureRate }

func (h *host) addTicket(t *Ticket) {
	h.running++
	h.pendingPrefill += t.prefillWork
	h.sequence++
	t.sequence = h.sequence
	h.active = append(h.active, t)
}

func (h *host) removeTicket(t *Ticket) {
	h.running--
	if t.awaitingFirstOutput {
		t.awaitingFirstOutput = false
		h.pendingPrefill -= t.prefillWork
	}
	h.active = slices.DeleteFunc(h.active, func(o *Ticket) bool { return o == t })
}

// meanWeight averages some fifty requests' times.
const meanWeight = 0.02

func (v *View) learnWorkTime(took time.Duration, t *Ticket) {
	mean := float64(v.meanWorkTime(t.service))
	v.workTimes[t.service] = mean + meanWeight*(float64(took)-mean)
	if t.host.slotTime == 0 {
		t.host.slotTime = float64(took)
	}
	t.host.slotTime += meanWeight * (float64(took) - t.host.slotTime)
}

// initialTokenTime is how long a stream takes for a token until some have ended.
const initialTokenTime = 8 * time.Millisecond

// learnTokenTime learns how long streams take for a token.
func (v *View) learnTokenTime(now time.Time, t *Ticket) {
	if t.firstOutputAt.IsZero() || t.expectedOutputTokens <= 0 {
		return
	}
	mean := v.tokenTime(t.service)
	observed := float64(now.Sub(t.firstOutputAt)) / float64(t.expectedOutputTokens)
	v.tokenTimes[t.service] = mean + meanWeight*(observed-mean)
}

func (v *View) tokenTime(service state.Service) float64 {
	if mean, ok := v.tokenTimes[service]; ok {
		return mean
	}
	return float64(initialTokenTime)
}

// streamTime is the expected time from a request's first event to its last.
func (v *View) streamTime(w Work) time.Duration {
	return time.Duration(v.tokenTime(w.Service) * float64(w.ExpectedOutputTokens))
}

// Run names the run of the upstream that the request was sent to.
func (t *Ticket) Run() quarantine.Run {
	return RunOf(directory.Upstream{ID: t.upstream, Born: t.born})
}

// RunOf names an upstream's run.
func RunOf(u directory.Upstream) quarantine.Run {
	return quarantine.Run{Upstream: u.ID, Boot: strconv.FormatInt(u.Born, 10)}
}
