package upstream

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/pause"
)

const (
	// PollInterval is the mean time between two polls of one upstream. The
	// owner counts the requests that it has sent since a report, so reports
	// only have to show changes that it cannot know of: a drain, a restart, or
	// another router's work. One poll a second shows these well within the few
	// seconds that are required. Four polls a second were most of an owner's
	// control traffic.
	PollInterval = time.Second
	// pollJitter is the fraction by which the interval varies in both
	// directions, so that pollers that started together do not poll together.
	pollJitter = 0.2
	// pollTimeout limits one poll. An upstream that is too busy to answer
	// within a second must not get new requests.
	pollTimeout = time.Second
)

// Target is an upstream whose load report is fetched.
type Target struct {
	Upstream state.Upstream
	BaseURL  string
}

// PollerOptions configure a Poller. Zero values select the defaults.
type PollerOptions struct {
	// Wait blocks for the duration or until the context ends.
	Wait func(ctx context.Context, d time.Duration) error
	// Seed makes the jitter reproducible.
	Seed uint64
	Log  zerolog.Logger
}

// Poller fetches the load reports of a changing set of upstreams. Each upstream
// has its own goroutine, so that a slow one does not delay the others.
type Poller struct {
	client *http.Client
	emit   func(scheduler.Event)
	wait   func(ctx context.Context, d time.Duration) error
	log    zerolog.Logger

	mu     sync.Mutex
	random *rand.Rand
	ctx    context.Context
	cancel context.CancelFunc
	polls  map[Target]context.CancelFunc
	done   sync.WaitGroup
}

// NewPoller returns a poller that passes scheduler.Reported and
// scheduler.Unreachable to emit, from several goroutines. A report that is
// being fetched may still be passed on shortly after its target was removed.
func NewPoller(opts PollerOptions, emit func(scheduler.Event)) *Poller {
	if opts.Wait == nil {
		opts.Wait = pause.For
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Poller{
		client: &http.Client{Transport: newTransport(ClientOptions{Dial: dialTCP}), CheckRedirect: noRedirect},
		emit:   emit,
		wait:   opts.Wait,
		log:    opts.Log,
		random: rand.New(rand.NewPCG(opts.Seed, 0)),
		ctx:    ctx,
		cancel: cancel,
		polls:  make(map[Target]context.CancelFunc),
	}
}

// SetTargets replaces the set of upstreams. Polls of upstreams that stay in the
// set are not interrupted.
func (p *Poller) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[Target]bool, len(targets))
	for _, t := range targets {
		wanted[t] = true
	}
	for t, cancel := range p.polls {
		if !wanted[t] {
			cancel()
			delete(p.polls, t)
		}
	}
	for t := range wanted {
		p.start(t)
	}
}

func (p *Poller) start(t Target) {
	if p.polls[t] != nil || p.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.polls[t] = cancel
	p.done.Add(1)
	go p.run(ctx, t)
}

// Close stops all polls and waits until they have ended.
func (p *Poller) Close() {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.done.Wait()
	p.client.CloseIdleConnections()
}

func (p *Poller) run(ctx context.Context, t Target) {
	defer p.done.Done()
	failing := false
	for {
		report, err := p.fetch(ctx, t)
		if ctx.Err() != nil {
			return
		}
		p.logChange(t, failing, err)
		failing = err != nil
		p.emit(pollEvent(t, report, err))
		if p.wait(ctx, p.interval()) != nil {
			return
		}
	}
}

// logChange logs the first of consecutive failures, and their end. An upstream
// whose reports are rejected gets no requests, and no other log line states the
// reason.
func (p *Poller) logChange(t Target, failing bool, err error) {
	switch {
	case err != nil && !failing:
		p.log.Warn().Err(err).Str("upstream", string(t.Upstream)).Msg("load_report_missing")
	case err == nil && failing:
		p.log.Info().Str("upstream", string(t.Upstream)).Msg("load_report_back")
	}
}

func (p *Poller) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	spread := 1 + pollJitter*(2*p.random.Float64()-1)
	return time.Duration(float64(PollInterval) * spread)
}

func pollEvent(t Target, report state.LoadReport, err error) scheduler.Event {
	if err != nil {
		return scheduler.Unreachable{Upstream: t.Upstream}
	}
	return scheduler.Reported{Report: report}
}

func (p *Poller) fetch(ctx context.Context, t Target) (state.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return FetchReport(ctx, p.client, t.BaseURL, t.Upstream)
}
