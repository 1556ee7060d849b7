package placement

import (
	"math"
	"time"

	"github.com/figstile/figstile/coordination/prefix"
)

const (
	// initialRate is the assumed prefill rate of an engine, in tokens per
	// second, until answers have been observed. It lies between the slowest and
	// the fastest known engine.
	initialRate = 40000
	// minRate and maxRate bound the learned prefill rate in tokens per second,
	// so that a single outlier does not make an engine appear dead or
	// infinitely fast.
	minRate = 5000
	maxRate = 400000
	// initialCurvature is the relative increase of the mean prefill time per
	// token, for each token of the prompt's length. It arises because every
	// token attends to all tokens before it. At 1e-5 a prompt of 50,000 tokens
	// takes almost half as long again as ten prompts of 5,000.
	initialCurvature = 1e-5
	maxCurvature     = 1e-4
	// initialChunkTokens is the assumed part of a prompt that an engine
	// prefills in one step, in tokens, between two tokens of every running
	// stream.
	initialChunkTokens = 2048
	// minPrefillPerEvent and maxPrefillPerEvent bound, in tokens, the amount of
	// prefill between two events that is learned from event gaps.
	minPrefillPerEvent = 500
	maxPrefillPerEvent = 400000
	// raiseWeight and lowerWeight are the weights of an observation above and
	// below an estimate, on a logarithmic scale. maxRaiseLog and maxLowerLog
	// limit the logarithm of their ratio. Requests of peers that are not yet
	// known to this router make some prefills take several times too long, and
	// none too short, so an observed rate may be too low but not too high.
	// Raising an estimate therefore has more weight than lowering it, so that
	// the estimate settles at the speed of an undisturbed engine.
	raiseWeight = 0.05
	maxRaiseLog = 0.5
	lowerWeight = 0.02
	maxLowerLog = 1.0
	// eventGapWeight is the weight of an observed event gap in the mean gap
	// without pending prefill. It is the same for raising and for lowering,
	// because the errors of these observations are symmetric.
	eventGapWeight = 0.05
	// minLearningTokens is the minimum number of uncached tokens from which a
	// rate is learned: below it, firstTokenOverhead dominates. From
	// longPromptTokens on, the curvature would distort the rate, so these
	// prompts are used to learn the curvature instead.
	minLearningTokens = 1500
	longPromptTokens  = 12000
	// maxPrefillAge is the age from which a request without output no longer
	// shows that its engine is busy with prefill, because its answer may be
	// lost.
	maxPrefillAge = time.Second
)

// prefillModel is the learned prefill speed of a service's engines. Engines
// prefill in chunks, one in each step that gives every running stream a token,
// so prefill lengthens the gaps between events.
type prefillModel struct {
	// rate is the prefill rate for short prompts, in tokens per second.
	rate float64
	// curvature is the relative increase of the mean prefill time per token,
	// for each token of the prompt's length.
	curvature float64
	// prefillPerEvent is the number of tokens that an engine prefills between
	// two events of a stream while it always has prefill pending.
	prefillPerEvent float64
	// idleEventGap is the time between two events of a stream in seconds while
	// no prefill is pending.
	idleEventGap float64
}

func newPrefillModel(tokensPerEvent int) *prefillModel {
	return &prefillModel{
		rate: initialRate, curvature: initialCurvature,
		prefillPerEvent: initialChunkTokens * float64(max(tokensPerEvent, 1)),
	}
}

// prefillWork returns the prefill of the last uncached tokens of a prompt of
// total tokens, expressed as the number of short-prompt tokens that take the
// same time.
func (m *prefillModel) prefillWork(uncached, total int) int {
	before := float64(2*total - uncached)
	return uncached + int(m.curvature*float64(uncached)*before)
}

// maxEventGap returns the longest expected time between two events of a stream,
// at an engine of the given relative speed with the given prefill work,
// including that of a new prompt of total tokens.
func (m *prefillModel) maxEventGap(work int, total int, speed float64) time.Duration {
	prefill := min(float64(work), m.prefillPerEvent*(1+2*m.curvature*float64(total)))
	return seconds(m.idleEventGap + prefill/m.rateAt(speed))
}

// rateAt returns the prefill rate of an engine of the given relative speed, in
// tokens per second.
func (m *prefillModel) rateAt(speed float64) float64 {
	return min(max(m.rate*speed, minRate), maxRate)
}

// learnRate learns from the time that an idle engine took to prefill a prompt.
// It returns the engine's rate as a multiple of the mean rate.
func (m *prefillModel) learnRate(work int, elapsed time.Duration) float64 {
	observed := float64(work) / elapsed.Seconds()
	m.rate = min(max(adjustEstimate(m.rate, observed), minRate), maxRate)
	return observed / m.rate
}

// learnCurvature learns from the time that an idle engine of the given relative
// speed took to prefill a long prompt.
func (m *prefillModel) learnCurvature(uncached, total int, speed float64, elapsed time.Duration) {
	extraWork := elapsed.Seconds()*m.rateAt(speed) - float64(uncached)
	observed := extraWork / (float64(uncached) * float64(2*total-uncached))
	step := min(max(observed-m.curvature, -maxCurvature), maxCurvature)
	// As with rates, observations that took too long have less weight, since
	// unseen requests may have caused them.
	weight := lowerWeight
	if step < 0 {
		weight = raiseWeight
	}
	m.curvature = max(m.curvature+weight*step, 0)
}

// learnEventGap learns from the time between two events of a stream. Within it
// the engine was prefilling a prompt of total tokens without a break, or
// nothing if total is 0.
func (m *prefillModel) learnEventGap(gap time.Duration, total int, speed float64) {
	if total == 0 {
		m.idleEventGap += eventGapWeight * (gap.Seconds() - m.idleEventGap)
		return
	}
	observed := (gap.Seconds() - m.idleEventGap) * m.rateAt(speed) / (1 + m.curvature*float64(total))
	if observed > 0 {
		m.prefillPerEvent = min(max(adjustEstimate(m.prefillPerEvent, observed), minPrefillPerEvent), maxPrefillPerEvent)
	}
}

// adjustEstimate moves an estimate towards an observation. Both must be
// positive.
func adjustEstimate(estimate, observed float64) float64 {
	if observed >= estimate {
		return estimate * math.Exp(raiseWeight*min(math.Log(observed/estimate), maxRaiseLog))
	}
	return estimate * math.Exp(-lowerWeight*min(math.Log(estimate/observed), maxLowerLog))
}

func countTokens(prompt []prefix.Part) int {
	n := 0
	for _, part := range prompt {
		n += part.Tokens
	}
	return n
}
