package placement

import (
	"math"
	"time"
)

// pauseMargin is the part of a stream's longest pause up to which an engine's
// reading may lengthen it. The rest is for the way to the caller and for what
// peers have placed unseen.
const pauseMargin = 0.9

// estimateInterference adds what reading a prompt costs the streams that run at
// an engine, and what later prompts may cost the stream of this one. A stream
// whose pauses are too long is late, which is as bad for its caller as to wait
// for the whole target.
func (p *Picture) estimateInterference(now time.Time, e *Estimate, h *host, w Work, total int) {
	if w.Pause <= 0 {
		return
	}
	running, unread := h.load()
	pause := p.readings[w.Service].pause(unread+e.work, total, h.speed)
	if pause > time.Duration(pauseMargin*float64(w.Pause)) {
		e.Interferes, e.Disturbed = true, running
	}
	late := float64(e.Disturbed) + h.interferenceRisk(now, p.streamTime(w))
	e.score += time.Duration(float64(w.Target) * late)
}

// interferenceMemory is the time over which prompts that interfere are counted: a
// few lives of a stream, so that the engine that reads them stays the same one.
const interferenceMemory = 4 * time.Second

// fade brings the count of such prompts up to date.
func (h *host) fade(now time.Time) {
	if since := now.Sub(h.interferedAt); since > 0 {
		h.interference *= math.Exp(-since.Seconds() / interferenceMemory.Seconds())
	}
	h.interferedAt = now
}

// interfere counts a prompt whose reading makes the pauses of this engine's
// streams too long.
func (h *host) interfere(now time.Time) {
	h.fade(now)
	h.interference++
}

// interferenceRisk is the chance that a stream is disturbed here in its life.
func (h *host) interferenceRisk(now time.Time, life time.Duration) float64 {
	if h.interference == 0 {
		return 0
	}
	h.fade(now)
	return 1 - math.Exp(-h.interference*life.Seconds()/interferenceMemory.Seconds())
}
