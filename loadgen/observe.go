package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/daemon"
)

const (
	// observeInterval is the period of samples. Load reports lag by about as
	// much, so more would show nothing new.
	observeInterval = 250 * time.Millisecond
	// observeTimeout lets a slow target miss a sample and not the run.
	observeTimeout = 2 * time.Second
)

// Sample is the fleet at one moment of the run.
type Sample struct {
	At       time.Duration                    `json:"at"`
	Services map[state.Service]*ServiceSample `json:"services"`
	Control  map[state.Router]ControlTraffic  `json:"control,omitempty"`

	trafficByKind  map[state.Router]map[string]daemon.KindTraffic
	objectVersions map[state.Router]map[string]uint64
	loads          map[state.Upstream]upstreamLoad
}

type upstreamLoad struct {
	service state.Service
	report  state.LoadReport
}

// ControlTraffic is a router's control traffic since its start.
type ControlTraffic struct {
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// ServiceSample is one service at one moment.
type ServiceSample struct {
	// Served is each workspace's cost so far, by the tokens and answers that
	// its callers received.
	Served []float64 `json:"served"`
	// Waiting counts requests that wait at the routers, or in a direct run
	// those whose answer has not begun.
	Waiting []int `json:"waiting"`
	// Gap is the fairness gap, as service at equal shares.
	Gap float64 `json:"gap"`
	// Running and Slots are sums over the upstreams' load reports.
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

func (m *ServiceSample) anyWaiting() bool {
	for _, n := range m.Waiting {
		if n > 0 {
			return true
		}
	}
	return false
}

// observer takes samples of a run.
type observer struct {
	runner  *runner
	client  *http.Client
	gaps    map[state.Service]*gapTracker
	samples []*Sample
	// missedReports counts status and load reports that did not come.
	missedReports int
}

func newObserver(r *runner) *observer {
	o := &observer{runner: r, client: &http.Client{Timeout: observeTimeout}, gaps: make(map[state.Service]*gapTracker)}
	for _, service := range r.workload.services() {
		o.gaps[service] = newGapTracker(r.workload.shares())
	}
	return o
}

// addSample keeps one sample, unless the run ended while it was taken.
func (o *observer) addSample(ctx context.Context) {
	sample := o.takeSample(ctx)
	if ctx.Err() == nil {
		o.samples = append(o.samples, sample)
	}
}

// takeSample asks all routers and upstreams at once.
func (o *observer) takeSample(ctx context.Context) *Sample {
	s := &Sample{
		At:             o.runner.elapsed(),
		Services:       make(map[state.Service]*ServiceSample),
		Control:        make(map[state.Router]ControlTraffic),
		trafficByKind:  make(map[state.Router]map[string]daemon.KindTraffic),
		objectVersions: make(map[state.Router]map[string]uint64),
		loads:          make(map[state.Upstream]upstreamLoad),
	}
	statuses := o.fetchReports(ctx, s)
	for service, tracker := range o.gaps {
		m := o.sampleService(service, statuses)
		waiting := make([]bool, len(m.Waiting))
		for i, n := range m.Waiting {
			waiting[i] = n > 0
		}
		m.Gap = tracker.observe(m.Served, waiting)
		for _, row := range s.loads {
			if row.service == service && !row.report.Draining {
				m.Running += row.report.Running
				m.Slots += row.report.Slots
			}
		}
		s.Services[service] = m
	}
	return s
}

// sampleService takes the backlog from the routers. The callers' own view counts
// requests as waiting that an upstream has begun and not yet answered.
func (o *observer) sampleService(service state.Service, statuses []daemon.Status) *ServiceSample {
	counters := o.runner.counters[service]
	m := &ServiceSample{Served: make([]float64, len(counters)), Waiting: make([]int, len(counters))}
	for i := range counters {
		m.Served[i] = counters[i].totalCost()
		if len(statuses) == 0 {
			m.Waiting[i] = int(counters[i].waiting.Load())
		}
	}
	index := make(map[state.Workspace]int)
	for i, ws := range o.runner.workload.Workspaces {
		index[ws.Name] = i
	}
	for _, status := range statuses {
		for _, svc := range status.Services {
			if svc.Name != service {
				continue
			}
			for _, w := range svc.Workspaces {
				if i, ok := index[w.Name]; ok {
					m.Waiting[i] += w.Waiting
				}
			}
		}
	}
	return m
}

// fetchReports reads every status and load report into the sample.
func (o *observer) fetchReports(ctx context.Context, s *Sample) []daemon.Status {
	var (
		mu       sync.Mutex
		group    sync.WaitGroup
		statuses []daemon.Status
	)
	collect := func(err error, keep func()) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			o.missedReports++
			return
		}
		keep()
	}
	for _, router := range o.runner.fleet.Routers {
		if router.AdminURL == "" || o.runner.direct {
			continue
		}
		group.Go(func() {
			var status daemon.Status
			err := o.getJSON(ctx, router.AdminURL+"/status", &status)
			collect(err, func() {
				statuses = append(statuses, status)
				s.Control[router.Name] = ControlTraffic(status.Control)
				s.trafficByKind[router.Name] = status.Kinds
				s.objectVersions[router.Name] = status.Versions
			})
		})
	}
	for _, u := range o.runner.fleet.Upstreams {
		group.Go(func() {
			row := upstreamLoad{service: u.Service}
			err := o.getJSON(ctx, u.URL+"/load", &row.report)
			collect(err, func() { s.loads[u.Name] = row })
		})
	}
	group.Wait()
	return statuses
}

func (o *observer) getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token := o.runner.fleet.StatusToken; token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := o.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("load: %s answers %s", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// observe samples until the context ends.
func (o *observer) observe(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		o.addSample(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
