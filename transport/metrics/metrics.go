package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes its metrics to the
// reporter. A scraper, which may read only every 15 s, then receives values
// that are at most one second old.
const reportInterval = time.Second

// MaxSeries limits the number of pairs of workspace and class that have
// histograms of their own. One pair has about 100 buckets, so 512 pairs take a
// few MB. Further pairs share the tag value "other". Without the limit, a fleet
// with thousands of workspaces, or a caller that invents classes, would fill
// the router's memory.
const MaxSeries = 512

// overflowTag is the tag value for pairs beyond MaxSeries and subjects beyond
// maxSubjects.
const overflowTag = "other"

// Metrics holds the metrics of one router. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	mu             sync.Mutex
	series         map[seriesKey]*Series
	decisions      counters
	admissionCosts counters
	attempts       counters
}

type seriesKey struct {
	workspace state.Workspace
	class     string
}

// Series holds the histograms of one workspace and class.
type Series struct {
	scope       tally.Scope
	queueWait   tally.Histogram
	firstByte   tally.Histogram
	eventGap    tally.Histogram
	requestTime tally.Histogram
	cost        tally.Histogram
	attempts    tally.Counter
}

// New returns Metrics with a registry of their own, so that several routers can
// run in one process. Close reports the remaining values and stops the
// reporting.
func New(router state.Router, dc state.DataCentre) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: sortByLineCount(registry)})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "figstile",
		Tags:                   map[string]string{"router": string(router), "data_centre": string(dc)},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope:   scope,
		closer:  closer,
		handler: reporter.HTTPHandler(),
		series:  make(map[seriesKey]*Series),

		decisions:      newCounters(scope, "decisions", "service", "decision"),
		admissionCosts: newCounters(scope, "admission_cost", "workspace", "decision"),
		attempts:       newCounters(scope, "upstream_attempts", "upstream", "outcome"),
	}
}

// sanitizeOptions returns the reporter's rules for names, but allows hyphens,
// dots and slashes in tag values. With the reporter's own rules, the workspaces
// "a-b" and "a_b" would share one series.
func sanitizeOptions() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'-', '_', '.', '/'},
	}
	return &options
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the remaining values and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// SetGauge sets a gauge of the whole router.
func (m *Metrics) SetGauge(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// AddCount adds to a counter of the whole router.
func (m *Metrics) AddCount(name string, delta int64) {
	m.scope.Counter(name).Inc(delta)
}

// CountDecision counts a decision on a request to a service.
func (m *Metrics) CountDecision(service state.Service, decision string) {
	m.addToCounter(&m.decisions, string(service), decision, 1)
}

// AddAdmissionCost adds the cost of a request to the counter of its workspace
// and decision. The unit is that in which the service's throughput is
// configured.
func (m *Metrics) AddAdmissionCost(ws state.Workspace, decision string, cost float64) {
	m.addToCounter(&m.admissionCosts, string(ws), decision, int64(cost))
}

// CountAttempt counts the outcome of an attempt at an upstream.
func (m *Metrics) CountAttempt(upstream state.Upstream, outcome string) {
	m.addToCounter(&m.attempts, string(upstream), outcome, 1)
}

func (m *Metrics) addToCounter(c *counters, subject, event string, delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.get(subject, event).Inc(delta)
}

// SetViewAge sets the gauge for the age of one of the router's views of the
// fleet, in seconds.
func (m *Metrics) SetViewAge(view string, age time.Duration) {
	m.scope.Tagged(map[string]string{"view": view}).Gauge("view_age_seconds").Update(age.Seconds())
}

// SetEvacuationAge sets for how long a data centre has been evacuated; 0 if it
// is not.
func (m *Metrics) SetEvacuationAge(dc state.DataCentre, age time.Duration) {
	m.scope.Tagged(map[string]string{"evacuated": string(dc)}).Gauge("evacuation_age_seconds").Update(age.Seconds())
}

// SeriesFor returns the histograms of a workspace and class.
func (m *Metrics) SeriesFor(ws state.Workspace, class string) *Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := seriesKey{workspace: ws, class: class}
	if s, ok := m.series[key]; ok {
		return s
	}
	if len(m.series) >= MaxSeries {
		key = seriesKey{workspace: overflowTag, class: overflowTag}
	}
	if s, ok := m.series[key]; ok {
		return s
	}
	s := newSeries(m.scope.Tagged(map[string]string{"workspace": string(key.workspace), "class": key.class}))
	m.series[key] = s
	return s
}

// The buckets of durations range from 1 ms to about 17 minutes, those of gaps
// between tokens from 1 ms to 2 s, and those of costs from 0.1 to about 100,000
// cost units.
var (
	durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 21)
	eventGapBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 20)
	costBuckets     = tally.MustMakeExponentialValueBuckets(0.1, 2, 21)
)

func newSeries(scope tally.Scope) *Series {
	return &Series{
		scope:       scope,
		queueWait:   scope.Histogram("queue_wait_seconds", durationBuckets),
		firstByte:   scope.Histogram("first_token_seconds", durationBuckets),
		eventGap:    scope.Histogram("between_tokens_seconds", eventGapBuckets),
		requestTime: scope.Histogram("request_seconds", durationBuckets),
		cost:        scope.Histogram("cost_units", costBuckets),
		attempts:    scope.Counter("attempts"),
	}
}

// RecordDispatch records a dispatch and the time that the request waited for
// it.
func (s *Series) RecordDispatch(wait time.Duration) {
	s.attempts.Inc(1)
	s.queueWait.RecordDuration(wait)
}

// RecordFirstByte records the time from arrival to the first part of the
// answer.
func (s *Series) RecordFirstByte(d time.Duration) { s.firstByte.RecordDuration(d) }

// RecordEventGap records the time between two parts of an answer.
func (s *Series) RecordEventGap(d time.Duration) { s.eventGap.RecordDuration(d) }

// RecordResult records the result, total time and cost of a finished request.
func (s *Series) RecordResult(r result.Result, total time.Duration, cost state.Cost) {
	s.requestTime.RecordDuration(total)
	s.cost.RecordValue(float64(cost) / float64(state.CostUnit))
	s.scope.Tagged(map[string]string{"result": result.Lookup(r.Code).Name, "ran": r.Ran.String()}).Counter("results").Inc(1)
}
