package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/figstile/figstile/state"
)

// EventCounts count what happened to sessions since the start.
type EventCounts struct {
	// Sessions accepted, Refused by either side, and Failed before a verdict.
	Sessions, Refused, Failed uint64
	// Overflows ended an accepted session each.
	Overflows uint64
	// Resumed counts the times this process stood still.
	Resumed uint64
}

// PeerStats are the figures of one peer over all its sessions.
type PeerStats struct {
	Router    state.Router
	Connected bool
	Traffic
	// RoundTrip is the last one measured; zero if there is none.
	RoundTrip time.Duration
}

// Stats are the figures of a mesh.
type Stats struct {
	EventCounts
	// Total includes connections that never became sessions.
	Total Traffic
	// Peers in the order of their names.
	Peers []PeerStats
}

// Stats returns the figures so far.
func (m *Mesh) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	stats := Stats{EventCounts: m.eventCounts, Total: m.totalTraffic.load()}
	for router, counted := range m.traffic {
		stats.Peers = append(stats.Peers, m.peerStats(router, counted))
	}
	slices.SortFunc(stats.Peers, func(a, b PeerStats) int { return cmp.Compare(a.Router, b.Router) })
	return stats
}

func (m *Mesh) peerStats(router state.Router, counted *counters) PeerStats {
	stats := PeerStats{Router: router, Traffic: counted.load()}
	if s, ok := m.acceptedByRouter[router]; ok {
		stats.Connected = true
		stats.RoundTrip = s.roundTrip.latest()
	}
	return stats
}
