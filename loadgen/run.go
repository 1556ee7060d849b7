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

// Options configures one run.
type Options struct {
	Workload Workload
	Fleet    Fleet
	// Direct sends the requests straight to the upstreams in round-robin order,
	// bypassing the routers, as a baseline.
	Direct bool
	// EntryRouters is the number of routers to which requests are sent, counted
	// from the first. If it is zero, requests are sent to all routers. The
	// other routers still serve requests for which the first ones have no free
	// slots.
	EntryRouters int
	// Grace is the time for which callers may wait for responses after the
	// scheduled end of the workload. DefaultGrace is used if it is zero.
	Grace time.Duration
}

// DefaultGrace is long enough for a long streamed completion that begins with
// the last arrival.
const DefaultGrace = 20 * time.Second

// maxIdlePerTarget is the number of idle connections kept to each target,
// enough to reuse connections in a burst. A new connection for each request
// would add the handshake to its latency and exhaust the local ports.
const maxIdlePerTarget = 2048

// runner holds the state of one run.
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

// usageCounter counts the use of one service by one workspace, as observed by
// its callers.
type usageCounter struct {
	// waiting counts requests whose response header has not been received.
	waiting atomic.Int64
	// servedThousandths is the served cost in thousandths of a cost unit.
	servedThousandths atomic.Int64
}

// thousandths is the number of thousandths in a cost unit and of microseconds
// in a millisecond.
const thousandths = 1000

func (c *usageCounter) addCost(cost float64) {
	c.servedThousandths.Add(int64(math.Round(cost * thousandths)))
}

func (c *usageCounter) totalCost() float64 { return float64(c.servedThousandths.Load()) / thousandths }

// Run sends the requests of the workload and returns the results. If the
// context ends early, Run returns the results so far together with the error of
// the context.
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

// validate sets defaults and returns an error if the options are invalid.
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

// sendAll sends each request at its intended time, regardless of the state of
// earlier ones, and waits for the responses.
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
	// Wait for the scheduled end even if the last arrivals are early. Otherwise
	// the control traffic of an idle fleet would be averaged only over the time
	// of its few arrivals.
	_ = pause.For(ctx, time.Until(r.started.Add(r.workload.duration())))
	graceTimer := time.AfterFunc(grace, cancelAnswers)
	defer graceTimer.Stop()
	group.Wait()
}
