package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
)

// Ticket tracks one request at one upstream.
type Ticket struct {
	upstream state.Upstream
	born     int64
	service  state.Service
	placedAt time.Time
	// uncachedTokens is the number of prompt tokens that the upstream had not
	// cached at placement, promptTokens the number of all prompt tokens.
	uncachedTokens int
	promptTokens   int
	// prefillWork is the prefill of the uncached tokens, expressed as the
	// number of short-prompt tokens that take the same time.
	prefillWork int
	// expectedOutputTokens is the expected number of generated tokens.
	expectedOutputTokens int
	// foundIdle is set if the upstream had no pending prefill when the request
	// was placed.
	foundIdle           bool
	awaitingFirstOutput bool
	ended               bool
	// firstOutputAt is when the first event of the answer arrived.
	firstOutputAt time.Time
	host          *host
	onEngine      bool
	// sequence numbers the requests of this router at one upstream, in the
	// order in which they were sent.
	sequence uint64
	// lastOutputAt is when the upstream last sent a part of the answer, outputs
	// the number of parts it has sent.
	lastOutputAt time.Time
	outputs      int
	// repeatable is set if the request can be given up here and sent to another
	// upstream.
	repeatable bool
	givenUp    bool
	// resumed is set if the caller has received the beginning of the answer
	// from an earlier upstream. excluded lists the upstreams that this request
	// must not be sent to.
	resumed  bool
	excluded []state.Upstream
	// regions are the lists of regions that the request is restricted to.
	regions [][]state.Region
}

// Upstream returns the upstream that the request was sent to.
func (t *Ticket) Upstream() state.Upstream { return t.upstream }

// Outputs returns the number of parts of the answer that have arrived.
func (t *Ticket) Outputs() int { return t.outputs }

// OnEngine reports whether the request runs at an engine.
func (t *Ticket) OnEngine() bool { return t.onEngine }

// Answering reports whether an engine's answer has begun.
func (t *Ticket) Answering() bool { return t.onEngine && !t.awaitingFirstOutput }

// Place records that a request is sent to the upstream of an estimate.
func (v *View) Place(now time.Time, w Work, e Estimate) *Ticket {
	t := &Ticket{
		upstream: e.Upstream, born: e.Born, service: w.Service, placedAt: now, lastOutputAt: now,
		uncachedTokens: e.UncachedTokens, promptTokens: countTokens(w.Prompt), prefillWork: e.prefillWork, expectedOutputTokens: w.ExpectedOutputTokens,
		awaitingFirstOutput: true, repeatable: w.Repeatable, resumed: w.Resumed, excluded: w.Excluded, regions: w.Regions,
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
	v.loadChanges.add(h)
	v.coldHosts.recordSent(now, h)
	if e.Interferes {
		h.recordInterference(now)
	}
	h.cache.Touch(w.Prompt)
	if len(w.Prompt) > 0 {
		v.placedPrompts = append(v.placedPrompts, PlacedPrompt{Upstream: e.Upstream, Prompt: w.Prompt, Interferes: e.Interferes})
	}
	return t
}

// RecordFirstOutput records the first event of an engine's answer. It ends the
// prefill of the prompt, so the prefill rate is learned from it.
func (v *View) RecordFirstOutput(now time.Time, t *Ticket) {
	v.RecordOutput(now, t)
	if !t.awaitingFirstOutput {
		return
	}
	t.awaitingFirstOutput = false
	t.host.pendingPrefill -= t.prefillWork
	v.loadChanges.add(t.host)
	t.firstOutputAt = now
	if t.sequence > t.host.newestStarted {
		t.host.newestStarted, t.host.newestStartedAt = t.sequence, now
	}
	v.learnPrefillRate(now, t)
}

// RecordOutput records that an upstream sent a part of an answer.
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

// learnPrefillRate learns an engine's prefill rate from a prompt that found the
// engine idle. If other prompts were ahead of it, the router does not know how
// much of their prefill was already done: learning from all prompts
// overestimated the rate by a fifth.
func (v *View) learnPrefillRate(now time.Time, t *Ticket) {
	elapsed := now.Sub(t.placedAt) - firstTokenOverhead
	if !t.foundIdle || t.uncachedTokens < minLearningTokens || elapsed <= 0 {
		return
	}
	m, h := v.prefillModels[t.service], t.host
	if t.uncachedTokens >= longPromptTokens {
		m.learnCurvature(t.uncachedTokens, t.promptTokens, h.relativeSpeed, elapsed)
		return
	}
	ratio := m.learnRate(m.prefillWork(t.uncachedTokens, t.promptTokens), elapsed)
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

// minSpeed and maxSpeed bound the relative speed of an engine. The lower bound
// ensures that a slow engine still receives some requests, which can show that
// it has recovered.
const (
	minSpeed = 0.1
	maxSpeed = 4
)

// Outcome is how a request ended at an upstream.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered means that the upstream sent a complete answer of its own.
	Answered Outcome = iota
	// Rejected means that the upstream did not run the request.
	Rejected
	// Failed means that the upstream sent an error or a malformed answer.
	Failed
	// Broken means that the connection ended before the answer did.
	Broken
	// Unconnected means that no connection could be established.
	Unconnected
	// Withdrawn means that the caller left or its time was up.
	Withdrawn
)

// String returns the name of the outcome used in metrics.
func (o Outcome) String() string {
	names := [...]string{"answered", "rejected", "failed", "broken", "unconnected", "withdrawn"}
	if int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// RecordEnd records the end of a request at its upstream. Further calls for the
// same request have no effect.
func (v *View) RecordEnd(now time.Time, t *Ticket, outcome Outcome) {
	if t.ended || t.host == nil {
		return
	}
	t.ended = true
	h := t.host
	h.removeTicket(t)
	v.loadChanges.add(h)
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

// rejectionAvoidTime is how long an upstream that has rejected a request is
// avoided while others are available. A plain worker completes several requests
// in that time.
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

// meanWeight is the weight of a new observation in an exponentially weighted
// mean, which spans about fifty requests.
const meanWeight = 0.02

func (v *View) learnWorkTime(elapsed time.Duration, t *Ticket) {
	mean := float64(v.meanWorkTime(t.service))
	v.workTimes[t.service] = mean + meanWeight*(float64(elapsed)-mean)
	if t.host.slotTime == 0 {
		t.host.slotTime = float64(elapsed)
	}
	t.host.slotTime += meanWeight * (float64(elapsed) - t.host.slotTime)
}

// initialTokenTime is the assumed time per generated token until the first
// streams have ended.
const initialTokenTime = 8 * time.Millisecond

// learnTokenTime learns the time per generated token from a stream that has
// ended.
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

// streamTime returns the expected time from a request's first event to its
// last.
func (v *View) streamTime(w Work) time.Duration {
	return time.Duration(v.tokenTime(w.Service) * float64(w.ExpectedOutputTokens))
}

// PlacedAt returns when the request was placed.
func (t *Ticket) PlacedAt() time.Time { return t.placedAt }

// Run identifies the run of the upstream that the request was sent to.
func (t *Ticket) Run() quarantine.Run {
	return RunOf(directory.Upstream{ID: t.upstream, Born: t.born})
}

// RunOf identifies the current run of an upstream.
func RunOf(u directory.Upstream) quarantine.Run {
	return quarantine.Run{Upstream: u.ID, Boot: strconv.FormatInt(u.Born, 10)}
}
