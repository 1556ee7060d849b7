package loadgen

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Result is what a run showed.
type Result struct {
	Workload   string            `json:"workload"`
	Direct     bool              `json:"direct"`
	Seconds    float64           `json:"seconds"`
	Intended   int               `json:"intended"`
	Workspaces []state.Workspace `json:"workspaces"`
	Codes      map[string]int    `json:"codes"`
	Groups     []Group           `json:"groups"`
	Services   []Service         `json:"services"`
	Control    []ControlRate     `json:"control"`
	// Kinds are the control messages that all routers sent, by kind.
	Kinds []KindRate `json:"control_kinds"`
	// MissedSamples counts status and load reports that did not come.
	MissedSamples int       `json:"missed_samples"`
	Samples       []*Sample `json:"samples"`
	// Records are the evidence behind the figures.
	Records []Record `json:"-"`
}

// Service is one service over the whole run.
type Service struct {
	Name   state.Service `json:"name"`
	Served float64       `json:"served"`
	// Gap is the worst sampled fairness gap, Bound its limit, and Reach what
	// a fleet that served only one workspace would have shown.
	Gap   float64 `json:"gap"`
	Bound float64 `json:"bound"`
	Reach float64 `json:"reach"`
	// Busy is the part of the slots in use while work waited, of
	// BusySamples samples.
	Busy        float64 `json:"busy"`
	BusySamples int     `json:"busy_samples"`
	// Least is the workspace that got the least part of its share while it
	// waited.
	Least Portion `json:"least"`
	// Portions are all workspaces that waited.
	Portions []Portion `json:"portions"`
}

// Portion is what a workspace got of its share while it waited; 1 is all.
type Portion struct {
	Workspace state.Workspace `json:"workspace"`
	Part      float64         `json:"part"`
	Seconds   float64         `json:"seconds"`
}

// ControlRate is one router's control traffic per second.
type ControlRate struct {
	Router      state.Router `json:"router"`
	BytesIn     float64      `json:"bytes_in"`
	BytesOut    float64      `json:"bytes_out"`
	MessagesIn  float64      `json:"messages_in"`
	MessagesOut float64      `json:"messages_out"`
}

