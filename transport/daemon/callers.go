package daemon

import (
	"net/http"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/caller"
	"github.com/figstile/figstile/transport/metrics"
	"github.com/figstile/figstile/transport/settings"
)

// withKeys serves the issue of keys beside the services. A ServeMux would
// redirect paths that it finds unclean, which only upstreams may judge.
func withKeys(keys, services http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == caller.KeysPath {
			keys.ServeHTTP(w, r)
			return
		}
		services.ServeHTTP(w, r)
	})
}

// callerSettings gives callers the view in force.
type callerSettings struct {
	source *settings.Source
}

// View returns nil while the router holds no settings.
func (s callerSettings) View() caller.View {
	view := s.source.View()
	if view == nil {
		return nil
	}
	return callerView{view}
}

type callerView struct {
	view *config.View
}

// AuthenticateCaller refuses tokens of operators and teams: they administer
// and have no workspace whose share could be charged.
func (v callerView) AuthenticateCaller(token string) (state.Workspace, bool) {
	principal, ok := v.view.Authenticate(token)
	if !ok || principal.Kind != config.Caller {
		return "", false
	}
	return principal.Workspace, true
}

func (v callerView) Service(name state.Service) (config.Service, bool) {
	return v.view.Service(name)
}

func (v callerView) Allows(ws state.Workspace, svc state.Service, model state.Model) result.Code {
	return v.view.Allows(ws, svc, model)
}

// observer turns finished requests into histograms.
type observer struct {
	metrics *metrics.Metrics
}

// ObserveRequest records one request.
func (o observer) ObserveRequest(rec caller.Record) {
	series := o.metrics.SeriesFor(rec.Workspace, rec.Class)
	if rec.QueueWait > 0 {
		series.RecordDispatch(rec.QueueWait)
	}
	if rec.HeadTime > 0 {
		series.RecordFirstByte(rec.HeadTime)
	}
	series.RecordResult(rec.Result, rec.TotalTime, rec.Cost)
	if rec.CrossedAnswers > 0 {
		o.metrics.AddCount("crossed_answers", int64(rec.CrossedAnswers))
	}
}

// ObserveEventGap records the time between two tokens of a stream.
func (o observer) ObserveEventGap(ws state.Workspace, class string, gap time.Duration) {
	o.metrics.SeriesFor(ws, class).RecordEventGap(gap)
}
