package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/admission"
	"github.com/figstile/figstile/coordination/budget"
	"github.com/figstile/figstile/coordination/drain"
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/ingress"
)

// currentWithin is how long after the last word of the store, or of a peer
// that reads it, this router still claims to hold the newest configuration.
const currentWithin = 3 * time.Second

// dispatcher hosts the decisions behind one lock: each takes microseconds, and all
// need the same picture.
type dispatcher struct {
	settings Settings
	now      func() time.Time
	pressure *pressure

	mu      sync.Mutex
	table   *routing.Table
	picture *placement.View
	ledger  *shares.Ledger
	budgets map[state.Service]*budget.Budget
	blocked *quarantine.List
	// suspicions are requests whose connection broke, lostRuns the runs of
	// upstreams that those were on.
	suspicions quarantine.Suspicions
	lostRuns   map[state.Upstream]quarantine.Run
	returns    admission.RetryTracker
	routers    int
	heard      time.Time
	// course is that of the stop, once the router was told to.
	course  drain.Drain
	watched map[*placement.Ticket]func()
	// charges are what workspaces were charged for attempts under way.
	charges map[*placement.Ticket]charge
	// urgent asks for this router's load to be told at once.
	urgent chan struct{}
	onLost func(f state.Fingerprint, run quarantine.Run)
}

func newDispatcher(settings Settings, now func() time.Time) *dispatcher {
	picture := placement.New(settings.DataCentre)
	picture.SeedScatter(xxhash.Sum64String(string(settings.Router)))
	return &dispatcher{
		settings: settings,
		now:      now,
		pressure: newPressure(settings.MaxFiles, settings.Processors, now),
		picture:  picture,
		ledger:   shares.New(),
		budgets:  make(map[state.Service]*budget.Budget),
		blocked:  quarantine.New(quarantine.DefaultCapacity),
		lostRuns: make(map[state.Upstream]quarantine.Run),
		watched:  make(map[*placement.Ticket]func()),
		charges:  make(map[*placement.Ticket]charge),
		routers:  1,
		urgent:   make(chan struct{}, 1),
		onLost:   func(state.Fingerprint, quarantine.Run) {},
	}
}

var _ ingress.Dispatcher = (*dispatcher)(nil)

// Table implements ingress.Dispatcher.
func (d *dispatcher) Table() *routing.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table
}

// Current implements ingress.Dispatcher.
func (d *dispatcher) Current() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.heard.IsZero() && d.now().Sub(d.heard) <= currentWithin
}

// Admit implements ingress.Dispatcher.
func (d *dispatcher) Admit(r admission.Request, repeat bool) (admission.Verdict, *placement.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if !repeat {
		d.budget(r.Service).RecordRequest(now, d.retryLimits())
		d.ledger.RecordRequested(now, r.Workspace, r.Cost)
	}
	verdict := d.judge(now, r)
	if !verdict.IsAdmitted() {
		if len(r.Prompt) > 0 {
			d.returns.RecordRefusal(now, r.Fingerprint, r.Elapsed)
		}
		return verdict, nil
	}
	best := verdict.Estimate
	if best.UncachedTokens >= longPrompt {
		d.wakeUp()
	}
	ticket := d.picture.Place(now, r.Work, best)
	if r.Cost > 0 && !r.Resumed {
		d.ledger.RecordAdmitted(now, r.Workspace, r.Cost)
		d.charges[ticket] = charge{at: now, workspace: r.Workspace, cost: r.Cost}
	}
	d.pressure.requested(ticket.OnEngine())
	return verdict, ticket
}

// wakeUp asks for what changed to be told before its turn.
func (d *dispatcher) wakeUp() {
	select {
	case d.urgent <- struct{}{}:
	default:
	}
}

// judge judges a request by its workspace's standing.
func (d *dispatcher) judge(now time.Time, r admission.Request) admission.Verdict {
	standing := shares.Standing{}
	if r.Cost > 0 && d.table != nil {
		standing = d.ledger.Standing(now, r.Workspace, d.table.Limits().Throughput)
	}
	if d.course.Begun() {
		r.RouterRemaining = max(d.course.RunTimeLeft(now), time.Nanosecond)
	}
	return admission.Admit(now, d.picture, r, standing, rand.Float64())
}

// Watch implements ingress.Dispatcher.
func (d *dispatcher) Watch(t *placement.Ticket, giveUp func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched[t] = giveUp
}

// Output implements ingress.Dispatcher.
func (d *dispatcher) Output(t *placement.Ticket, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first {
		if t.OnEngine() {
			d.pressure.work.StreamStarted()
		}
		d.picture.RecordFirstOutput(d.now(), t)
		return
	}
	d.picture.RecordOutput(d.now(), t)
}

// giveUpStalled ends the attempts whose answers will not come.
func (d *dispatcher) giveUpStalled() int {
	d.mu.Lock()
	stalled := d.picture.TakeStalled(d.now(), d.repeat)
	var giveUp []func()
	for _, t := range stalled {
		giveUp = append(giveUp, d.watched[t])
	}
	d.mu.Unlock()
	for _, f := range giveUp {
		f()
	}
	return len(stalled)
}

// End implements ingress.Dispatcher.
func (d *dispatcher) End(t *placement.Ticket, outcome placement.Outcome) {
	d.mu.Lock()
	delete(d.watched, t)
	if t.OnEngine() {
		d.pressure.streamEnded(t.Answering(), eventsOf(t, outcome))
		if outcome == placement.Unconnected || outcome == placement.Rejected {
			d.pressure.unsent()
		}
	}
	d.settle(t, outcome)
	d.picture.RecordEnd(d.now(), t, outcome)
	var news []lostRequest
	if outcome == placement.Unconnected {
		news = d.fell(t.Upstream())
	}
	d.mu.Unlock()
	d.tellLost(news)
}

