package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/pause"
)

// Options are one run.
type Options struct {
	Workload Workload
	Fleet    Fleet
	// Direct sends to the upstreams in turn and by no router, as a baseline.
	Direct bool
	// Arrive is how many of the routers requests are sent to; all if zero.
	// The others still serve what the first ones cannot.
	Arrive int
	// Grace is how long callers may wait for answers after the last arrival;
	// DefaultGrace if zero.
	Grace time.Duration
}

// DefaultGrace lets a long guide end that began with the last arrival.
const DefaultGrace = 20 * time.Second

// maxIdlePerTarget keeps connections for bursts: new ones for each request
// would measure the handshake and use up local ports.
const maxIdlePerTarget = 2048

// runner is one run under way.
type runner struct {
	workload Workload
	fleet    Fleet
	direct   bool
	arrive   int
	client   *http.Client
	started  time.Time

	upstreams map[state.Service][]Upstream
	turns     map[state.Service]*atomic.Int64
	counters  map[state.Service][]counter

	mu      sync.Mutex
	records []Record
}

// counter is a workspace's use of a service as its callers see it.
type counter struct {
	// waiting counts requests sent whose answer has not begun.
	waiting atomic.Int64
	// served is the cost in thousandths.
	served atomic.Int64
}

const thousandths = 1000

func (c *counter) serve(cost float64) { c.served.Add(int64(math.Round(cost * thousandths))) }

func (c *counter) total() float64 { return float64(c.served.Load()) / thousandths }

// Run sends the workload and returns what was seen. It ends early with the
// context.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	r := newRunner(options)
	calls := options.Workload.Schedule()
	observing, stopObserving := context.WithCancel(ctx)
	defer stopObserving()
	o := newObserver(r)
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.observe(observing)
	}()
	r.sendAll(ctx, calls, options.Grace)
	stopObserving()
	<-done
	return newResult(r, o, len(calls)), ctx.Err()
}

func (o *Options) check() error {
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	if err := o.Workload.Check(); err != nil {
		return err
	}
	if !o.Direct && len(o.Fleet.Routers) == 0 {
		return errors.New("load: no routers to send to")
	}
	if o.Arrive <= 0 || o.Arrive > len(o.Fleet.Routers) {
		o.Arrive = len(o.Fleet.Routers)
	}
	byService := upstreamsByService(o.Fleet)
	for _, service := range o.Workload.services() {
		if o.Direct && len(byService[service]) == 0 {
			return fmt.Errorf("load: no upstreams of %s to send to", service)
		}
	}
	return nil
}

func newRunner(options Options) *runner {
	r := &runner{
		workload:  options.Workload,
		fleet:     options.Fleet,
		direct:    options.Direct,
		arrive:    options.Arrive,
		client:    newClient(),
		started:   time.Now(),
		upstreams: upstreamsByService(options.Fleet),
		turns:     make(map[state.Service]*atomic.Int64),
		counters:  make(map[state.Service][]counter),
	}
	for _, service := range options.Workload.services() {
		r.turns[service] = new(atomic.Int64)
		r.counters[service] = make([]counter, len(options.Workload.Workspaces))
	}
	return r
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerTarget,
		DisableCompression:  true,
	}}
}

func (r *runner) counter(service state.Service, workspace int) *counter {
	return &r.counters[service][workspace]
}

func (r *runner) since() time.Duration { return time.Since(r.started) }

func (r *runner) keep(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
}

// sendAll starts each call at its time, whatever became of those before it,
// and waits for the answers.
func (r *runner) sendAll(ctx context.Context, calls []Call, grace time.Duration) {
	waiting, giveUp := context.WithCancel(ctx)
	defer giveUp()
	var group sync.WaitGroup
	for _, call := range calls {
		if pause.For(ctx, time.Until(r.started.Add(call.At))) != nil {
			break
		}
		group.Go(func() { r.send(waiting, call) })
	}
	// A run without late arrivals still lasts its time: what an idle fleet
	// exchanges would be measured over the few arrivals only.
	_ = pause.For(ctx, time.Until(r.started.Add(r.workload.length())))
	stop := time.AfterFunc(grace, giveUp)
	defer stop.Stop()
	group.Wait()
}
