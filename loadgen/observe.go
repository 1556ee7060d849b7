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
	At       time.Duration             `json:"at"`
	Services map[state.Service]*Moment `json:"services"`
	Control  map[state.Router]Control  `json:"control,omitempty"`

	kinds    map[state.Router]map[string]daemon.KindTraffic
	versions map[state.Router]map[string]uint64
	loads    map[state.Upstream]loadRow
}

type loadRow struct {
	service state.Service
	report  state.LoadReport
}

// Control is a router's control traffic since its start.
type Control struct {
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// Moment is one service at one moment.
type Moment struct {
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

func (m *Moment) waits() bool {
	for _, n := range m.Waiting {
		if n > 0 {
			return true
		}
	}
	return false
}

// observer takes samples of a run.
type observer struct {
	run     *runner
	client  *http.Client
	gaps    map[state.Service]*gapTracker
	samples []*Sample
	// missed counts status and load reports that did not come.
	missed int
}

func newObserver(r *runner) *observer {
	o := &observer{run: r, client: &http.Client{Timeout: observeTimeout}, gaps: make(map[state.Service]*gapTracker)}
	for _, service := range r.workload.services() {
		o.gaps[service] = newGapTracker(r.workload.shares())
	}
	return o
}

// look keeps one sample, unless the run ended while it was taken.
func (o *observer) look(ctx context.Context) {
	sample := o.sample(ctx)
	if ctx.Err() == nil {
		o.samples = append(o.samples, sample)
	}
}

// sample asks all routers and upstreams at once.
func (o *observer) sample(ctx context.Context) *Sample {
	s := &Sample{
		At:       o.run.since(),
		Services: make(map[state.Service]*Moment),
		Control:  make(map[state.Router]Control),
		kinds:    make(map[state.Router]map[string]daemon.KindTraffic),
		versions: make(map[state.Router]map[string]uint64),
		loads:    make(map[state.Upstream]loadRow),
	}
	statuses := o.fetch(ctx, s)
	for service, tracker := range o.gaps {
		m := o.moment(service, statuses)
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

// moment takes the backlog from the routers. The callers' own view counts
// requests as waiting that an upstream has begun and not yet answered.
func (o *observer) moment(service state.Service, statuses []daemon.Status) *Moment {
	counters := o.run.counters[service]
	m := &Moment{Served: make([]float64, len(counters)), Waiting: make([]int, len(counters))}
	for i := range counters {
		m.Served[i] = counters[i].total()
		if len(statuses) == 0 {
			m.Waiting[i] = int(counters[i].waiting.Load())
		}
	}
	index := make(map[state.Workspace]int)
	for i, ws := range o.run.workload.Workspaces {
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

// fetch reads every status and load report into the sample.
func (o *observer) fetch(ctx context.Context, s *Sample) []daemon.Status {
	var (
		mu       sync.Mutex
		group    sync.WaitGroup
		statuses []daemon.Status
	)
	take := func(err error, keep func()) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			o.missed++
			return
		}
		keep()
	}
	for _, router := range o.run.fleet.Routers {
		if router.Admin == "" || o.run.direct {
			continue
		}
		group.Go(func() {
			var status daemon.Status
			err := o.get(ctx, router.Admin+"/status", &status)
			take(err, func() {
				statuses = append(statuses, status)
				s.Control[router.Name] = Control(status.Control)
				s.kinds[router.Name] = status.Kinds
				s.versions[router.Name] = status.Versions
			})
		})
	}
	for _, u := range o.run.fleet.Upstreams {
		group.Go(func() {
			row := loadRow{service: u.Service}
			err := o.get(ctx, u.URL+"/load", &row.report)
			take(err, func() { s.loads[u.Name] = row })
		})
	}
	group.Wait()
	return statuses
}

func (o *observer) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token := o.run.fleet.StatusToken; token != "" {
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
		o.look(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
