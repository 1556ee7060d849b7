package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/figstile/figstile/state"
)

// Group is one workspace and class.
type Group struct {
	Workspace state.Workspace `json:"workspace"`
	Class     string          `json:"class"`
	Requests  int             `json:"requests"`
	Served    int             `json:"served"`
	Refused   int             `json:"refused"`
	Cost      float64         `json:"cost"`
	// HeaderLatency is until the answer's head, Pause the longest one in a stream;
	// all but Pause count from the intended time.
	HeaderLatency    Percentiles `json:"wait"`
	FirstByteLatency Percentiles `json:"first_token"`
	MaxEventGap      Percentiles `json:"longest_pause"`
	TotalLatency     Percentiles `json:"total"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// histograms collect one group's times in microseconds.
type histograms struct {
	headerLatency, firstByteLatency, maxEventGap, totalLatency *hdrhistogram.Histogram
}

// maxMicroseconds bounds the histograms: an hour.
const maxMicroseconds = int64(time.Hour / time.Microsecond)

func newHistograms() *histograms {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, 3) }
	return &histograms{headerLatency: newHistogram(), firstByteLatency: newHistogram(), maxEventGap: newHistogram(), totalLatency: newHistogram()}
}

func groupRecords(w Workload, records []Record) []Group {
	type key struct {
		workspace state.Workspace
		class     string
	}
	groupsByKey := make(map[key]*Group)
	histogramsByKey := make(map[key]*histograms)
	for _, r := range records {
		k := key{r.Workspace, r.Class}
		if groupsByKey[k] == nil {
			groupsByKey[k] = &Group{Workspace: r.Workspace, Class: r.Class}
			histogramsByKey[k] = newHistograms()
		}
		groupsByKey[k].add(r, histogramsByKey[k])
	}
	var list []Group
	for _, ws := range w.Workspaces {
		for _, c := range w.Classes {
			k := key{ws.Name, c.Name}
			if groupsByKey[k] == nil {
				continue
			}
			groupsByKey[k].setPercentiles(histogramsByKey[k])
			list = append(list, *groupsByKey[k])
		}
	}
	return list
}

func (g *Group) add(r Record, h *histograms) {
	g.Requests++
	g.Cost += r.Cost
	if !r.Served() {
		if r.Status != 0 && r.Status != 200 {
			g.Refused++
		}
		return
	}
	g.Served++
	recordDuration(h.headerLatency, r.HeaderAt-r.IntendedAt)
	recordDuration(h.firstByteLatency, r.FirstByteAt-r.IntendedAt)
	recordDuration(h.maxEventGap, r.MaxEventGap)
	recordDuration(h.totalLatency, r.EndedAt-r.IntendedAt)
}

func (g *Group) setPercentiles(h *histograms) {
	g.HeaderLatency = percentiles(h.headerLatency)
	g.FirstByteLatency = percentiles(h.firstByteLatency)
	g.MaxEventGap = percentiles(h.maxEventGap)
	g.TotalLatency = percentiles(h.totalLatency)
}

// recordDuration keeps a time within the histogram's range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicroseconds))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / thousandths }
	return Percentiles{P50: quantile(50), P95: quantile(95), P99: quantile(99), Max: float64(h.Max()) / thousandths}
}
