package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/budget"
	"github.com/figstile/figstile/coordination/coldstart"
	"github.com/figstile/figstile/coordination/drain"
	"github.com/figstile/figstile/coordination/evacuation"
	"github.com/figstile/figstile/coordination/freshness"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/ingress"
)

// defaultConfigLimit is the time within which a change of the configuration
// must be in force if the settings do not set one.
const defaultConfigLimit = 2 * time.Second

// dispatcher makes all decisions under one lock: each takes microseconds, and
// all need a consistent view.
type dispatcher struct {
	settings Settings
	now      func() time.Time
	pressure *pressure

	mu       sync.Mutex
	table    *routing.Table
	loadView *placement.View
	// coldSenders determines to which cold upstreams this router may send.
	coldSenders  *coldstart.Senders
	evacuations  *evacuation.Set
	ledger       *shares.Ledger
	retryBudgets map[state.Service]*budget.Budget
	quarantined  *quarantine.List
	// suspicions are requests whose connection to an upstream broke. lostRuns
	// are the runs of the upstreams that they were sent to. A run lasts from
	// the start of an upstream's process to its end.
	suspicions      quarantine.Suspicions
	lostRuns        map[state.Upstream]quarantine.Run
	refusedRequests admission.RetryTracker
	routerCount     int
	freshness       freshness.Tracker
	// drain is the state of the router's stop. It is the zero value until the
	// router is told to stop.
	drain          drain.Drain
	stallCallbacks map[*placement.Ticket]func()
	// stalledEarly holds the attempts that were to be cancelled before their
	// callbacks were known.
	stalledEarly map[*placement.Ticket]bool
	// charges are the costs charged to workspaces for running attempts.
	charges map[*placement.Ticket]charge
	// urgentPublish triggers an immediate report of this router's load to
	// peers.
	urgentPublish chan struct{}
	// onLostRequest, onServed and onTrial tell peers that an upstream's run ended
	// with a request, that a suspected request was answered, and that a blocked
	// one is tried again.
	onLostRequest func(lost lostRequest)
	onServed      func(f state.Fingerprint)
	onTrial       func(f state.Fingerprint)
}

func newDispatcher(settings Settings, now func() time.Time) *dispatcher {
	loadView := placement.New(settings.DataCentre)
	loadView.SeedScatter(xxhash.Sum64String(string(settings.Router)))
	loadView.SetRegions(settings.Regions)
	coldSenders := coldstart.NewSenders(now(), settings.Router)
	loadView.LimitColdStarts(settings.ColdLimit, coldSenders)
	return &dispatcher{
		settings:       settings,
		now:            now,
		pressure:       newPressure(settings.MaxFiles, settings.CPUCores, now),
		loadView:       loadView,
		coldSenders:    coldSenders,
		evacuations:    evacuation.New(),
		ledger:         shares.New(),
		retryBudgets:   make(map[state.Service]*budget.Budget),
		quarantined:    quarantine.New(quarantine.DefaultCapacity),
		lostRuns:       make(map[state.Upstream]quarantine.Run),
		stallCallbacks: make(map[*placement.Ticket]func()),
		stalledEarly:   make(map[*placement.Ticket]bool),
		charges:        make(map[*placement.Ticket]charge),
		routerCount:    1,
		urgentPublish:  make(chan struct{}, 1),
		onLostRequest:  func(lostRequest) {},
		onServed:       func(state.Fingerprint) {},
		onTrial:        func(state.Fingerprint) {},
	}
}

var _ ingress.Dispatcher = (*dispatcher)(nil)

// Table implements ingress.Dispatcher. It returns nil while this router does not
// know which data centres are evacuated.
func (d *dispatcher) Table() *routing.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.knowsEvacuations() {
		return nil
	}
	return d.table
}

// ConfigStatus implements ingress.Dispatcher.
func (d *dispatcher) ConfigStatus() freshness.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freshness.Status(d.now(), d.configLimit())
}

// Admit implements ingress.Dispatcher.
func (d *dispatcher) Admit(r admission.Request, retry bool) (admission.Verdict, *placement.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if !retry {
		d.retryBudget(r.Service).RecordRequest(now, d.retryLimits())
		d.ledger.RecordRequested(now, r.Workspace, r.Cost)
	}
	verdict := d.decide(now, r)
	if !verdict.IsAdmitted() {
		if len(r.Prompt) > 0 {
			d.refusedRequests.RecordRefusal(now, r.Fingerprint, r.Elapsed)
		}
		return verdict, nil
	}
	estimate := verdict.Estimate
	if estimate.UncachedTokens >= longPromptTokens {
		d.requestPublish()
	}
	ticket := d.loadView.Place(now, r.Work, estimate)
	if r.Cost > 0 && !r.Resumed {
		d.ledger.RecordAdmitted(now, r.Workspace, r.Cost)
		d.charges[ticket] = charge{at: now, workspace: r.Workspace, cost: r.Cost}
	}
	d.pressure.countRequest(ticket.OnEngine())
	return verdict, ticket
}

