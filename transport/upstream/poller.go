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
	// owner counts what it has sent since a report, so that reports only
	// have to show what it cannot know: a drain, a restart, or another
	// router's work. One a second shows these well within the few seconds
	// promised; four a second took most of an owner's control traffic.
	PollInterval = time.Second
	// pollJitter spreads the interval by this part either way, so that
	// pollers that started together do not poll together.
	pollJitter = 0.2
	// pollTimeout bounds one poll. An upstream too busy to answer for a
	// second is no place for new work.
	pollTimeout = time.Second
)

// Target is one upstream whose load report is fetched.
type Target struct {
	Upstream state.Upstream
	BaseURL  string
}

// PollerOptions configure a Poller. Zero values take the defaults.
type PollerOptions struct {
	// Wait blocks for the duration or until the context ends.
	Wait func(ctx context.Context, d time.Duration) error
	// Seed makes the jitter repeatable.
	Seed uint64
	Log  zerolog.Logger
}

// Poller fetches the load report of a changing set of upstreams, each in a
// goroutine of its own, so that a slow one delays no other.
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
// scheduler.Unreachable to emit, from several goroutines. A report under way
// may still be passed on shortly after its target was removed.
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

// SetTargets replaces the set of upstreams. Those that stay are not disturbed.
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

// Close stops all polls and waits for them.
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

// logChange logs the first of a row of failures, and its end. An upstream whose
// reports are refused gets no work, and nothing else would say why.
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
