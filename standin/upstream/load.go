package upstream

import (
	"sort"
	"time"

	"github.com/figstile/figstile/state"
)

// loadHistory keeps load reports until they are older than the lag, so that
// readers see the upstream as it was.
type loadHistory struct {
	lag     time.Duration
	samples []state.ReceivedReport
}

// add records a report taken at a time.
func (h *loadHistory) add(now time.Time, report state.LoadReport) {
	h.samples = append(h.samples, state.ReceivedReport{LoadReport: report, At: now})
	h.trim(now)
}

// seen returns the latest report that is at least lag old, or the oldest.
func (h *loadHistory) seen(now time.Time) state.LoadReport {
	h.trim(now)
	return h.samples[0].LoadReport
}

// trim drops the samples that a newer visible one replaces.
func (h *loadHistory) trim(now time.Time) {
	visible := now.Add(-h.lag)
	hidden := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].At.After(visible) })
	if hidden > 1 {
		h.samples = h.samples[hidden-1:]
	}
}
