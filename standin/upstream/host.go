package upstream

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/figstile/figstile/state"
)

// HeaderAttempt is the header that carries the id of an attempt. Upstreams
// repeat it in the answer.
const HeaderAttempt = "Figstile-Attempt"

// HeaderIdempotencyKey is the header that carries the caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Options configures a Host.
type Options struct {
	Name state.Upstream
	// Slots is the maximum number of requests that run at once; 1 if zero.
	Slots int
	// Models lists the models that are loaded after each start.
	Models []state.Model
	// LoadLag is the minimum age of the load reports that the upstream returns.
	LoadLag time.Duration
	Faults  Faults
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Sleep waits for a duration or until the context ends; it waits in real
	// time if nil.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Host runs the requests of one upstream. It has no priorities: requests that
// find no free slot wait in order of arrival.
type Host struct {
	opts   Options
	ledger Ledger
	slots  *slotQueue

	mu           sync.Mutex
	faults       Faults
	models       []state.Model
	running      int
	waiting      int
	draining     bool
	load         loadHistory
	frozenReport *state.LoadReport
	run          processRun
	server       *restartableServer
}

// processRun is one run of the upstream's process, from its start to its crash.
type processRun struct {
	number int
	ctx    context.Context
	cancel context.CancelFunc
	down   bool
}

// NewHost returns a running host.
func NewHost(opts Options) *Host {
	opts.Slots = max(opts.Slots, 1)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Sleep == nil {
		opts.Sleep = Sleep
	}
	h := &Host{
		opts:   opts,
		slots:  &slotQueue{free: opts.Slots},
		faults: opts.Faults,
		load:   loadHistory{lag: opts.LoadLag},
	}
	h.startRun()
	return h
}

// Sleep waits in real time for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startRun begins a new run of the process. The caller holds the lock or has
// exclusive access to the host.
func (h *Host) startRun() {
	ctx, cancel := context.WithCancel(context.Background())
	h.run = processRun{number: h.run.number + 1, ctx: ctx, cancel: cancel}
	h.models = slices.Clone(h.opts.Models)
	h.draining = false
	h.recordLoad()
}

// bootName returns the Boot that load reports contain during the current run.
func (h *Host) bootName() string { return fmt.Sprintf("%s-%d", h.opts.Name, h.run.number) }

// recordLoad records the current load. The caller holds the lock.
func (h *Host) recordLoad() {
	h.load.add(h.opts.Now(), state.LoadReport{
		Upstream: h.opts.Name,
		Boot:     h.bootName(),
		Running:  h.running,
		Waiting:  h.waiting,
		Slots:    h.opts.Slots,
		Draining: h.draining,
		Models:   slices.Clone(h.models),
	})
}

// changeState calls f under the lock and records the load afterwards.
func (h *Host) changeState(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.recordLoad()
}

// Load returns the load report that readers see now: the latest one that is at
// least LoadLag old, or the oldest one if none is. Under FreezeLoadReport it
// returns the same report each time.
func (h *Host) Load() state.LoadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.faults.FreezeLoadReport {
		h.frozenReport = nil
		return h.load.visibleReport(h.opts.Now())
	}
	if h.frozenReport == nil {
		report := h.load.visibleReport(h.opts.Now())
		h.frozenReport = &report
	}
	return *h.frozenReport
}

// Ledger returns the record of all received requests.
func (h *Host) Ledger() *Ledger { return &h.ledger }

// SetDraining sets whether load reports ask for no new work. New requests still
// run, but the ledger marks them.
func (h *Host) SetDraining(draining bool) { h.changeState(func() { h.draining = draining }) }

// SetFaults replaces the faults.
func (h *Host) SetFaults(f Faults) { h.changeState(func() { h.faults = f }) }

// Faults returns the current faults, with the counts that remain.
func (h *Host) Faults() Faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

// Models returns the models that are loaded now.
func (h *Host) Models() []state.Model {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.models)
}

// HasModel reports whether a model is loaded now.
func (h *Host) HasModel(model state.Model) bool { return slices.Contains(h.Models(), model) }

// SetModelLoaded adds a model to the loaded models or removes it.
func (h *Host) SetModelLoaded(model state.Model, loaded bool) {
	h.changeState(func() {
		h.models = slices.DeleteFunc(h.models, func(m state.Model) bool { return m == model })
		if loaded {
			h.models = append(h.models, model)
		}
	})
}

// Sleep waits for a duration multiplied by the faults' DelayFactor, or until
// the context ends.
func (h *Host) Sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	return h.opts.Sleep(ctx, h.Faults().scaleDelay(d))
}

// Crash ends the current run and closes every connection. Unless
// Faults.StayDown is set, the upstream restarts at once with a new Boot and
// with empty memory.
func (h *Host) Crash() { h.crashRun(h.currentRun()) }

// crashRun ends one particular run. If two requests crash the same run, the
// second one therefore does not end the next run as well.
func (h *Host) crashRun(r processRun) {
	if !h.markDown(r) {
		return
	}
	r.cancel()
	if h.server != nil {
		h.server.close()
	}
	if !h.Faults().StayDown {
		// If listening again fails, the upstream stays down, as with StayDown.
		_ = h.Restart()
	}
}

func (h *Host) currentRun() processRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.run
}

// markDown marks a run as down and reports whether it was the current run and
// still up.
func (h *Host) markDown(r processRun) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.run.down || h.run.number != r.number {
		return false
	}
	h.run.down = true
	return true
}

// Restart starts a crashed upstream with a new Boot. It does nothing if the
// upstream is up.
func (h *Host) Restart() error {
	if !h.currentRun().down {
		return nil
	}
	if h.server != nil {
		if err := h.server.listen(); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startRun()
	return nil
}

// Start serves a handler on a TCP address until stop is called. A crash closes
// the listener as well. Start must be called before the host receives requests.
func (h *Host) Start(addr string, handler http.Handler) (baseURL string, stop func(), err error) {
	h.server, err = startRestartableServer(addr, handler)
	if err != nil {
		return "", nil, err
	}
	return h.server.baseURL(), h.server.close, nil
}
