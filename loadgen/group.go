package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/figstile/figstile/state"
)

// Group holds the results of one workspace and request class.
type Group struct {
	Workspace state.Workspace `json:"workspace"`
	Class     string          `json:"class"`
	Requests  int             `json:"requests"`
	Served    int             `json:"served"`
	Refused   int             `json:"refused"`
	Cost      float64         `json:"cost"`
	// HeaderLatency is the time until the response header was received,
	// FirstByteLatency until the first byte of the body and TotalLatency until
	// the end of the response. All three are measured from the intended send
	// time. MaxEventGap is the maximum time between two reads of the response
	// body.
	HeaderLatency    Percentiles `json:"wait"`
	FirstByteLatency Percentiles `json:"first_token"`
	MaxEventGap      Percentiles `json:"longest_pause"`
	TotalLatency     Percentiles `json:"total"`
}

// Percentiles holds percentiles and the maximum of a duration in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// histograms collects the durations of one group in microseconds.
type histograms struct {
	headerLatency, firstByteLatency, maxEventGap, totalLatency *hdrhistogram.Histogram
}

// maxMicroseconds is the largest value that the histograms record: one hour.
const maxMicroseconds = int64(time.Hour / time.Microsecond)

func newHistograms() *histograms {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, 3) }
	return &histograms{headerLatency: newHistogram(), firstByteLatency: newHistogram(), maxEventGap: newHistogram(), totalLatency: newHistogram()}
}

// groupRecords aggregates the records by workspace and class, in the order of
// the workload.
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

// add counts one record. Only served requests enter the histograms.
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

// recordDuration records d in microseconds, clamped to the range of the
// histogram.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicroseconds))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / thousandths }
	return Percentiles{P50: quantile(50), P95: quantile(95), P99: quantile(99), Max: float64(h.Max()) / thousandths}
}
