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
	// EntryRouters is how many of the routers requests are sent to; all if zero.
	// The others still serve what the first ones cannot.
	EntryRouters int
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
	workload     Workload
	fleet        Fleet
	direct       bool
	entryRouters int
	client       *http.Client
	started      time.Time

	upstreams     map[state.Service][]Upstream
	upstreamTurns map[state.Service]*atomic.Int64
	counters      map[state.Service][]usageCounter

	mu      sync.Mutex
	records []Record
}

// usageCounter is a workspace's use of a service as its callers see it.
type usageCounter struct {
	// waiting counts requests sent whose answer has not begun.
	waiting atomic.Int64
	// servedThousandths is the cost in thousandths.
	servedThousandths atomic.Int64
}

const thousandths = 1000

func (c *usageCounter) addCost(cost float64) {
	c.servedThousandths.Add(int64(math.Round(cost * thousandths)))
}

func (c *usageCounter) totalCost() float64 { return float64(c.servedThousandths.Load()) / thousandths }

// Run sends the workload and returns what was seen. It ends early with the
// context.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	r := newRunner(options)
	calls := options.Workload.Schedule()
	observeCtx, stopObserving := context.WithCancel(ctx)
	defer stopObserving()
	o := newObserver(r)
	observerDone := make(chan struct{})
	go func() {
		defer close(observerDone)
		o.observe(observeCtx)
	}()
	r.sendAll(ctx, calls, options.Grace)
	stopObserving()
	<-observerDone
	return newResult(r, o, len(calls)), ctx.Err()
}

func (o *Options) validate() error {
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	if err := o.Workload.Validate(); err != nil {
		return err
	}
	if !o.Direct && len(o.Fleet.Routers) == 0 {
		return errors.New("load: no routers to send to")
	}
	if o.EntryRouters <= 0 || o.EntryRouters > len(o.Fleet.Routers) {
		o.EntryRouters = len(o.Fleet.Routers)
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
		workload:      options.Workload,
		fleet:         options.Fleet,
		direct:        options.Direct,
		entryRouters:  options.EntryRouters,
		client:        newClient(),
		started:       time.Now(),
		upstreams:     upstreamsByService(options.Fleet),
		upstreamTurns: make(map[state.Service]*atomic.Int64),
		counters:      make(map[state.Service][]usageCounter),
	}
	for _, service := range options.Workload.services() {
		r.upstreamTurns[service] = new(atomic.Int64)
		r.counters[service] = make([]usageCounter, len(options.Workload.Workspaces))
	}
	return r
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerTarget,
		DisableCompression:  true,
	}}
}

func (r *runner) counter(service state.Service, workspace int) *usageCounter {
	return &r.counters[service][workspace]
}

func (r *runner) elapsed() time.Duration { return time.Since(r.started) }

func (r *runner) addRecord(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
}

// sendAll starts each call at its time, whatever became of those before it,
// and waits for the answers.
func (r *runner) sendAll(ctx context.Context, calls []Call, grace time.Duration) {
	answerCtx, cancelAnswers := context.WithCancel(ctx)
	defer cancelAnswers()
	var group sync.WaitGroup
	for _, call := range calls {
		if pause.For(ctx, time.Until(r.started.Add(call.SendAt))) != nil {
			break
		}
		group.Go(func() { r.send(answerCtx, call) })
	}
	// A run without late arrivals still lasts its time: what an idle fleet
	// exchanges would be measured over the few arrivals only.
	_ = pause.For(ctx, time.Until(r.started.Add(r.workload.duration())))
	graceTimer := time.AfterFunc(grace, cancelAnswers)
	defer graceTimer.Stop()
	group.Wait()
}
