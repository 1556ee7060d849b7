package placement

import (
	"math"
	"time"
)

// eventGapMargin is the fraction of a stream's maximum event gap that prefill
// may use up. The rest covers the transfer to the caller and the requests that
// peers have placed since their last report.
const eventGapMargin = 0.9

// estimateInterference determines whether the prefill of a prompt makes the
// event gaps of the streams that run at an engine too long. It adds to the
// score the cost for those streams, and the cost that later prompts may cause
// for the new stream. A stream with too long event gaps counts as late, which
// costs its caller as much as a wait for the whole latency target.
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

// interferenceDecayTime is the time constant with which the count of
// interfering prompts decays. It is several times the duration of a stream, so
// that such prompts keep going to the same engine.
const interferenceDecayTime = 4 * time.Second

// decayInterference applies the decay since the last update to the count of
// interfering prompts.
func (h *host) decayInterference(now time.Time) {
	if since := now.Sub(h.interferenceUpdatedAt); since > 0 {
		h.interferenceCount *= math.Exp(-since.Seconds() / interferenceDecayTime.Seconds())
	}
	h.interferenceUpdatedAt = now
}

// recordInterference counts a prompt whose prefill makes the event gaps of this
// engine's streams too long.
func (h *host) recordInterference(now time.Time) {
	h.decayInterference(now)
	h.interferenceCount++
}

// interferenceRisk returns the probability that a stream of the given duration
// is delayed by the prefill of another prompt at this engine.
func (h *host) interferenceRisk(now time.Time, duration time.Duration) float64 {
	if h.interferenceCount == 0 {
		return 0
	}
	h.decayInterference(now)
	return 1 - math.Exp(-h.interferenceCount*duration.Seconds()/interferenceDecayTime.Seconds())
}
