package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// TestManyCountersReachNewRouter covers the start of a router in a fleet with
// thousands of workspaces. All counters in one message exceeded a frame, the
// message was not sent, and the router granted slots to the wrong workspaces.
// Every counter must arrive, and no part may be marked as full.
func TestManyCountersReachNewRouter(t *testing.T) {
	now := time.Unix(1000, 0)
	const workspaces = 2*maxUsageEntries + 1
	a, b := Peer{Router: "a", Incarnation: 1}, Peer{Router: "b", Incarnation: 1}
	old, restarted := New(Options{Self: a}), New(Options{Self: b})
	served := UsageHeard{Origin: "gone", Incarnation: 1}
	for i := range workspaces {
		w := state.Workspace(fmt.Sprint("w", i))
		served.Entries = append(served.Entries, UsageEntry{Service: "draft", Workspace: w, Charged: state.Cost(1 + i)})
	}
	old.Step(now, served)
	restarted.Step(now, PeersChanged{Peers: []Peer{a, b}})
	for _, m := range actionsOf[SendUsage](old.Step(now, PeersChanged{Peers: []Peer{a, b}})) {
		require.LessOrEqual(t, len(m.Entries), maxUsageEntries)
		require.False(t, m.Full)
		restarted.Step(now, UsageHeard{Origin: m.Origin, Incarnation: m.Incarnation, Entries: m.Entries, Full: m.Full})
	}
	received := restarted.Status(now).Services[0].Workspaces
	require.Len(t, received, workspaces)
	require.Equal(t, old.Status(now).Services[0].Workspaces, received)
}