// requestPublish requests that changed loads are sent to peers before the next
// interval.
func (d *dispatcher) requestPublish() {
	select {
	case d.urgentPublish <- struct{}{}:
	default:
	}
}

// decide decides on a request, based on its workspace's use of its share.
func (d *dispatcher) decide(now time.Time, r admission.Request) admission.Verdict {
	standing := shares.Standing{}
	if r.Cost > 0 && d.table != nil {
		standing = d.ledger.Standing(now, r.Workspace, d.table.Limits().Throughput)
	}
	if d.drain.Begun() {
		r.RouterRemaining = max(d.drain.RunTimeLeft(now), time.Nanosecond)
	}
	return admission.Admit(now, d.loadView, r, standing, rand.Float64())
}

// OnStall implements ingress.Dispatcher.
func (d *dispatcher) OnStall(t *placement.Ticket, cancel func()) {
	d.mu.Lock()
	d.stallCallbacks[t] = cancel
	stalled := d.stalledEarly[t]
	delete(d.stalledEarly, t)
	d.mu.Unlock()
	if stalled {
		cancel()
	}
}

// ReportOutput implements ingress.Dispatcher.
func (d *dispatcher) ReportOutput(t *placement.Ticket, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first {
		if t.OnEngine() {
			d.pressure.cpuEstimate.StreamStarted()
		}
		d.loadView.RecordFirstOutput(d.now(), t)
		return
	}
	d.loadView.RecordOutput(d.now(), t)
}

// cancelStalled cancels the attempts that are not expected to be answered and
// returns their number.
func (d *dispatcher) cancelStalled() int {
	d.mu.Lock()
	stalled := d.loadView.TakeStalled(d.now(), d.spendRetry)
	var cancels []func()
	for _, t := range stalled {
		if cancel, ok := d.stallCallbacks[t]; ok {
			cancels = append(cancels, cancel)
		} else {
			d.stalledEarly[t] = true
		}
	}
	d.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	return len(stalled)
}

// End implements ingress.Dispatcher.
func (d *dispatcher) End(t *placement.Ticket, outcome placement.Outcome) {
	d.mu.Lock()
	delete(d.stallCallbacks, t)
	delete(d.stalledEarly, t)
	if t.OnEngine() {
		d.pressure.countStreamEnd(t.Answering(), answeredEvents(t, outcome))
		if outcome == placement.Unconnected || outcome == placement.Rejected {
			d.pressure.countUnsentStream()
		}
	}
	d.refundUnstarted(t, outcome)
	d.loadView.RecordEnd(d.now(), t, outcome)
	var lost []lostRequest
	if outcome == placement.Unconnected {
		lost = d.recordUpstreamLoss(t.Upstream())
	}
	d.mu.Unlock()
	d.reportLost(lost)
}

// charge is the cost charged to a workspace for an attempt.
type charge struct {
	at        time.Time
	workspace state.Workspace
	cost      float64
}

// refundUnstarted reverts the charge of an attempt that did not start. An
// upstream that is down looks idle and attracts requests. Without the refund, a
// workspace near its share would be refused because of requests that never ran.
func (d *dispatcher) refundUnstarted(t *placement.Ticket, outcome placement.Outcome) {
	c, ok := d.charges[t]
	delete(d.charges, t)
	if ok && outcome != placement.Answered && !t.Answering() {
		d.ledger.RevertAdmitted(c.at, c.workspace, c.cost)
	}
}

// answeredEvents returns the number of events that a ticket's attempt has
// received, or 0 if the attempt was not answered completely.
func answeredEvents(t *placement.Ticket, outcome placement.Outcome) int {
	if outcome != placement.Answered {
		return 0
	}
	return t.Outputs()
}

func (d *dispatcher) retryBudget(service state.Service) *budget.Budget {
	b := d.retryBudgets[service]
	if b == nil {
		b = &budget.Budget{}
		d.retryBudgets[service] = b
	}
	return b
}

func (d *dispatcher) retryLimits() budget.Limits {
	return budget.Limits{Ratio: d.settings.RetryRatio, Slack: d.settings.RetrySlack, Window: d.settings.RetryWindow}
}

// SpendRetry implements ingress.Dispatcher.
func (d *dispatcher) SpendRetry(service state.Service) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.spendRetry(service)
}

// spendRetry implements SpendRetry. The caller holds the lock.
func (d *dispatcher) spendRetry(service state.Service) bool {
	return d.retryBudget(service).TryRepeat(d.now(), d.retryLimits(), d.routerCount)
}

// ElapsedSinceFirst implements ingress.Dispatcher.
func (d *dispatcher) ElapsedSinceFirst(f state.Fingerprint) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusedRequests.Elapsed(d.now(), f)
}

// ReportLost implements ingress.Dispatcher. A lost connection does not prove
// that the request crashed the upstream: answers are also lost on healthy
// upstreams, and two such losses would quarantine a page that many callers
// fetch. The loss only counts once this router detects that the upstream has
// stopped.
func (d *dispatcher) ReportLost(f state.Fingerprint, t *placement.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspicions.Add(f, t.Upstream(), quarantine.Loss{StartedAt: t.PlacedAt(), LostAt: d.now()})
	d.lostRuns[t.Upstream()] = t.Run()
}

