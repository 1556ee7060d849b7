package daemon

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/admin"
)

// adminHandler serves health, readiness, metrics and the administration API.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /metrics", d.serveMetrics)
	mux.HandleFunc("GET /status", d.serveStatus)
	mux.Handle(admin.Prefix+"/", admin.New(admin.Options{
		Source:           d.source,
		Writer:           d.writer,
		Status:           adminStatus{d},
		Drain:            d,
		Peers:            adminStatus{d},
		FleetToken:       d.options.FleetToken,
		BootstrapDigests: d.bootstrapDigests(),
		Log:              d.log,
	}))
	return mux
}

func (d *Daemon) bootstrapDigests() []config.Digest {
	if d.options.BootstrapToken == "" {
		return nil
	}
	return []config.Digest{config.DigestOf(d.options.BootstrapToken)}
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.source.Ready() {
		http.Error(w, "no settings yet", http.StatusServiceUnavailable)
		return
	}
	if d.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	stats := d.mesh.Stats()
	d.metrics.SetGauge("control_bytes_in", float64(stats.Total.BytesIn))
	d.metrics.SetGauge("control_bytes_out", float64(stats.Total.BytesOut))
	d.metrics.SetGauge("control_messages_in", float64(stats.Total.MessagesIn))
	d.metrics.SetGauge("control_messages_out", float64(stats.Total.MessagesOut))
	for kind, traffic := range d.link.trafficByKind() {
		d.metrics.SetGauge("control_sent_bytes_"+kind, float64(traffic.Bytes))
		d.metrics.SetGauge("control_sent_messages_"+kind, float64(traffic.Messages))
	}
	d.metrics.Handler().ServeHTTP(w, r)
}

// Status is a router's view of itself and of the fleet.
type Status struct {
	scheduler.Status
	// Versions holds the version in force of each settings object, by key.
	Versions map[string]uint64 `json:"versions"`
	// Control counts the traffic on the links to peers since the start.
	Control ControlTraffic `json:"control"`
	// Kinds counts the sent messages by kind, without session framing.
	Kinds map[string]KindTraffic `json:"control_kinds"`
}

// ControlTraffic counts the traffic on the links to peers, framing included.
type ControlTraffic struct {
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// Status returns a snapshot taken between two steps of the scheduler.
func (d *Daemon) Status() Status {
	total := d.mesh.Stats().Total
	return Status{
		Status:   d.schedulerStatus(),
		Versions: d.source.Versions(),
		Control:  ControlTraffic(total),
		Kinds:    d.link.trafficByKind(),
	}
}

func (d *Daemon) schedulerStatus() scheduler.Status {
	var s scheduler.Status
	d.host.Inspect(func() { s = d.scheduler.Status(d.host.Now()) })
	return s
}

// serveStatus serves the Status as JSON, for tools on the same VM. The status
// names workspaces, so reading it needs a token, like the administration API.
func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !d.mayReadStatus(r) {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.Status())
}

func (d *Daemon) mayReadStatus(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return false
	}
	if config.DigestOf(token) == config.DigestOf(d.options.FleetToken) {
		return true
	}
	view := d.source.View()
	if view == nil {
		return false
	}
	principal, ok := view.Authenticate(token)
	return ok && principal.Kind == config.Operator
}

// adminStatus provides the daemon's status to the administration API.
type adminStatus struct {
	daemon *Daemon
}

// Status returns this router's part of the fleet's status.
func (a adminStatus) Status() admin.RouterStatus {
	d := a.daemon
	s := d.schedulerStatus()
	status := admin.RouterStatus{
		Router:      d.options.router(),
		DataCentre:  d.options.dataCentre(),
		Incarnation: d.incarnation,
		Started:     d.started,
		Ready:       d.source.Ready(),
		Draining:    s.Draining,
	}
	dataCentres := d.upstreamDataCentres()
	for _, u := range s.Owned {
		entry := upstreamStatus(s.Router, u)
		entry.DataCentre = dataCentres[u.Name]
		status.Upstreams = append(status.Upstreams, entry)
	}
	for _, svc := range s.Services {
		status.Services = append(status.Services, admin.ServiceStatus{Service: svc.Name, Gap: fairnessGap(svc)})
		status.Workspaces = append(status.Workspaces, workspaceStatus(svc)...)
	}
	return status
}

