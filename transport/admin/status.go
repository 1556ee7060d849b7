package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figstile/figstile/state"
)

// StatusSource provides the status of this router.
type StatusSource interface {
	// Status returns a snapshot. The Handler fills in Config and Refused.
	Status() RouterStatus
}

// Peer is another router of the fleet.
type Peer struct {
	Router state.Router
	// URL is the base URL of the peer's administration API, without Prefix.
	URL string
}

// PeerSource provides the other routers of the fleet.
type PeerSource interface {
	AdminPeers() []Peer
}

// These constants limit the requests to the fleet's routers.
const (
	// peerTimeout limits the request to one router, so that a router behind a
	// network partition does not delay the answer for all others.
	peerTimeout = 2 * time.Second
	// maxConcurrentPeers limits the concurrent requests. A fleet of hundreds of
	// routers can still answer within a few timeouts, without as many
	// connections at once.
	maxConcurrentPeers = 64
	// maxStatusBytes is larger than the status of 120 workspaces on ten
	// services.
	maxStatusBytes = 4 << 20
)

// serveStatus answers operators and other routers.
func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r}
	if h.isFromRouter(r) {
		_ = h.getStatus(c)
		return
	}
	if err := h.serve(c, operatorsOnly(h.getStatus)); err != nil {
		h.refuse(c, err)
	}
}

func (h *Handler) getStatus(c *call) error {
	writeJSON(c.w, http.StatusOK, h.status())
	return nil
}

func (h *Handler) status() RouterStatus {
	allowAll := func(string) bool { return true }
	s := h.options.Status.Status()
	s.Config = h.versions(allowAll)
	s.Refused = h.refused(allowAll)
	return s
}

// getFleet collects the status of all routers. A router that does not answer is
// listed with the error, so that the list is complete during a partition.
func (h *Handler) getFleet(c *call) error {
	own := h.status()
	reports := []RouterReport{{Router: own.Router, Status: &own}}
	if h.options.Peers != nil {
		reports = append(reports, h.fetchPeers(c.r.Context(), h.options.Peers.AdminPeers())...)
	}
	slices.SortFunc(reports, func(a, b RouterReport) int { return cmp.Compare(a.Router, b.Router) })
	writeJSON(c.w, http.StatusOK, FleetStatus{Routers: reports})
	return nil
}

func (h *Handler) fetchPeers(ctx context.Context, peers []Peer) []RouterReport {
	reports := make([]RouterReport, len(peers))
	var group errgroup.Group
	group.SetLimit(maxConcurrentPeers)
	for i, p := range peers {
		group.Go(func() error {
			reports[i] = h.fetchPeer(ctx, p)
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func (h *Handler) fetchPeer(ctx context.Context, p Peer) RouterReport {
	report := RouterReport{Router: p.Router, URL: p.URL}
	status, err := h.fetchStatus(ctx, p)
	if err != nil {
		report.Error = err.Error()
		return report
	}
	report.Status = status
	return report
}

// fetchStatus reads the status of a peer. It sends the fleet token and never
// the operator's token: the address was only announced by a peer, which is not
// enough proof to send it a token that can change settings.
func (h *Handler) fetchStatus(ctx context.Context, p Peer) (*RouterStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(p.URL, "/")+Prefix+"/status", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+h.options.FleetToken)
	response, err := h.options.Client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the router answered %s", response.Status)
	}
	var status RouterStatus
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return &status, err
}
