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

// visibleReport returns the latest report that is at least lag old, or the oldest.
func (h *loadHistory) visibleReport(now time.Time) state.LoadReport {
	h.trim(now)
	return h.samples[0].LoadReport
}

// trim drops the samples that a newer visible one replaces.
func (h *loadHistory) trim(now time.Time) {
	visibleUntil := now.Add(-h.lag)
	firstHidden := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].At.After(visibleUntil) })
	if firstHidden > 1 {
		h.samples = h.samples[firstHidden-1:]
	}
}