// KindRate is one kind of control message over the whole fleet, without the
// framing of the links.
type KindRate struct {
	Kind     string  `json:"kind"`
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

// deliverySeconds is allowed for a counter on its way, beside the period of
// the exchange.
const deliverySeconds = 0.1

func newResult(r *runner, o *observer, intended int) *Result {
	res := &Result{
		Workload:      r.workload.Name,
		Direct:        r.direct,
		Seconds:       r.since().Seconds(),
		Intended:      intended,
		Codes:         make(map[string]int),
		MissedSamples: o.missed,
		Samples:       o.samples,
		Records:       r.records,
	}
	for _, ws := range r.workload.Workspaces {
		res.Workspaces = append(res.Workspaces, ws.Name)
	}
	for _, record := range r.records {
		res.Codes[outcome(record)]++
	}
	res.Groups = groups(r.workload, r.records)
	for _, name := range r.workload.services() {
		res.Services = append(res.Services, o.service(name))
	}
	res.Control = controlRates(o.samples)
	res.Kinds = kindRates(o.samples)
	return res
}

// outcome names how a request ended.
func outcome(r Record) string {
	switch {
	case r.Left:
		return "caller-left"
	case r.Broken != "":
		return "connection-broken:" + lastCause(r.Broken)
	case r.Status == 200 && r.Code == result.OK:
		return "ok"
	default:
		return fmt.Sprintf("%s (%d, ran %s)", result.Lookup(r.Code).Name, r.Code, r.Ran)
	}
}

// lastCause drops the addresses before the cause in a network error's text:
// with them every request would be a row of its own.
func lastCause(text string) string {
	cause := text[strings.LastIndex(text, ": ")+1:]
	return " " + strings.TrimSpace(cause)
}

// service works out the figures of one service from the samples.
func (o *observer) service(name state.Service) Service {
	s := Service{Name: name}
	tracker := o.gaps[name]
	busySeconds := 0.0
	var running, slots, most int
	for i, sample := range o.samples {
		m := sample.Services[name]
		s.Gap = max(s.Gap, m.Gap)
		most = max(most, m.Slots)
		if i == 0 {
			continue
		}
		before := o.samples[i-1]
		busySeconds += float64(m.Running) * (sample.At - before.At).Seconds()
		if m.waits() && before.Services[name].waits() {
			running += min(m.Running, m.Slots)
			slots += m.Slots
			s.BusySamples++
		}
	}
	if slots > 0 {
		s.Busy = float64(running) / float64(slots)
	}
	o.addServed(&s)
	s.Bound = o.bound(name, most, s.Served, busySeconds).Limit()
	s.Portions = portions(o.run.workload, tracker)
	s.Least = least(s.Portions)
	return s
}

func (o *observer) addServed(s *Service) {
	counters := o.run.counters[s.Name]
	leastShare := 1.0
	for i := range counters {
		s.Served += counters[i].total()
		leastShare = min(leastShare, o.run.workload.shares()[i])
	}
	s.Reach = s.Served / leastShare / float64(len(counters))
}

func (o *observer) bound(name state.Service, slots int, served, busySeconds float64) Bound {
	b := Bound{
		Slots:        slots,
		Workspaces:   len(o.run.workload.Workspaces),
		LeastShare:   slices.Min(o.run.workload.shares()),
		StaleSeconds: scheduler.DefaultExchangeInterval.Seconds() + deliverySeconds,
	}
	if busySeconds > 0 {
		b.Rate = served / busySeconds
	}
	for _, r := range o.run.records {
		if r.Service == name {
			b.Largest = max(b.Largest, r.Cost)
		}
	}
	return b
}

func portions(w Workload, g *gapTracker) []Portion {
	var found []Portion
	for i, ws := range w.Workspaces {
		if g.due[i] <= 0 {
			continue
		}
		found = append(found, Portion{
			Workspace: ws.Name,
			Part:      g.own[i] / g.due[i],
			Seconds:   float64(g.steps[i]) * observeInterval.Seconds(),
		})
	}
	return found
}

// steadySeconds is how long a workspace must have waited for its part to say
// anything: within less, one long request decides.
const steadySeconds = 3

func least(portions []Portion) Portion {
	var worst Portion
	for _, p := range portions {
		if p.Seconds >= steadySeconds && (worst.Workspace == "" || p.Part < worst.Part) {
			worst = p
		}
	}
	return worst
}

func controlRates(samples []*Sample) []ControlRate {
	if len(samples) < 2 {
		return nil
	}
	first, last := samples[0], samples[len(samples)-1]
	seconds := (last.At - first.At).Seconds()
	var rates []ControlRate
	for _, router := range slices.Sorted(maps.Keys(last.Control)) {
		a, b := first.Control[router], last.Control[router]
		rates = append(rates, ControlRate{
			Router:      router,
			BytesIn:     float64(b.BytesIn-a.BytesIn) / seconds,
			BytesOut:    float64(b.BytesOut-a.BytesOut) / seconds,
			MessagesIn:  float64(b.MessagesIn-a.MessagesIn) / seconds,
			MessagesOut: float64(b.MessagesOut-a.MessagesOut) / seconds,
		})
	}
	return rates
}

func kindRates(samples []*Sample) []KindRate {
	if len(samples) < 2 {
		return nil
	}
	first, last := samples[0], samples[len(samples)-1]
	seconds := (last.At - first.At).Seconds()
	sums := make(map[string]KindRate)
	for router, kinds := range last.kinds {
		for kind, traffic := range kinds {
			sum := sums[kind]
			sum.Kind = kind
			sum.Messages += float64(traffic.Messages-first.kinds[router][kind].Messages) / seconds
			sum.Bytes += float64(traffic.Bytes-first.kinds[router][kind].Bytes) / seconds
			sums[kind] = sum
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b KindRate) int { return cmp.Compare(b.Bytes, a.Bytes) })
}

// Reverted names a router that was seen with an older version of an object
// after a newer one; empty if there is none.
func (r *Result) Reverted() string {
	newest := make(map[state.Router]map[string]uint64)
	for _, s := range r.Samples {
		for router, versions := range s.versions {
			if newest[router] == nil {
				newest[router] = make(map[string]uint64)
			}
			for key, version := range versions {
				if version < newest[router][key] {
					return fmt.Sprintf("%s went back to version %d of %s after %d", router, version, key, newest[router][key])
				}
				newest[router][key] = version
			}
		}
	}
	return ""
}
