package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/slots"
	"github.com/figstile/figstile/state"
)

// TestRemoteDeparturesAreForgotten covers the restart of a whole service: every
// upstream of other owners announces its departure, some twice. Requests must
// be refused only while all of them are unavailable, although this router
// receives no report of their return.
func TestRemoteDeparturesAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{Self: Peer{Router: "a", DataCentre: "x", Incarnation: 7}})
	s.Step(now, PeersChanged{Peers: peers([]string{"b"})})
	s.Step(now, settings([]string{"u1=y", "u2=y"}))
	id := state.RequestID(0)
	refused := func() bool {
		id++
		return len(actionsOf[Refuse](s.Step(now, Arrived{Request: Request{ID: id, Service: "draft", Workspace: "w"}}))) > 0
	}
	announceDeparture := func(u state.Upstream) { s.Step(now, UpstreamLeaving{Upstream: u}) }
	advance := func(d time.Duration) {
		now = now.Add(d)
		s.Step(now, Tick{})
	}
	announceDeparture("u1")
	advance(2 * DefaultNoUpstreamGrace)
	require.False(t, refused(), "u2 has announced no departure")
	announceDeparture("u2")
	announceDeparture("u1")
	advance(2 * DefaultNoUpstreamGrace)
	require.True(t, refused(), "both upstreams have announced their departure")
	advance(slots.DepartureExpiry)
	require.False(t, refused(), "both announcements have expired")
	announceDeparture("u1")
	advance(2 * DefaultNoUpstreamGrace)
	require.False(t, refused(), "the announcement of u2 has expired")
}
