package scheduler

import (
	"slices"
	"time"

	"github.com/figstile/figstile/coordination/demand"
	"github.com/figstile/figstile/coordination/fairness"
	"github.com/figstile/figstile/coordination/outlier"
	"github.com/figstile/figstile/coordination/queue"
	"github.com/figstile/figstile/coordination/slots"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// service is the state of one service at this router.
type service struct {
	name     state.Service
	settings config.Service
	// configured is false while the service is known only from messages of
	// peers and not from the settings.
	configured bool
	upstreams  []*upstream
	// owned lists the upstreams that this router owns, in the order of
	// upstreams.
	owned []*upstream
	// remoteUpstreams is the number of upstreams that other routers own and
	// that may receive requests. departedRemote holds those of them that
	// announced a departure; an entry whose announcement has expired stays
	// until hasUsableRemote removes it.
	remoteUpstreams int
	departedRemote  map[*upstream]struct{}
	ledger          *fairness.Ledger
	demand          *demand.Table
	// shares holds the fraction of the service's slots that each router owns.
	shares map[state.Router]float64
	// sharesStale is set if owners, peers or slots changed since shares was
	// computed.
	sharesStale bool
	// announcedDemand holds, for each other owner, the number of waiting
	// requests of this router that the owner knows of.
	announcedDemand map[state.Router]map[demand.Key]int
	// owners lists the other owners in order of name.
	owners []state.Router
	// changedKeys holds the workspaces and models whose queues are compared
	// with announcedDemand at the next batch. urgentKeys holds those that
	// changed in this step.
	changedKeys map[demand.Key]struct{}
	urgentKeys  map[demand.Key]struct{}
	// partlyAnnouncedKeys holds the urgent keys that were not announced to all
	// owners yet. ownerRotation selects the owners that receive the next urgent
	// announcement first.
	partlyAnnouncedKeys map[demand.Key]struct{}
	ownerRotation       int
	// ownersChangedAt is the time at which an upstream last got another owner.
	ownersChangedAt time.Time
	// unusableSince is the time at which the last usable upstream became
	// unusable; it is zero while there is a usable one.
	unusableSince time.Time
}

// upstream is the state of one upstream at this router.
type upstream struct {
	name     state.Upstream
	service  *service
	settings config.Upstream
	owner    state.Router
	tracker  slots.Tracker
	outlier  outlier.Detector
	// lastFailure is the time at which the upstream was last seen unreachable
	// or restarted, and failedBoot is the run that ended with it.
	lastFailure time.Time
	failedBoot  string
}

// service returns the state of a service and creates it if necessary. It
// returns nil if maxServices is reached.
func (s *Scheduler) service(name state.Service) *service {
	if svc := s.services[name]; svc != nil {
		return svc
	}
	if len(s.services) >= maxServices {
		return nil
	}
	svc := &service{
		name:                name,
		departedRemote:      make(map[*upstream]struct{}),
		ledger:              fairness.New(s.seed),
		demand:              demand.New(),
		shares:              make(map[state.Router]float64),
		sharesStale:         true,
		announcedDemand:     make(map[state.Router]map[demand.Key]int),
		changedKeys:         make(map[demand.Key]struct{}),
		urgentKeys:          make(map[demand.Key]struct{}),
		partlyAnnouncedKeys: make(map[demand.Key]struct{}),
	}
	s.services[name] = svc
	return svc
}

func (s *Scheduler) configure(settings config.Settings) {
	s.configured = true
	s.settings = settings
	listed := make(map[state.Service]bool, len(settings.Services))
	for _, cs := range settings.Services {
		listed[cs.Name] = true
	}
	for _, svc := range s.sortedServices() {
		if !listed[svc.name] {
			s.removeService(svc)
		}
	}
	s.estimates.RetainServices(func(name state.Service) bool { return listed[name] })
	known := s.upstreams
	s.upstreams = make(map[state.Upstream]*upstream)
	for _, cs := range settings.Services {
		s.configureService(cs, known)
	}
	s.orderedUpstreams = sortedUpstreams(s.upstreams)
	s.ownerTable = nil
	s.refreshOwners()
}

func (s *Scheduler) configureService(cs config.Service, known map[state.Upstream]*upstream) {
	svc := s.service(cs.Name)
	if svc == nil {
		return
	}
	svc.settings = cs
	svc.configured = true
	svc.upstreams = nil
	for _, cu := range cs.Upstreams {
		u := known[cu.Name]
		if u == nil {
			u = &upstream{name: cu.Name}
		}
		u.service = svc
		u.settings = cu
		u.tracker.SetSlotLimit(cu.Slots)
		svc.upstreams = append(svc.upstreams, u)
		s.upstreams[cu.Name] = u
	}
	for _, ws := range s.settings.Workspaces {
		svc.ledger.SetShare(ws.Name, ws.Share)
	}
	s.markForGranting(cs.Name)
}

// removeService refuses the waiting requests of a service that was removed from
// the settings.
func (s *Scheduler) removeService(svc *service) {
	for _, k := range svc.demand.Keys(s.self.Router) {
		for {
			item := s.queues.Head(svc.queueKey(k))
			if item == nil {
				break
			}
			s.queues.Remove(item.ID)
			s.refuse(item, result.New(result.UnknownService, "The service was removed."))
		}
	}
	delete(s.services, svc.name)
}

func (svc *service) queueKey(k demand.Key) queue.Key {
	return queue.Key{Service: svc.name, Workspace: k.Workspace, Model: k.Model}
}

func demandKey(k queue.Key) demand.Key {
	return demand.Key{Workspace: k.Workspace, Model: k.Model}
}

func (svc *service) offersModel(m state.Model) bool {
	return m == "" || len(svc.settings.Models) == 0 || slices.Contains(svc.settings.Models, m)
}

// partitionUpstreams separates the upstreams that this router owns from those
// of other owners.
//
// In large fleets a router owns about 14 of thousands of upstreams, and the
// choice of an upstream on each request and tick must not iterate over all of
// them.
func (s *Scheduler) partitionUpstreams(svc *service) {
	owners := make(map[state.Router]struct{})
	svc.owned = nil
	svc.remoteUpstreams = 0
	clear(svc.departedRemote)
	for _, u := range svc.upstreams {
		if u.owner == s.self.Router {
			svc.owned = append(svc.owned, u)
		} else if u.owner != "" {
			owners[u.owner] = struct{}{}
		}
		if s.isRemote(u) {
			svc.remoteUpstreams++
		}
		s.updateDeparture(svc, u)
	}
	svc.owners = sortedRouters(owners)
}

func (s *Scheduler) isRemote(u *upstream) bool {
	return u.owner != "" && u.owner != s.self.Router && !u.settings.Draining
}

// updateDeparture updates departedRemote with the announcements of an upstream.
func (s *Scheduler) updateDeparture(svc *service, u *upstream) {
	if s.isRemote(u) && u.tracker.DepartedRecently(s.now) {
		svc.departedRemote[u] = struct{}{}
		return
	}
	delete(svc.departedRemote, u)
}

// hasUsableRemote reports whether another owner may have a usable upstream. Of
// the upstreams of other owners, this router knows only the announced
// departures. It checks them one by one only if all of those upstreams
// announced one.
func (s *Scheduler) hasUsableRemote(svc *service) bool {
	if svc.remoteUpstreams > len(svc.departedRemote) {
		return true
	}
	for u := range svc.departedRemote {
		if !u.tracker.DepartedRecently(s.now) {
			delete(svc.departedRemote, u)
		}
	}
	return svc.remoteUpstreams > len(svc.departedRemote)
}
