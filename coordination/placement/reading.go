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
	// initialChunk is the part of a prompt that engines usually read in one
	// step, in tokens, between two tokens of every running stream.
	initialChunk = 2048
	// minEventTokens and maxEventTokens bound what pauses may teach.
	minEventTokens = 500
	maxEventTokens = 400000
	// Lessons are learned in logarithms. Requests of peers that are not known
	// of yet make some of them several times too long, and none too short: up
	// counts more than down, so that an estimate settles at what an engine
	// does undisturbed.
	upWeight   = 0.05
	upReach    = 0.5
	downWeight = 0.02
	downReach  = 1.0
	// lessonWeight is the weight of an observation that errs both ways.
	lessonWeight = 0.05
	// minLesson is the least number of tokens from which a rate is learned:
	// below it the startup dominates. From straightLesson on the curvature
	// would show in the rate; it is learned from prompts above.
	minLesson      = 1500
	straightLesson = 12000
	// maxCover is the age from which a request that has not begun no longer
	// shows that its engine is reading: its answer may be lost.
	maxCover = time.Second
)

// reading is what answers have taught about how a service's engines read
// prompts. Engines read in chunks, one in each step that gives all running
// streams a token, so that reading lengthens the pauses between events.
type reading struct {
	// rate is in tokens a second for short prompts.
	rate float64
	// curvature is the part by which a token takes longer per token before it.
	curvature float64
	// eventTokens is how much an engine reads between two events of a stream
	// while it reads without a break.
	eventTokens float64
	// idlePause is the time between two events of a stream in seconds while
	// nothing is read.
	idlePause float64
}

func newReading(tokensPerEvent int) *reading {
	return &reading{
		rate: initialRate, curvature: initialCurvature,
		eventTokens: initialChunk * float64(max(tokensPerEvent, 1)),
	}
}

// work is the reading of the last tokens of a prompt, in tokens at the rate of
// short prompts.
func (r *reading) work(unread, total int) int {
	before := float64(2*total - unread)
	return unread + int(r.curvature*float64(unread)*before)
}

// pause is the longest time between two events of a stream at an engine of a
// speed that has work to read and gets a prompt more.
func (r *reading) pause(work int, total int, speed float64) time.Duration {
	unbroken := min(float64(work), r.eventTokens*(1+2*r.curvature*float64(total)))
	return seconds(r.idlePause + unbroken/r.at(speed))
}

// at is the reading rate of an engine of a speed.
func (r *reading) at(speed float64) float64 {
	return min(max(r.rate*speed, minRate), maxRate)
}

// learnRate takes how long an idle engine took to read a prompt, and returns
// what part of the usual rate that was.
func (r *reading) learnRate(work int, took time.Duration) float64 {
	seen := float64(work) / took.Seconds()
	r.rate = min(max(towards(r.rate, seen), minRate), maxRate)
	return seen / r.rate
}

// learnCurvature takes how long an idle engine of a speed took to read a long
// prompt.
func (r *reading) learnCurvature(unread, total int, speed float64, took time.Duration) {
	beyond := took.Seconds()*r.at(speed) - float64(unread)
	seen := beyond / (float64(unread) * float64(2*total-unread))
	step := min(max(seen-r.curvature, -maxCurvature), maxCurvature)
	// As with rates, lessons that took too long are no proof.
	weight := downWeight
	if step < 0 {
		weight = upWeight
	}
	r.curvature = max(r.curvature+weight*step, 0)
}

// learnPause takes the time between two events of a stream, in which the engine
// read a prompt of a total length without a break, or, if that is 0, nothing.
func (r *reading) learnPause(pause time.Duration, total int, speed float64) {
	if total == 0 {
		r.idlePause += lessonWeight * (pause.Seconds() - r.idlePause)
		return
	}
	seen := (pause.Seconds() - r.idlePause) * r.at(speed) / (1 + r.curvature*float64(total))
	if seen > 0 {
		r.eventTokens = min(max(towards(r.eventTokens, seen), minEventTokens), maxEventTokens)
	}
}

// towards moves an estimate towards an observation; both are positive.
func towards(estimate, seen float64) float64 {
	if seen >= estimate {
		return estimate * math.Exp(upWeight*min(math.Log(seen/estimate), upReach))
	}
	return estimate * math.Exp(-downWeight*min(math.Log(estimate/seen), downReach))
}

func tokens(prompt []prefix.Part) int {
	n := 0
	for _, part := range prompt {
		n += part.Tokens
	}
	return n
}
