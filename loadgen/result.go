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

// Result holds the results of a run.
type Result struct {
	Workload          string            `json:"workload"`
	Direct            bool              `json:"direct"`
	Seconds           float64           `json:"seconds"`
	ScheduledRequests int               `json:"intended"`
	Workspaces        []state.Workspace `json:"workspaces"`
	RequestsByOutcome map[string]int    `json:"codes"`
	Groups            []Group           `json:"groups"`
	Services          []Service         `json:"services"`
	ControlRates      []ControlRate     `json:"control"`
	// ControlKindRates are the rates of the control messages that all routers
	// sent, by message kind.
	ControlKindRates []KindRate `json:"control_kinds"`
	// MissedSamples counts status and load requests that failed.
	MissedSamples int       `json:"missed_samples"`
	Samples       []*Sample `json:"samples"`
	// Records holds one entry per request sent. The other results are
	// calculated from the records and the samples.
	Records []Record `json:"-"`
}

// Service holds the results of one service over the whole run.
type Service struct {
	Name   state.Service `json:"name"`
	Served float64       `json:"served"`
	// MaxGap is the largest sampled fairness gap and GapLimit its upper bound.
	// SingleWorkspaceGap is the gap that a fleet would have had if it had
	// served only the workspace with the smallest share. All are in cost units
	// at equal shares.
	MaxGap             float64 `json:"gap"`
	GapLimit           float64 `json:"bound"`
	SingleWorkspaceGap float64 `json:"reach"`
	// BusySlotFraction is the fraction of the slots that were in use while
	// requests waited, over BusySlotSamples samples.
	BusySlotFraction float64 `json:"busy"`
	BusySlotSamples  int     `json:"busy_samples"`
	// MinReceivedShare is the entry of ReceivedShares with the smallest
	// fraction, among workspaces that had requests waiting for at least
	// minWaitingSeconds.
	MinReceivedShare ReceivedShare `json:"least"`
	// ReceivedShares has an entry for each workspace that had requests waiting.
	ReceivedShares []ReceivedShare `json:"portions"`
}

// ReceivedShare is the fraction of its share that a workspace received while it
// had requests waiting. A Fraction of 1 is the full share. WaitingSeconds is
// the time during which it had requests waiting.
type ReceivedShare struct {
	Workspace      state.Workspace `json:"workspace"`
	Fraction       float64         `json:"part"`
	WaitingSeconds float64         `json:"seconds"`
}

// ControlRate is the control traffic of one router per second.
type ControlRate struct {
	Router      state.Router `json:"router"`
	BytesIn     float64      `json:"bytes_in"`
	BytesOut    float64      `json:"bytes_out"`
	MessagesIn  float64      `json:"messages_in"`
	MessagesOut float64      `json:"messages_out"`
}

