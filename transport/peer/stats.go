package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// EventCounts counts session events since the start.
type EventCounts struct {
	// Sessions counts accepted sessions, Refused those refused by either side,
	// and Failed those that ended before they were accepted or refused.
	Sessions, Refused, Failed uint64
	// Overflows counts accepted sessions that ended because a send queue was
	// full.
	Overflows uint64
	// Resumed counts the pauses of this process that membership detected.
	Resumed uint64
}

// PeerStats holds the metrics of one peer over all its sessions.
type PeerStats struct {
	Router    state.Router
	Connected bool
	Traffic
	// RoundTrip is the latest round-trip time; zero if none has been determined
	// yet.
	RoundTrip time.Duration
}

// Stats holds the metrics of a mesh.
type Stats struct {
	EventCounts
	// Total includes connections that never became sessions.
	Total Traffic
	// Peers is ordered by router name.
	Peers []PeerStats
}

// Stats returns the current metrics.
func (m *Mesh) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	stats := Stats{EventCounts: m.eventCounts, Total: m.totalTraffic.load()}
	for router, traffic := range m.traffic {
		stats.Peers = append(stats.Peers, m.peerStats(router, traffic))
	}
	slices.SortFunc(stats.Peers, func(a, b PeerStats) int { return cmp.Compare(a.Router, b.Router) })
	return stats
}

func (m *Mesh) peerStats(router state.Router, traffic *counters) PeerStats {
	stats := PeerStats{Router: router, Traffic: traffic.load()}
	if s, ok := m.acceptedByRouter[router]; ok {
		stats.Connected = true
		stats.RoundTrip = s.roundTrip.latest()
	}
	return stats
}