// upstreamDataCentres returns the data centre of each upstream according to the
// settings in force.
func (d *Daemon) upstreamDataCentres() map[state.Upstream]state.DataCentre {
	dataCentres := make(map[state.Upstream]state.DataCentre)
	view := d.source.View()
	if view == nil {
		return dataCentres
	}
	for _, service := range view.Settings().Services {
		for _, u := range service.Upstreams {
			dataCentres[u.Name] = u.DataCentre
		}
	}
	return dataCentres
}

func upstreamStatus(owner state.Router, u scheduler.UpstreamStatus) admin.UpstreamStatus {
	return admin.UpstreamStatus{
		Upstream: u.Name,
		Service:  u.Service,
		Owner:    owner,
		Running:  u.Outstanding,
		Slots:    u.Slots,
		Usable:   u.Fresh && !u.Leaving && !u.Cooling,
		Draining: u.Leaving,
	}
}

func workspaceStatus(svc scheduler.ServiceStatus) []admin.WorkspaceStatus {
	var found []admin.WorkspaceStatus
	for _, w := range svc.Workspaces {
		found = append(found, admin.WorkspaceStatus{
			Service:   svc.Name,
			Workspace: w.Name,
			Waiting:   w.Waiting,
			Served:    w.Charged,
		})
	}
	return found
}

// fairnessGap returns the largest difference in virtual time between workspaces
// with waiting requests, divided by the number of workspaces: that is the
// difference in service at equal shares.
func fairnessGap(svc scheduler.ServiceStatus) state.Cost {
	var minVirtual, maxVirtual float64
	waiting := 0
	for _, w := range svc.Workspaces {
		if w.Waiting == 0 {
			continue
		}
		if waiting == 0 {
			minVirtual, maxVirtual = w.Virtual, w.Virtual
		}
		minVirtual = min(minVirtual, w.Virtual)
		maxVirtual = max(maxVirtual, w.Virtual)
		waiting++
	}
	if waiting == 0 {
		return 0
	}
	return state.Cost((maxVirtual - minVirtual) / float64(len(svc.Workspaces)))
}

// AdminPeers returns the other live routers that have announced the URL of
// their administration API.
func (a adminStatus) AdminPeers() []admin.Peer {
	return a.daemon.adminURLs.forLive(a.daemon.peers.others(a.daemon.options.router()))
}

// adminURLs holds the administration URLs that peers have announced.
type adminURLs struct {
	mu   sync.Mutex
	urls map[state.Router]string
}

func (a *adminURLs) set(router state.Router, url string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.urls == nil {
		a.urls = make(map[state.Router]string)
	}
	a.urls[router] = url
}

// forLive returns the URLs of the live routers and removes all others.
// Otherwise a fleet whose VMs are replaced often would keep the name of every
// router it ever had.
func (a *adminURLs) forLive(live []state.Router) []admin.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.urls, func(router state.Router, _ string) bool {
		return !slices.Contains(live, router)
	})
	var peers []admin.Peer
	for _, router := range live {
		if url := a.urls[router]; url != "" {
			peers = append(peers, admin.Peer{Router: router, URL: url})
		}
	}
	return peers
}

func (d *Daemon) sendAdminURL(to state.Router) {
	advert := &peerpb.Advert{AdminUrl: d.adminURL()}
	d.link.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_Advert{Advert: advert}})
}

func (d *Daemon) adminURL() string {
	address := d.options.AdvertiseAdmin
	if address == "" {
		address = d.adminListener.Addr().String()
	}
	if d.options.TLSCert != "" {
		return "https://" + address
	}
	return "http://" + address
}
