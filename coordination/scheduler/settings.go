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

// service is what a router knows of one service.
type service struct {
	name     state.Service
	settings config.Service
	// configured is false while only peers speak of the service.
	configured bool
	upstreams  []*upstream
	// owned are the upstreams of this router, in the order of upstreams.
	owned []*upstream
	// remoteUpstreams counts the upstreams of other owners that are to get work, and
	// departed holds those of them that announced a departure. One whose
	// announcement has grown old stays in it until usableElsewhere looks.
	remoteUpstreams int
	departedRemote  map[*upstream]struct{}
	ledger          *fairness.Ledger
	demand          *demand.Table
	// shares are the routers' parts of the service's slots.
	shares map[state.Router]float64
	// sharesStale says that owners, peers or slots changed since shares were
	// worked out.
	sharesStale bool
	// announcedDemand is what other owners take to be waiting here.
	announcedDemand map[state.Router]map[demand.Key]int
	// owners are the other owners in order of name.
	owners []state.Router
	// changedKeys are lines to compare with believed at the next batch, urgent
	// those of this step.
	changedKeys map[demand.Key]struct{}
	urgentKeys  map[demand.Key]struct{}
	// partlyAnnouncedKeys are urgent lines that not all owners have heard of, and turn
	// chooses who hears first.
	partlyAnnouncedKeys map[demand.Key]struct{}
	ownerRotation       int
	// unusableSince is when the last usable upstream went; zero if there is
	// one.
	unusableSince time.Time
}

// upstream is what a router knows of one upstream.
type upstream struct {
	name     state.Upstream
	service  *service
	settings config.Upstream
	owner    state.Router
	tracker  slots.Tracker
	outlier  outlier.Detector
	// lastFailure is when the upstream was last seen gone or restarted, and which
	// run of it that ended.
	lastFailure time.Time
	failedBoot  string
}

// service returns a service's state, or nil beyond the bound.
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

// removeService gives requests of a service that is gone their answer.
func (s *Scheduler) removeService(svc *service) {
	for _, k := range svc.demand.Keys(s.self.Router) {
		for {
			it := s.queues.Head(svc.queueKey(k))
			if it == nil {
				break
			}
			s.queues.Remove(it.ID)
			s.refuse(it, result.New(result.UnknownService, "The service was removed."))
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

// partitionUpstreams tells own upstreams from those of others.
//
// Made for large fleets: a router owns some fourteen of thousands of
// upstreams, and a choice on each request and tick must not walk all of them.
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

// updateDeparture follows what is announced of an upstream.
func (s *Scheduler) updateDeparture(svc *service, u *upstream) {
	if s.isRemote(u) && u.tracker.DepartedRecently(s.now) {
		svc.departedRemote[u] = struct{}{}
		return
	}
	delete(svc.departedRemote, u)
}

// hasUsableRemote reports whether some other owner may have a usable upstream.
// Of those, this router only knows announced departures. It walks them only
// when every single one is announced.
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