// charge is what a workspace was charged for an attempt.
type charge struct {
	at        time.Time
	workspace state.Workspace
	cost      float64
}

// settle takes back the charge of an attempt that did not begin. An upstream that
// is down looks idle, and a workspace near its share would be refused for what it
// was sent there.
func (d *dispatcher) settle(t *placement.Ticket, outcome placement.Outcome) {
	c, ok := d.charges[t]
	delete(d.charges, t)
	if ok && outcome != placement.Answered && !t.Answering() {
		d.ledger.RevertAdmitted(c.at, c.workspace, c.cost)
	}
}

// eventsOf returns how many parts the stream of a ticket had; zero unless it was
// answered whole.
func eventsOf(t *placement.Ticket, outcome placement.Outcome) int {
	if outcome != placement.Answered {
		return 0
	}
	return t.Outputs()
}

func (d *dispatcher) budget(service state.Service) *budget.Budget {
	b := d.budgets[service]
	if b == nil {
		b = &budget.Budget{}
		d.budgets[service] = b
	}
	return b
}

func (d *dispatcher) retryLimits() budget.Limits {
	return budget.Limits{Ratio: d.settings.RetryRatio, Slack: d.settings.RetrySlack, Window: d.settings.RetryWindow}
}

// Repeat implements ingress.Dispatcher.
func (d *dispatcher) Repeat(service state.Service) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.repeat(service)
}

// repeat is Repeat for callers that hold the lock.
func (d *dispatcher) repeat(service state.Service) bool {
	return d.budget(service).TryRepeat(d.now(), d.retryLimits(), d.routers)
}

// Elapsed implements ingress.Dispatcher.
func (d *dispatcher) Elapsed(f state.Fingerprint) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.returns.Elapsed(d.now(), f)
}

// Blocked implements ingress.Dispatcher.
func (d *dispatcher) Blocked(f state.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.blocked.Blocked(d.now(), f)
}

// Lost implements ingress.Dispatcher. A lost connection is no proof that the request
// took the upstream down: answers are lost on good upstreams too, and two such
// losses would shut out a page that many callers fetch. It counts once the
// upstream is seen to have fallen.
func (d *dispatcher) Lost(f state.Fingerprint, t *placement.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspicions.Add(d.now(), f, t.Upstream())
	d.lostRuns[t.Upstream()] = t.Run()
}

// fell counts the requests whose connections an upstream took along, and
// returns what peers have to know. The caller holds the lock.
func (d *dispatcher) fell(id state.Upstream) []lostRequest {
	run, ok := d.lostRuns[id]
	if !ok {
		return nil
	}
	delete(d.lostRuns, id)
	now := d.now()
	var news []lostRequest
	for _, f := range d.suspicions.Confirm(now, id) {
		if d.blocked.RecordCrash(now, f, run) {
			news = append(news, lostRequest{f, run})
		}
	}
	return news
}

// lostRequest is a request that was running when a run of an upstream fell.
type lostRequest struct {
	fingerprint state.Fingerprint
	run         quarantine.Run
}

// tellLost tells peers; it is called without the lock.
func (d *dispatcher) tellLost(news []lostRequest) {
	for _, n := range news {
		d.onLost(n.fingerprint, n.run)
	}
}

// heardLost takes a peer's word that an upstream broke off under a request.
func (d *dispatcher) heardLost(f state.Fingerprint, run quarantine.Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked.RecordCrash(d.now(), f, run)
}

// Served implements ingress.Dispatcher.
func (d *dispatcher) Served(f state.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked.ForgetUnblocked(f)
}

// Drain implements ingress.Dispatcher.
func (d *dispatcher) Drain() drain.Drain {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.course
}

// Full implements ingress.Dispatcher.
func (d *dispatcher) Full() bool { return d.pressure.full() }

// FullFor implements ingress.Dispatcher.
func (d *dispatcher) FullFor(ws state.Workspace) bool {
	return d.pressure.tight() && d.served(ws)
}

// served says whether a workspace has had its fair share.
func (d *dispatcher) served(ws state.Workspace) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ws == "" || d.table == nil {
		return false
	}
	return d.ledger.Standing(d.now(), ws, d.table.Limits().Throughput).ShareUse >= 1
}

// beginDrain notes the order to stop and returns the course of the stop.
func (d *dispatcher) beginDrain() drain.Drain {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.course.Begun() {
		d.course = drain.Begin(d.now(), d.settings.GracePeriod)
	}
	return d.course
}

// setTable takes a newer configuration.
func (d *dispatcher) setTable(table *routing.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = table
	d.picture.SetServices(table.Services())
}

// setUpstream takes what is known of an upstream; present is false if it is
// gone.
func (d *dispatcher) setUpstream(id state.Upstream, u directory.Upstream, present bool) {
	d.mu.Lock()
	var news []lostRequest
	if !present || d.lostRuns[id] != placement.RunOf(u) {
		news = d.fell(id)
	}
	if present {
		d.picture.SetUpstream(u)
	} else {
		d.picture.RemoveUpstream(id)
	}
	d.mu.Unlock()
	d.tellLost(news)
}

// confirm notes that the configuration is the newest as of now.
func (d *dispatcher) confirm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard = d.now()
}

func (d *dispatcher) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table != nil && !d.course.Begun() && d.pressure.welcomes()
}
