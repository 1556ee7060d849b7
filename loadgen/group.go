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
	// Wait is until the answer's head, Pause the longest one in a stream;
	// all but Pause count from the intended time.
	Wait  Percentiles `json:"wait"`
	First Percentiles `json:"first_token"`
	Pause Percentiles `json:"longest_pause"`
	Total Percentiles `json:"total"`
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
	wait, first, pause, total *hdrhistogram.Histogram
}

// maxMicroseconds bounds the histograms: an hour.
const maxMicroseconds = int64(time.Hour / time.Microsecond)

func newHistograms() *histograms {
	fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, 3) }
	return &histograms{wait: fresh(), first: fresh(), pause: fresh(), total: fresh()}
}

func groups(w Workload, records []Record) []Group {
	type key struct {
		workspace state.Workspace
		class     string
	}
	byKey := make(map[key]*Group)
	times := make(map[key]*histograms)
	for _, r := range records {
		k := key{r.Workspace, r.Class}
		if byKey[k] == nil {
			byKey[k] = &Group{Workspace: r.Workspace, Class: r.Class}
			times[k] = newHistograms()
		}
		byKey[k].add(r, times[k])
	}
	var found []Group
	for _, ws := range w.Workspaces {
		for _, c := range w.Classes {
			k := key{ws.Name, c.Name}
			if byKey[k] == nil {
				continue
			}
			byKey[k].take(times[k])
			found = append(found, *byKey[k])
		}
	}
	return found
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
	record(h.wait, r.Head-r.Intended)
	record(h.first, r.First-r.Intended)
	record(h.pause, r.Slowest)
	record(h.total, r.End-r.Intended)
}

func (g *Group) take(h *histograms) {
	g.Wait = percentiles(h.wait)
	g.First = percentiles(h.first)
	g.Pause = percentiles(h.pause)
	g.Total = percentiles(h.total)
}

// record keeps a time within the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicroseconds))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / thousandths }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / thousandths}
}
