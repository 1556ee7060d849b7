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

// withKeys serves KeysPath and passes all other paths to services. It does not
// use a ServeMux, because a ServeMux redirects requests whose paths are not
// clean, and such paths may be valid for an upstream.
func withKeys(keys, services http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == caller.KeysPath {
			keys.ServeHTTP(w, r)
			return
		}
		services.ServeHTTP(w, r)
	})
}

// callerSettings provides the settings in force to package caller.
type callerSettings struct {
	source *settings.Source
}

// View returns nil while the router has no settings.
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

// AuthenticateCaller refuses the tokens of operators and teams: these are for
// administration, and belong to no workspace whose share could be charged.
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

// observer records finished requests in histograms.
type observer struct {
	metrics *metrics.Metrics
}

// ObserveRequest records one finished request.
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

// ObserveEventGap records the time between two parts of a stream that contain
// tokens.
func (o observer) ObserveEventGap(ws state.Workspace, class string, gap time.Duration) {
	o.metrics.SeriesFor(ws, class).RecordEventGap(gap)
}
