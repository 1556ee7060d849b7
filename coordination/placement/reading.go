package placement

import (
	"math"
	"time"

	"github.com/figstile/figstile/coordination/prefix"
)

const (
	// initialRate is the reading rate of an engine, in tokens a second, until
	// answers have taught better; between the slowest and the fastest known.
	initialRate = 40000
	// minRate and maxRate bound what answers may teach, so that one odd
	// answer does not make an engine look dead or free.
	minRate = 5000
	maxRate = 400000
	// initialCurvature is how much dearer a token of a long prompt is, per
	// token before it: every token attends to all of them. At 1e-5 a prompt of
	// 50,000 tokens takes half as long again as ten of 5,000.
	initialCurvature = 1e-5
	maxCurvature     = 1e-4
	// initialChunkTokens is the part of a prompt that engines usually read in one
	// step, in tokens, between two tokens of every running stream.
	initialChunkTokens = 2048
	// minPrefillPerEvent and maxEventTokens bound what pauses may teach.
	minPrefillPerEvent = 500
	maxPrefillPerEvent = 400000
	// Lessons are learned in logarithms. Requests of peers that are not known
	// of yet make some of them several times too long, and none too short: up
	// counts more than down, so that an estimate settles at what an engine
	// does undisturbed.
	raiseWeight = 0.05
	maxRaiseLog = 0.5
	lowerWeight = 0.02
	maxLowerLog = 1.0
	// eventGapWeight is the weight of an observation that errs both ways.
	eventGapWeight = 0.05
	// minLearningTokens is the least number of tokens from which a rate is learned:
	// below it the startup dominates. From straightLesson on the curvature
	// would show in the rate; it is learned from prompts above.
	minLearningTokens = 1500
	longPromptTokens  = 12000
	// maxPrefillAge is the age from which a request that has not begun no longer
	// shows that its engine is reading: its answer may be lost.
	maxPrefillAge = time.Second
)

// prefillModel is what answers have taught about how a service's engines read
// prompts. Engines read in chunks, one in each step that gives all running
// streams a token, so that reading lengthens the pauses between events.
type prefillModel struct {
	// rate is in tokens a second for short prompts.
	rate float64
	// curvature is the part by which a token takes longer per token before it.
	curvature float64
	// prefillPerEvent is how much an engine reads between two events of a stream
	// while it reads without a break.
	prefillPerEvent float64
	// idleEventGap is the time between two events of a stream in seconds while
	// nothing is read.
	idleEventGap float64
}

func newPrefillModel(tokensPerEvent int) *prefillModel {
	return &prefillModel{
		rate: initialRate, curvature: initialCurvature,
		prefillPerEvent: initialChunkTokens * float64(max(tokensPerEvent, 1)),
	}
}

// prefillWork is the reading of the last tokens of a prompt, in tokens at the rate of
// short prompts.
func (m *prefillModel) prefillWork(uncached, total int) int {
	before := float64(2*total - uncached)
	return uncached + int(m.curvature*float64(uncached)*before)
}

// maxEventGap is the longest time between two events of a stream at an engine of a
// speed that has work to read and gets a prompt more.
func (m *prefillModel) maxEventGap(work int, total int, speed float64) time.Duration {
	prefill := min(float64(work), m.prefillPerEvent*(1+2*m.curvature*float64(total)))
	return seconds(m.idleEventGap + prefill/m.rateAt(speed))
}

// rateAt is the reading rate of an engine of a speed.
func (m *prefillModel) rateAt(speed float64) float64 {
	return min(max(m.rate*speed, minRate), maxRate)
}

// learnRate takes how long an idle engine took to read a prompt, and returns
// what part of the usual rate that was.
func (m *prefillModel) learnRate(work int, took time.Duration) float64 {
	observed := float64(work) / took.Seconds()
	m.rate = min(max(adjustEstimate(m.rate, observed), minRate), maxRate)
	return observed / m.rate
}

// learnCurvature takes how long an idle engine of a speed took to read a long
// prompt.
func (m *prefillModel) learnCurvature(uncached, total int, speed float64, took time.Duration) {
	extraWork := took.Seconds()*m.rateAt(speed) - float64(uncached)
	observed := extraWork / (float64(uncached) * float64(2*total-uncached))
	step := min(max(observed-m.curvature, -maxCurvature), maxCurvature)
	// As with rates, lessons that took too long are no proof.
	weight := lowerWeight
	if step < 0 {
		weight = raiseWeight
	}
	m.curvature = max(m.curvature+weight*step, 0)
}

// learnEventGap takes the time between two events of a stream, in which the engine
// read a prompt of a total length without a break, or, if that is 0, nothing.
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

// adjustEstimate moves an estimate towards an observation; both are positive.
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
