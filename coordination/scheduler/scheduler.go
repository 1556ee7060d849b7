package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figstile/figstile/coordination/estimate"
	"github.com/figstile/figstile/coordination/grants"
	"github.com/figstile/figstile/coordination/ownership"
	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/queue"
	"github.com/figstile/figstile/coordination/retry"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// Scheduler is the state of one router. It must not be used concurrently.
type Scheduler struct {
	opts Options
	self Peer
	seed uint64

	now     time.Time
	actions []Action
	// servicesToGrant holds the services for which this step may have made a
	// grant possible.
	servicesToGrant map[state.Service]struct{}

	configured bool
	settings   config.Settings
	services   map[state.Service]*service
	upstreams  map[state.Upstream]*upstream
	// orderedUpstreams lists the upstreams in order of name.
	orderedUpstreams []*upstream
	peers            map[state.Router]Peer
	// candidates and ownerTable determine the current owners. ownerTable is nil
	// if the upstreams changed since it was built.
	candidates []ownership.Candidate
	ownerTable *ownership.Table
	owned      []state.Upstream
	ownedSent  bool

	queues  *queue.Set
	running map[state.RequestID]*dispatchedRequest
	// unannouncedStarts lists grants of other owners that are in use and whose
	// start was not reported to the owner yet, oldest first.
	unannouncedStarts []startAnnouncement
	estimates         *estimate.Estimator
	retries           *retry.Budget
	quarantine        *quarantine.List
	// suspicions holds lost connections to owned upstreams for which no failure
	// of the upstream was seen yet. losses holds those to all upstreams, as
	// long as they are not confirmed as crashes.
	suspicions   quarantine.Suspicions
	losses       *quarantine.Losses
	issuedGrants *grants.Table
	seenGrants   *grants.SeenSequences

	timers timers
	// discardUntil is the end of the period after a pause of the process in
	// which received grants and load reports may have been sent before the
	// pause.
	discardUntil time.Time
	draining     bool
	drained      bool
}

// timers holds the times of the last or next run of each periodic task.
type timers struct {
	started           time.Time
	lastTick          time.Time
	lastExchange      time.Time
	lastUsageRefresh  time.Time
	nextDemandBatch   time.Time
	nextDemandRefresh time.Time
	nextForgetIdle    time.Time
	nextLeavingRepeat time.Time
}

// New returns the scheduler of a router without settings, peers or requests.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	identity := string(opts.Self.Router) + "." + strconv.FormatUint(uint64(opts.Self.Incarnation), 10)
	seed := xxhash.Sum64String(identity) ^ opts.Seed
	return &Scheduler{
		opts:            opts,
		self:            opts.Self,
		seed:            seed,
		servicesToGrant: make(map[state.Service]struct{}),
		services:        make(map[state.Service]*service),
		upstreams:       make(map[state.Upstream]*upstream),
		peers:           make(map[state.Router]Peer),
		queues:          queue.New(opts.Queues),
		running:         make(map[state.RequestID]*dispatchedRequest),
		estimates:       estimate.New(estimate.DefaultCapacity),
		retries:         retry.NewBudget(),
		quarantine:      quarantine.New(quarantine.DefaultCapacity),
		losses:          quarantine.NewLosses(),
		issuedGrants:    grants.NewTable(seed),
		seenGrants:      grants.NewSeenSequences(),
	}
}

// Step processes one event and returns the actions for the host. The time must
// not decrease between steps.
func (s *Scheduler) Step(now time.Time, ev Event) []Action {
	s.now = now
	s.actions = nil
	s.detectPause()
	// Timeouts are processed first, so that no grant of this step starts a
	// request whose deadline has passed.
	s.handleTimeouts()
	s.handle(ev)
	s.grantAll()
	s.announceDemand()
	s.finishDrain()
	clear(s.servicesToGrant)
	return s.actions
}

