package edge

import (
	"time"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/ingress"
	"github.com/figstile/figstile/transport/metrics"
)

// observer records finished requests in the metrics, and counts refusals and
// events in the CPU estimate.
type observer struct {
	metrics  *metrics.Metrics
	pressure *pressure
}

// Decided implements ingress.Observer.
func (o observer) Decided(r admission.Request, reason admission.Reason, retry bool) {
	o.metrics.CountDecision(r.Service, reason.String())
	if r.Cost > 0 && !retry {
		o.metrics.AddAdmissionCost(r.Workspace, reason.String(), r.Cost)
	}
}

// Attempted implements ingress.Observer.
func (o observer) Attempted(upstream state.Upstream, outcome placement.Outcome) {
	o.metrics.CountAttempt(upstream, outcome.String())
}

// Finished implements ingress.Observer.
func (o observer) Finished(rec ingress.Record) {
	if rec.Attempts == 0 && rec.Result.Code != result.OK {
		o.pressure.countRefusal()
	}
	series := o.metrics.SeriesFor(rec.Workspace, rec.Class)
	for range rec.Attempts {
		series.RecordDispatch(rec.QueueWait)
	}
	if rec.FirstOutput > 0 {
		series.RecordFirstByte(rec.FirstOutput)
	}
	series.RecordResult(rec.Result, rec.TotalTime, 0)
}

// ObserveEventGap implements ingress.Observer.
func (o observer) ObserveEventGap(ws state.Workspace, class string, gap time.Duration) {
	o.pressure.cpuEstimate.AddEvent()
	o.metrics.SeriesFor(ws, class).RecordEventGap(gap)
}