// KindRate is the traffic per second of one kind of control message over the
// whole fleet. It excludes the framing of the connections between routers.
type KindRate struct {
	Kind     string  `json:"kind"`
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

// counterDeliverySeconds is the time allowed for the delivery of a usage
// counter, in addition to the interval between exchanges.
const counterDeliverySeconds = 0.1

func newResult(r *runner, o *observer, intended int) *Result {
	res := &Result{
		Workload:          r.workload.Name,
		Direct:            r.direct,
		Seconds:           r.elapsed().Seconds(),
		ScheduledRequests: intended,
		RequestsByOutcome: make(map[string]int),
		MissedSamples:     o.missedReports,
		Samples:           o.samples,
		Records:           r.records,
	}
	for _, ws := range r.workload.Workspaces {
		res.Workspaces = append(res.Workspaces, ws.Name)
	}
	for _, record := range r.records {
		res.RequestsByOutcome[outcomeName(record)]++
	}
	res.Groups = groupRecords(r.workload, r.records)
	for _, name := range r.workload.services() {
		res.Services = append(res.Services, o.summariseService(name))
	}
	res.ControlRates = controlRates(o.samples)
	res.ControlKindRates = kindRates(o.samples)
	return res
}

// outcomeName returns the name under which the outcome of a request is counted.
func outcomeName(r Record) string {
	switch {
	case r.CallerLeft:
		return "caller-left"
	case r.ConnectionError != "":
		return "connection-broken:" + lastCause(r.ConnectionError)
	case r.Status == 200 && r.Code == result.OK:
		return "ok"
	default:
		return fmt.Sprintf("%s (%d, ran %s)", result.Lookup(r.Code).Name, r.Code, r.Ran)
	}
}

// lastCause returns the last part of the text of a network error. The parts
// before it contain addresses, which would make almost every request an outcome
// of its own.
func lastCause(text string) string {
	cause := text[strings.LastIndex(text, ": ")+1:]
	return " " + strings.TrimSpace(cause)
}

// summariseService calculates the results of one service from the samples.
func (o *observer) summariseService(name state.Service) Service {
	s := Service{Name: name}
	tracker := o.gaps[name]
	busySeconds := 0.0
	var running, slots, maxSlots int
	for i, sample := range o.samples {
		serviceSample := sample.Services[name]
		s.MaxGap = max(s.MaxGap, serviceSample.Gap)
		maxSlots = max(maxSlots, serviceSample.Slots)
		if i == 0 {
			continue
		}
		previous := o.samples[i-1]
		busySeconds += float64(serviceSample.Running) * (sample.At - previous.At).Seconds()
		if serviceSample.anyWaiting() && previous.Services[name].anyWaiting() {
			running += min(serviceSample.Running, serviceSample.Slots)
			slots += serviceSample.Slots
			s.BusySlotSamples++
		}
	}
	if slots > 0 {
		s.BusySlotFraction = float64(running) / float64(slots)
	}
	o.addServed(&s)
	s.GapLimit = o.gapBound(name, maxSlots, s.Served, busySeconds).Limit()
	s.ReceivedShares = receivedShares(o.runner.workload, tracker)
	s.MinReceivedShare = minReceivedShare(s.ReceivedShares)
	return s
}

// addServed sets the total served cost and the gap of a fleet that would have
// served only the workspace with the smallest share.
func (o *observer) addServed(s *Service) {
	counters := o.runner.counters[s.Name]
	minShare := 1.0
	for i := range counters {
		s.Served += counters[i].totalCost()
		minShare = min(minShare, o.runner.workload.shares()[i])
	}
	s.SingleWorkspaceGap = s.Served / minShare / float64(len(counters))
}

// gapBound returns the quantities that bound the fairness gap. The cost per
// slot and second is the served cost divided by the total time for which slots
// were in use.
func (o *observer) gapBound(name state.Service, slots int, served, busySeconds float64) GapBound {
	b := GapBound{
		Slots:             slots,
		Workspaces:        len(o.runner.workload.Workspaces),
		MinShare:          slices.Min(o.runner.workload.shares()),
		CounterAgeSeconds: scheduler.DefaultExchangeInterval.Seconds() + counterDeliverySeconds,
	}
	if busySeconds > 0 {
		b.CostPerSlotSecond = served / busySeconds
	}
	for _, r := range o.runner.records {
		if r.Service == name {
			b.MaxCost = max(b.MaxCost, r.Cost)
		}
	}
	return b
}

func receivedShares(w Workload, g *gapTracker) []ReceivedShare {
	var received []ReceivedShare
	for i, ws := range w.Workspaces {
		if g.dueWhileWaiting[i] <= 0 {
			continue
		}
		received = append(received, ReceivedShare{
			Workspace:      ws.Name,
			Fraction:       g.servedWhileWaiting[i] / g.dueWhileWaiting[i],
			WaitingSeconds: float64(g.waitingSteps[i]) * observeInterval.Seconds(),
		})
	}
	return received
}

// minWaitingSeconds is the minimum time for which a workspace must have had
// requests waiting to be considered by minReceivedShare. In a shorter time a
// single long request determines the fraction.
const minWaitingSeconds = 3

// minReceivedShare returns the entry with the smallest fraction, or a zero
// entry if no workspace had requests waiting for long enough.
func minReceivedShare(received []ReceivedShare) ReceivedShare {
	var lowest ReceivedShare
	for _, p := range received {
		if p.WaitingSeconds >= minWaitingSeconds && (lowest.Workspace == "" || p.Fraction < lowest.Fraction) {
			lowest = p
		}
	}
	return lowest
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
	for router, kinds := range last.trafficByKind {
		for kind, traffic := range kinds {
			sum := sums[kind]
			sum.Kind = kind
			sum.Messages += float64(traffic.Messages-first.trafficByKind[router][kind].Messages) / seconds
			sum.Bytes += float64(traffic.Bytes-first.trafficByKind[router][kind].Bytes) / seconds
			sums[kind] = sum
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b KindRate) int { return cmp.Compare(b.Bytes, a.Bytes) })
}

// FindVersionRollback describes the first case in which a router reported an
// older version of a configuration object after a newer one. It returns an
// empty string if there is none.
func (r *Result) FindVersionRollback() string {
	newest := make(map[state.Router]map[string]uint64)
	for _, s := range r.Samples {
		for router, versions := range s.objectVersions {
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