func (s *Scheduler) handle(ev Event) {
	switch e := ev.(type) {
	case Configured:
		s.configure(e.Settings)
	case PeersChanged:
		s.setPeers(e.Peers)
	case Arrived:
		s.handleArrival(e.Request)
	case Left:
		s.handleCallerLeft(e.ID)
	case Reported:
		s.handleReport(e.Report)
	case Unreachable:
		s.handleUnreachable(e.Upstream)
	case UpstreamLeaving:
		s.handleUpstreamLeaving(e)
	case DemandHeard:
		s.receiveDemand(e.From, e.Demand)
	case GrantHeard:
		s.receiveGrant(e.Grant)
	case DeclineHeard:
		s.receiveDecline(e)
	case ProgressHeard:
		s.receiveProgress(e)
	case EndedHeard:
		s.receiveEnded(e)
	case UsageHeard:
		s.receiveUsage(e)
	case CrashHeard:
		s.receiveCrash(e)
	case Progressed:
		s.handleProgressed(e.ID, e.Cost)
	case Ended:
		s.handleEnded(e)
	case Drain:
		s.startDrain()
	case Tick:
		s.handleTick()
	}
}

func (s *Scheduler) emit(a Action) {
	s.actions = append(s.actions, a)
}

func (s *Scheduler) markForGranting(name state.Service) {
	s.servicesToGrant[name] = struct{}{}
}

// detectPause detects that the process was stopped and resumed, from a gap
// between ticks that is longer than FreezeAfter. Grants and load reports that
// are read from the sockets after a pause may have been sent before it. Such
// grants have expired at their owners, which gave the slots to others, and such
// reports would cause grants for upstreams that no longer exist. For
// resumeGrace, within which the socket buffers are read, grants are therefore
// declined and reports ignored.
func (s *Scheduler) detectPause() {
	if s.timers.started.IsZero() {
		s.timers.started = s.now
		s.timers.lastTick = s.now
		s.timers.lastExchange = s.now
		s.timers.lastUsageRefresh = s.now
	}
	if s.now.Sub(s.timers.lastTick) <= s.opts.FreezeAfter {
		return
	}
	s.timers.lastTick = s.now
	s.discardUntil = s.now.Add(resumeGrace)
	for _, u := range s.upstreams {
		u.tracker.DistrustReport()
	}
}

func (s *Scheduler) resumedRecently() bool {
	return s.now.Before(s.discardUntil)
}

func (s *Scheduler) handleTick() {
	s.timers.lastTick = s.now
	s.announceStarts()
	for _, svc := range s.services {
		svc.ledger.Reindex()
		s.updateUnusableSince(svc)
		s.markForGranting(svc.name)
	}
	s.announceToRemainingOwners()
	if s.now.Sub(s.timers.lastExchange) >= s.opts.ExchangeInterval {
		s.exchange()
	}
	if !s.now.Before(s.timers.nextDemandBatch) {
		s.timers.nextDemandBatch = s.now.Add(s.opts.DemandInterval)
		s.sendDemandBatch()
	}
	if !s.now.Before(s.timers.nextDemandRefresh) {
		s.timers.nextDemandRefresh = s.now.Add(demandRefresh)
		s.refreshDemand()
	}
	if !s.now.Before(s.timers.nextForgetIdle) {
		s.timers.nextForgetIdle = s.now.Add(forgetIdleInterval)
		s.queues.ForgetIdle(s.now)
	}
	if !s.now.Before(s.timers.nextLeavingRepeat) {
		s.timers.nextLeavingRepeat = s.now.Add(leavingRepeat)
		s.repeatLeaving()
	}
}

func (s *Scheduler) startDrain() {
	if s.draining {
		return
	}
	s.draining = true
	s.self.Draining = true
	s.refreshOwners()
}

func (s *Scheduler) finishDrain() {
	if !s.draining || s.drained || s.queues.Total() > 0 || len(s.running) > 0 {
		return
	}
	s.drained = true
	s.exchange()
	s.emit(Drained{})
}

// sortedServices lists the services in order of name, so that the same events
// give the same actions.
func (s *Scheduler) sortedServices() []*service {
	list := slices.Collect(maps.Values(s.services))
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return list
}

func (s *Scheduler) sortedServicesToGrant() []*service {
	list := make([]*service, 0, len(s.servicesToGrant))
	for name := range s.servicesToGrant {
		if svc := s.services[name]; svc != nil {
			list = append(list, svc)
		}
	}
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return list
}

func sortedUpstreams(upstreams map[state.Upstream]*upstream) []*upstream {
	list := slices.Collect(maps.Values(upstreams))
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.name, b.name) })
	return list
}
