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
	// observeInterval is the interval between samples. Load reports are about
	// as old as one interval, so shorter intervals would return the same values
	// again.
	observeInterval = 250 * time.Millisecond
	// observeTimeout bounds one status or load request. A slow router or
	// upstream is missing from one sample and does not delay the run.
	observeTimeout = 2 * time.Second
)

// Sample is the state of the fleet at one moment. At is measured from the start
// of the run.
type Sample struct {
	At       time.Duration                    `json:"at"`
	Services map[state.Service]*ServiceSample `json:"services"`
	Control  map[state.Router]ControlTraffic  `json:"control,omitempty"`

	trafficByKind  map[state.Router]map[string]daemon.KindTraffic
	objectVersions map[state.Router]map[string]uint64
	loads          map[state.Upstream]upstreamLoad
}

// upstreamLoad is the load report of one upstream and the service it runs.
type upstreamLoad struct {
	service state.Service
	report  state.LoadReport
}

// ControlTraffic counts the control traffic of a router since it started.
type ControlTraffic struct {
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// ServiceSample is the state of one service at one moment.
type ServiceSample struct {
	// Served is the total cost served to each workspace so far, in cost units,
	// calculated from the tokens and responses that its callers have received.
	Served []float64 `json:"served"`
	// Waiting is the number of requests of each workspace that wait in the
	// queues of the routers. If no router reported its status, as in a direct
	// run, it counts the requests whose response header has not been received.
	Waiting []int `json:"waiting"`
	// Gap is the fairness gap in cost units at equal shares.
	Gap float64 `json:"gap"`
	// Running and Slots are sums over the load reports of the upstreams that
	// are not draining.
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

func (s *ServiceSample) anyWaiting() bool {
	for _, n := range s.Waiting {
		if n > 0 {
			return true
		}
	}
	return false
}

// observer samples the fleet during a run.
type observer struct {
	runner  *runner
	client  *http.Client
	gaps    map[state.Service]*gapTracker
	samples []*Sample
	// missedReports counts status and load requests that failed.
	missedReports int
}

func newObserver(r *runner) *observer {
	o := &observer{runner: r, client: &http.Client{Timeout: observeTimeout}, gaps: make(map[state.Service]*gapTracker)}
	for _, service := range r.workload.services() {
		o.gaps[service] = newGapTracker(r.workload.shares())
	}
	return o
}

// addSample takes one sample and appends it, unless the context ended in the
// meantime.
func (o *observer) addSample(ctx context.Context) {
	sample := o.takeSample(ctx)
	if ctx.Err() == nil {
		o.samples = append(o.samples, sample)
	}
}

// takeSample queries all routers and upstreams concurrently.
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
		serviceSample := o.sampleService(service, statuses)
		waiting := make([]bool, len(serviceSample.Waiting))
		for i, n := range serviceSample.Waiting {
			waiting[i] = n > 0
		}
		serviceSample.Gap = tracker.observe(serviceSample.Served, waiting)
		for _, load := range s.loads {
			if load.service == service && !load.report.Draining {
				serviceSample.Running += load.report.Running
				serviceSample.Slots += load.report.Slots
			}
		}
		s.Services[service] = serviceSample
	}
	return s
}

// sampleService returns the state of one service. It takes the number of
// waiting requests from the statuses of the routers if there are any: the callers
// cannot distinguish a queued request from one that an upstream has started and
// not answered yet.
func (o *observer) sampleService(service state.Service, statuses []daemon.Status) *ServiceSample {
	counters := o.runner.counters[service]
	sample := &ServiceSample{Served: make([]float64, len(counters)), Waiting: make([]int, len(counters))}
	for i := range counters {
		sample.Served[i] = counters[i].totalCost()
		if len(statuses) == 0 {
			sample.Waiting[i] = int(counters[i].waiting.Load())
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
					sample.Waiting[i] += w.Waiting
				}
			}
		}
	}
	return sample
}

// fetchReports adds the load reports of all upstreams and the data of all
// router statuses to the sample, and returns the statuses.
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
			load := upstreamLoad{service: u.Service}
			err := o.getJSON(ctx, u.URL+"/load", &load.report)
			collect(err, func() { s.loads[u.Name] = load })
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

// observe takes a sample at each interval until the context ends.
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
