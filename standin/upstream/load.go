package upstream

import (
	"sort"
	"time"

	"github.com/figstile/figstile/state"
)

// loadHistory keeps past load reports, so that readers see the load as it was
// lag ago.
type loadHistory struct {
	lag     time.Duration
	samples []state.ReceivedReport
}

// add appends a report taken at the given time.
func (h *loadHistory) add(now time.Time, report state.LoadReport) {
	h.samples = append(h.samples, state.ReceivedReport{LoadReport: report, At: now})
	h.trim(now)
}

// visibleReport returns the latest report that is at least lag old, or the
// oldest report if none is.
func (h *loadHistory) visibleReport(now time.Time) state.LoadReport {
	h.trim(now)
	return h.samples[0].LoadReport
}

// trim removes the reports that are older than the visible one.
func (h *loadHistory) trim(now time.Time) {
	visibleUntil := now.Add(-h.lag)
	firstHidden := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].At.After(visibleUntil) })
	if firstHidden > 1 {
		h.samples = h.samples[firstHidden-1:]
	}
}
