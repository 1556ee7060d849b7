package scheduler

import (
	"time"

	"github.com/figstile/figstile/state"
)

// Status is a snapshot of the scheduler for operators.
type Status struct {
	Router   state.Router     `json:"router"`
	Draining bool             `json:"draining"`
	Waiting  int              `json:"waiting"`
	Running  int              `json:"running"`
	Granted  int              `json:"granted"`
	Services []ServiceStatus  `json:"services"`
	Owned    []UpstreamStatus `json:"owned"`
	Peers    []PeerStatus     `json:"peers"`
}

// ServiceStatus is the state of one service at this router.
type ServiceStatus struct {
	Name state.Service `json:"name"`
	// Share is the fraction of the service's slots that this router owns.
	Share      float64           `json:"share"`
	Workspaces []WorkspaceStatus `json:"workspaces"`
}

// WorkspaceStatus is the usage of a service by one workspace.
type WorkspaceStatus struct {
	Name state.Workspace `json:"name"`
	// Waiting is the number of requests that wait at this router.
	Waiting int `json:"waiting"`
	// Charged and Reserved are this router's counters; Fleet is the total of
	// all routers. All are in cost units.
	Charged  state.Cost `json:"charged"`
	Reserved state.Cost `json:"reserved"`
	Fleet    state.Cost `json:"fleet"`
	Virtual  float64    `json:"virtual_time"`
}

// UpstreamStatus is the state of one owned upstream.
type UpstreamStatus struct {
	Name        state.Upstream `json:"name"`
	Service     state.Service  `json:"service"`
	Slots       int            `json:"slots"`
	Outstanding int            `json:"outstanding"`
	// Reported is the number of running and waiting requests in the last load
	// report. Fresh is set if that report is recent enough to be used.
	Reported int  `json:"reported"`
	Fresh    bool `json:"fresh"`
	Leaving  bool `json:"leaving"`
	Cooling  bool `json:"cooling"`
}

// PeerStatus describes one live peer.
type PeerStatus struct {
	Router      state.Router      `json:"router"`
	DataCentre  state.DataCentre  `json:"data_centre"`
	Incarnation state.Incarnation `json:"incarnation"`
	Draining    bool              `json:"draining"`
}

// Status returns a snapshot at the given time. It changes no state.
func (s *Scheduler) Status(now time.Time) Status {
	st := Status{
		Router:   s.self.Router,
		Draining: s.draining,
		Waiting:  s.queues.Total(),
		Running:  len(s.running),
		Granted:  s.issuedGrants.Len(),
		Services: []ServiceStatus{},
		Owned:    []UpstreamStatus{},
		Peers:    []PeerStatus{},
	}
	for _, svc := range s.sortedServices() {
		st.Services = append(st.Services, s.serviceStatus(svc))
	}
	for _, name := range s.owned {
		st.Owned = append(st.Owned, s.upstreams[name].status(now))
	}
	for _, p := range sortedPeers(s.peers) {
		st.Peers = append(st.Peers, PeerStatus(p))
	}
	return st
}

func (s *Scheduler) serviceStatus(svc *service) ServiceStatus {
	status := ServiceStatus{Name: svc.name, Share: svc.shares[s.self.Router], Workspaces: []WorkspaceStatus{}}
	for _, f := range svc.ledger.AccountStatuses() {
		status.Workspaces = append(status.Workspaces, WorkspaceStatus{
			Name:     f.Workspace,
			Waiting:  s.queues.Waiting(svc.name, f.Workspace),
			Charged:  f.Charged,
			Reserved: f.Reserved,
			Fleet:    f.Fleet,
			Virtual:  f.Virtual,
		})
	}
	return status
}

func (u *upstream) status(now time.Time) UpstreamStatus {
	r, fresh := u.tracker.LastReport(now)
	return UpstreamStatus{
		Name:        u.name,
		Service:     u.service.name,
		Slots:       u.tracker.Slots(),
		Outstanding: u.tracker.Outstanding(),
		Reported:    r.Running + r.Waiting,
		Fresh:       fresh,
		Leaving:     u.tracker.Leaving(),
		Cooling:     u.outlier.InCoolDown(now),
	}
}