// recordUpstreamLoss counts the suspected requests of a run of an upstream that
// has ended and returns those that peers have to be informed of. The caller
// holds the lock.
func (d *dispatcher) recordUpstreamLoss(id state.Upstream) []lostRequest {
	run, ok := d.lostRuns[id]
	if !ok {
		return nil
	}
	delete(d.lostRuns, id)
	now := d.now()
	var lost []lostRequest
	for _, suspect := range d.suspicions.Confirm(now, id) {
		if d.quarantined.RecordCrash(now, suspect.Fingerprint, run, suspect.Loss) {
			lost = append(lost, lostRequest{suspect.Fingerprint, run, suspect.Loss})
		}
	}
	return lost
}

// lostRequest is a request that was running when a run of an upstream ended.
type lostRequest struct {
	fingerprint state.Fingerprint
	run         quarantine.Run
	loss        quarantine.Loss
}

// reportLost reports lost requests to peers. The caller must not hold any lock of
// this package.
func (d *dispatcher) reportLost(lost []lostRequest) {
	for _, request := range lost {
		d.onLostRequest(request)
	}
}

// receiveLost handles a peer's report that an upstream's run ended while it ran
// a request.
func (d *dispatcher) receiveLost(lost lostRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantined.RecordCrash(d.now(), lost.fingerprint, lost.run, lost.loss)
}

// Drain implements ingress.Dispatcher.
func (d *dispatcher) Drain() drain.Drain {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drain
}

// AtCapacity implements ingress.Dispatcher.
func (d *dispatcher) AtCapacity() bool { return d.pressure.atCapacity() }

// AtCapacityFor implements ingress.Dispatcher.
func (d *dispatcher) AtCapacityFor(ws state.Workspace) bool {
	return d.pressure.nearCapacity() && d.usedFairShare(ws)
}

// usedFairShare reports whether a workspace has used its whole fair share.
func (d *dispatcher) usedFairShare(ws state.Workspace) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ws == "" || d.table == nil {
		return false
	}
	return d.ledger.Standing(d.now(), ws, d.table.Limits().Throughput).ShareUse >= 1
}

// beginDrain starts the router's drain, if it has not started, and returns its
// state.
func (d *dispatcher) beginDrain() drain.Drain {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.drain.Begun() {
		d.drain = drain.Begin(d.now(), d.settings.GracePeriod)
	}
	return d.drain
}

// setTable applies a newer configuration.
func (d *dispatcher) setTable(table *routing.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = table
	d.loadView.SetServices(table.Services())
}

// setUpstream applies the state of an upstream in its newest entry. present is
// false if the upstream was removed. It returns the requests that were lost with
// an earlier run of the upstream; the caller passes them to reportLost.
func (d *dispatcher) setUpstream(id state.Upstream, u directory.Upstream, present bool) (lost []lostRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !present || d.lostRuns[id] != placement.RunOf(u) {
		lost = d.recordUpstreamLoss(id)
	}
	if present {
		d.loadView.SetUpstream(u)
		d.loadView.SetColdTime(d.now(), id, u.ColdFor)
	} else {
		d.loadView.RemoveUpstream(id)
	}
	return lost
}

// configLimit is the age up to which a confirmation of the configuration counts.
// A change that was acknowledged longer ago must be in force.
func (d *dispatcher) configLimit() time.Duration { return configLimit(d.settings) }

func configLimit(s Settings) time.Duration {
	if s.ConfigLimit > 0 {
		return s.ConfigLimit
	}
	return defaultConfigLimit
}

// confirmConfig records that the store held no newer configuration than the
// given revision at a time.
func (d *dispatcher) confirmConfig(revision uint64, source string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freshness.Confirm(freshness.Sighting{Revision: revision, Source: source, At: at})
}

// configConfirmation returns the configuration held and the age of its latest
// confirmation by the store. ok is false if there is none.
func (d *dispatcher) configConfirmation() (revision uint64, age time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	revision, at, ok := d.freshness.Confirmation()
	return revision, d.now().Sub(at), ok
}

// configHeld records that a configuration was taken. It returns for how long
// this router had known of it.
func (d *dispatcher) configHeld(revision uint64, source string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freshness.Held(freshness.Sighting{Revision: revision, Source: source, At: d.now()})
}

// configRefused records that a received configuration was not taken.
func (d *dispatcher) configRefused(revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freshness.Refused(revision)
}

// configSeen records that a source holds a revision of the configuration.
func (d *dispatcher) configSeen(revision uint64, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freshness.Seen(freshness.Sighting{Revision: revision, Source: source, At: d.now()})
}

// configLagging reports, once for each revision, that this router lacks a
// configuration that it has known of for a while.
func (d *dispatcher) configLagging() (freshness.Status, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	return d.freshness.Status(now, d.configLimit()), d.freshness.Lagging(now)
}

func (d *dispatcher) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table != nil && d.knowsEvacuations() && !d.drain.Begun() && d.pressure.acceptsNewCallers()
}
