package placement

import (
	"math"
	"time"
)

// eventGapMargin is the part of a stream's longest pause up to which an engine's
// reading may lengthen it. The rest is for the way to the caller and for what
// peers have placed unseen.
const eventGapMargin = 0.9

// estimateInterference adds what reading a prompt costs the streams that run at
// an engine, and what later prompts may cost the stream of this one. A stream
// whose pauses are too long is late, which is as bad for its caller as to wait
// for the whole target.
func (v *View) estimateInterference(now time.Time, e *Estimate, h *host, w Work, promptTokens int) {
	if w.MaxEventGap <= 0 {
		return
	}
	running, pendingPrefill := h.totalLoad()
	gap := v.prefillModels[w.Service].maxEventGap(pendingPrefill+e.prefillWork, promptTokens, h.relativeSpeed)
	if gap > time.Duration(eventGapMargin*float64(w.MaxEventGap)) {
		e.Interferes, e.DelayedStreams = true, running
	}
	lateStreams := float64(e.DelayedStreams) + h.interferenceRisk(now, v.streamTime(w))
	e.score += time.Duration(float64(w.TargetLatency) * lateStreams)
}

// interferenceDecayTime is the time over which prompts that interfere are counted: a
// few lives of a stream, so that the engine that reads them stays the same one.
const interferenceDecayTime = 4 * time.Second

// decayInterference brings the count of such prompts up to date.
func (h *host) decayInterference(now time.Time) {
	if since := now.Sub(h.interferenceUpdatedAt); since > 0 {
		h.interferenceCount *= math.Exp(-since.Seconds() / interferenceDecayTime.Seconds())
	}
	h.interferenceUpdatedAt = now
}

// recordInterference counts a prompt whose reading makes the pauses of this engine's
// streams too long.
func (h *host) recordInterference(now time.Time) {
	h.decayInterference(now)
	h.interferenceCount++
}

// interferenceRisk is the chance that a stream is disturbed here in its life.
func (h *host) interferenceRisk(now time.Time, duration time.Duration) float64 {
	if h.interferenceCount == 0 {
		return 0
	}
	h.decayInterference(now)
	return 1 - math.Exp(-h.interferenceCount*duration.Seconds()/interferenceDecayTime.Seconds())
}
